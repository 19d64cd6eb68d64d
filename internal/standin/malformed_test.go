package standin

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"sumachead/internal/stricthttp"
)

func TestMalformedHeadsAreMalformed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\nResponse-Seal: e\r\n\r\n"
	for range 10000 {
		h := malformHead(head)
		//nolint:bodyclose // closing it has no effect
		if _, err := stricthttp.ReadResponse(bufio.NewReader(strings.NewReader(h)), &http.Request{}); err == nil {
			t.Fatalf("%q is sound", h)
		}
	}
}

package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Responses of each framing must be read as a whole, and those that are cut must not be.
func TestFramingsOfResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults ReplicaFaults
		// want is what is read of a stream of two events.
		want string
		// wantHeader is the length and the transfer encoding.
		wantLength   int64
		wantEncoding []string
	}{
		{"length", ReplicaFaults{Framing: framingLength}, "id: 1\ndata: v\n\nid: 2\ndata: v\n\n", 30, nil},
		{"chunked", ReplicaFaults{Framing: framingChunked}, "id: 1\ndata: v\n\nid: 2\ndata: v\n\n", -1, []string{"chunked"}},
		{"close", ReplicaFaults{Framing: framingClose}, "id: 1\ndata: v\n\nid: 2\ndata: v\n\n", -1, nil},
		{"length, cut", ReplicaFaults{Framing: framingLength, CutOneIn: 1}, "", 30, nil},
		{"chunked, cut", ReplicaFaults{Framing: framingChunked, CutOneIn: 1}, "", -1, []string{"chunked"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Replica{ID: "e", Version: "v", Address: "127.0.0.1:0", EventInterval: time.Millisecond, faults: tt.faults}
			s := httptest.NewServer(http.HandlerFunc(r.serve))
			defer s.Close()
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			q.Header.Set("Expect-Replica", "e")
			q.Header.Set("Token-Usage", "5,2")
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				if tt.want != "" {
					t.Fatal(err)
				}
				return // cut in the head
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if diff := cmp.Diff(tt.want != "", err == nil); diff != "" {
				t.Errorf("complete (-want +got), error %v:\n%s", err, diff)
			}
			if diff := cmp.Diff(tt.want, string(body)); tt.want != "" && diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]any{tt.wantLength, tt.wantEncoding}, []any{resp.ContentLength, resp.TransferEncoding}); diff != "" {
				t.Errorf("framing (-want +got):\n%s", diff)
			}
		})
	}
}

package agent

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/gravitational/trace"

	"sumachead/internal/upstream"
)

// readBody reads the whole body of a response. A body that ends with its connection is incomplete if
// the server accepts no connections any more: it has most likely crashed.
func readBody(resp *http.Response, body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if upstream.FramingOf(resp) != upstream.FramingClose {
		return data, nil
	}
	d, u := &net.Dialer{Timeout: dialTimeout}, resp.Request.URL
	c, err := d.DialContext(resp.Request.Context(), "tcp", net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), u.Scheme)))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("the backend server has crashed: %w", io.ErrUnexpectedEOF)
	case err != nil:
		return nil, trace.Wrap(err)
	}
	_ = c.Close()
	return data, nil
}

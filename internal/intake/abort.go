package intake

import (
	"net"
	"net/http"
)

// Abort aborts a response that has begun, and does not return: the caller must see that it is
// incomplete. It is called by the request's handler.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// The response has no chunks and may have no length, so that only a reset differs from its end.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	inner := conn
	for {
		t, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = t.NetConn()
	}
	if t, ok := inner.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = inner.Close()
}

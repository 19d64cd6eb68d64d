package stricthttp

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"sumachead/internal/tcp"
)

// requestWriteTimeout bounds the time in which the server must receive the rest of a request once it has
// ended its response by closing the connection.
const requestWriteTimeout = 300 * time.Millisecond

// Transport sends each request on a connection of its own, once. It implements [http.RoundTripper] and is
// safe for concurrent use. Errors of connecting are [*net.OpError] of the operation "dial".
type Transport struct {
	Dialer *net.Dialer
}

// RoundTrip implements [http.RoundTripper]. The connection ends with the context of the request, or when
// the body of the response is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	socket, c, err := t.dial(ctx, r.URL)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, err
	}
	body := &transportBody{ctx: ctx, conn: c, socket: socket, written: make(chan error, 1)}
	body.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := r.Clone(ctx)
	sent.Close = true
	go func() { body.written <- sent.Write(c) }()
	resp, err := ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		_ = body.Close()
		return nil, body.wrap(err)
	}
	body.reader = resp.Body
	body.endsWithConn = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.Body != http.NoBody {
		resp.Body = body
		return resp, nil
	}
	return resp, body.Close()
}

// dial connects to the host of a URL. It returns the connection and the socket below it.
func (t *Transport) dial(ctx context.Context, u *url.URL) (*tcp.Conn, net.Conn, error) {
	c, err := t.Dialer.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), u.Scheme)))
	if err != nil {
		return nil, nil, err
	}
	socket, err := tcp.NewConn(c.(*net.TCPConn))
	if err != nil {
		_ = c.Close()
		return nil, nil, &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	if u.Scheme != "https" {
		return socket, socket, nil
	}
	s := tls.Client(socket, &tls.Config{ServerName: u.Hostname()})
	if err := s.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, nil, &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	return socket, s, nil
}

// transportBody reads the body of a response, and closes its connection.
type transportBody struct {
	ctx    context.Context
	conn   net.Conn
	socket *tcp.Conn
	reader io.Reader
	// endsWithConn is set if the body ends with the connection.
	endsWithConn bool
	// written receives the result of writing the request.
	written chan error
	// stop keeps the end of the context from closing the connection.
	stop func() bool
}

// Read implements io.Reader.
func (b *transportBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, b.wrap(err)
	case b.endsWithConn && !b.requestReceived():
		return n, fmt.Errorf("the server closed the connection before it had received the request: %w", io.ErrUnexpectedEOF)
	}
	return n, io.EOF
}

// requestReceived reports whether the host of the server has received the whole request.
func (b *transportBody) requestReceived() bool {
	select {
	case err := <-b.written:
		b.written <- err
		return err == nil && b.socket.AwaitAcks(requestWriteTimeout) == nil
	case <-time.After(requestWriteTimeout):
	case <-b.ctx.Done():
	}
	return false
}

// wrap adds to an error why the context has ended, if it has.
func (b *transportBody) wrap(err error) error {
	if cause := context.Cause(b.ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// Close implements io.Closer.
func (b *transportBody) Close() error {
	b.stop()
	_ = b.conn.Close() // the context may have closed it
	return nil
}

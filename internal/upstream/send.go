package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sumachead"
	"sumachead/internal/boottime"
	"sumachead/internal/stricthttp"
)

const (
	// maxInlineRequest is the size up to which a request is written before the response is read:
	// it fits into the buffers of a connection.
	maxInlineRequest = 16 << 10
	// bodyWriteTimeout bounds the time to write the rest of a body after the response has
	// arrived.
	bodyWriteTimeout = 300 * time.Millisecond
	// maxStrayResponses bounds the skipped responses to earlier requests.
	maxStrayResponses = 2
	// maxStrayBodyBytes bounds the body of each.
	maxStrayBodyBytes = 1 << 20
)

// Failure is the error of an attempt without a usable response of the server.
type Failure struct {
	Verdict sumachead.Verdict
	Reason  sumachead.Reason
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Response is the head of a server's response, and a reader of its body. Close it.
type Response struct {
	Status  int
	Header  http.Header
	Head    sumachead.ResponseHead
	Framing Framing

	body   io.ReadCloser
	pool   *Pool
	server Server
	conn   *conn
	sentAt sumachead.BootTime
	// bodyStart is the number of bytes that the connection had received before the body, and bodyBytes
	// how many of the body have been read.
	bodyStart int64
	bodyBytes int64
	// stop keeps the end of the context from closing the connection; it returns false if that
	// has already happened.
	stop func() bool
	// complete: the body has been read to its end, and the connection is ready for the next
	// request.
	complete bool
	// reusable: the server allows the connection to be reused, and has received the whole request.
	reusable bool
	// upload is the write of the request's rest; nil if there is none.
	upload *upload
}

// upload is the write of a request that goes on while the response is read.
type upload struct {
	// done is closed at the end of the write, after err was set.
	done chan struct{}
	err  error
}

// wait waits for the end of the write, up to bodyWriteTimeout, and reports whether everything was written.
func (u *upload) wait() bool {
	if u == nil {
		return true
	}
	t := time.NewTimer(bodyWriteTimeout)
	defer t.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-t.C:
		return false
	}
}

// RequestReceived reports whether the server's host has received the whole request and the connection was not
// reset. It waits up to bodyWriteTimeout for what is still on its way. Until that is known, a body with
// [FramingClose] may have been cut off by a server that has given up on the request.
func (a *Response) RequestReceived() bool {
	return a.upload.wait() && a.conn.AwaitAcks(bodyWriteTimeout) == nil
}

// Read reads the body. io.EOF means that the body has ended as its framing says; with [FramingClose]
// it may be incomplete.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.bodyBytes += int64(n)
	switch {
	case a.conn.received-a.bodyStart > maxFramingBytes+maxFramingRatio*a.bodyBytes:
		return n, errFramingTooLong
	case errors.Is(err, io.EOF):
		a.complete = true
	case err != nil && a.conn.ended:
		err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	case err != nil:
		err = cmp.Or(a.conn.memory.Pin(), err)
	}
	return n, err
}

// LimitRead bounds the time of the following reads by a point in time; the connection is not reused
// after a read that takes longer.
func (a *Response) LimitRead(until time.Time) {
	_ = a.conn.SetReadDeadline(until) // a read of a closed connection fails anyway
}

// Abort closes the connection, so that reads fail. It may be called while another method runs.
func (a *Response) Abort() { _ = a.conn.Close() }

// Close ends the use of the head and the body. It returns the connection to the pool if the response was read completely, and closes it
// otherwise, which tells the server to stop.
func (a *Response) Close() {
	interrupted := !a.stop()
	now := time.Now()
	a.conn.memory.Release()
	if a.complete && a.reusable && !interrupted && a.conn.br.Buffered() == 0 {
		a.conn.reuseUntil = a.Head.IdleUntil.Add(-idleTimeoutMargin)
		if a.Head.IdleUntil.IsZero() {
			a.conn.reuseUntil = now.Add(defaultIdleTimeout)
		}
		a.LimitRead(time.Time{})
		a.pool.release(a.server, a.conn)
		return
	}
	_ = a.conn.Close()
	a.pool.remove(a.server, a.conn)
}

// Send sends a request to a server, on at most maxConns connections at a time, and returns the
// head of its response. The error is a [*Failure]. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, s Server, maxConns int, r *sumachead.CallerRequest, t *sumachead.Attempt) (*Response, error) {
	c, err := p.connect(ctx, s, maxConns)
	if err != nil {
		reason := sumachead.ReasonServerUnreached
		if errors.Is(err, ErrNoConnection) {
			reason = sumachead.ReasonBusy
		}
		return nil, &Failure{sumachead.NotRun, reason, err}
	}
	if f := p.blocked(s.ID); f != nil {
		p.release(s, c)
		return nil, f
	}
	a := &Response{pool: p, server: s, conn: c, sentAt: boottime.Clock{}.Now()}
	if t.SendBy != 0 && a.sentAt > t.SendBy {
		p.release(s, c)
		return nil, &Failure{sumachead.NotRun, sumachead.ReasonServerUnreached, errTooLate}
	}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.exchange(p.encode(r, t), r); err != nil {
		a.stop()
		_ = c.Close()
		c.memory.Release()
		p.remove(s, c)
		return nil, err
	}
	return a, nil
}

// encode returns the bytes of a request.
func (p *Pool) encode(r *sumachead.CallerRequest, t *sumachead.Attempt) []byte {
	h := r.Header.Clone()
	p.Dialect.Encode(h, r, t)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var b bytes.Buffer
	const headRoom = 1 << 10
	b.Grow(headRoom + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	if r.Query != "" {
		b.WriteByte('?')
		b.WriteString(r.Query)
	}
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = h.Write(&b) // a buffer does not fail
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// exchange writes a request and reads the head of its response.
func (a *Response) exchange(request []byte, r *sumachead.CallerRequest) error {
	first := request[:min(len(request), maxInlineRequest)]
	a.conn.watch.Start()
	if len(first) < len(request) {
		defer a.conn.watch.StopWhenSent() // the response may come before the server has read the request
	} else {
		defer a.conn.watch.Stop()
	}
	if n, err := a.conn.Write(first); err != nil {
		if n == 0 {
			return &Failure{sumachead.NotRun, sumachead.ReasonServerUnreached, err}
		}
		return &Failure{sumachead.MayHaveRun, sumachead.ReasonServerFailed, err}
	}
	if rest := request[len(first):]; len(rest) > 0 {
		u := &upload{done: make(chan struct{})}
		a.upload = u
		go func() {
			defer close(u.done)
			_, u.err = a.conn.Write(rest)
		}()
	}
	if err := a.readHead(r); err != nil {
		return err
	}
	// The connection is not reused if the rest of a request with an early response can't be written.
	a.reusable = a.upload.wait() && a.reusable
	return nil
}

// readHead reads response heads until that of this request. Responses to earlier requests, which
// a server may send twice, are skipped, and so are those that do not name their request: nothing
// shows that they belong to this one.
func (a *Response) readHead(r *sumachead.CallerRequest) error {
	for range maxStrayResponses + 1 {
		//nolint:bodyclose // Close ends the connection, or gives it back once the body was read
		resp, err := a.conn.readHead(&http.Request{Method: r.Method})
		switch {
		case errors.Is(err, stricthttp.ErrMalformed):
			return &Failure{sumachead.MayHaveRun, sumachead.ReasonBadAnswer, err}
		case errors.Is(err, ErrNoMemory):
			return &Failure{sumachead.MayHaveRun, sumachead.ReasonInterrupted, err}
		case err != nil:
			return &Failure{sumachead.MayHaveRun, sumachead.ReasonServerFailed, err}
		}
		a.Head = a.pool.Dialect.Decode(resp.StatusCode, resp.Header, time.Now())
		if a.Head.ID != "" && !a.Head.Stale { // a notice of another incarnation does not apply to this one
			a.pool.notice(a.server.ID, a.Head.ServerNotice, a.sentAt)
		}
		if a.Head.ID == r.ID {
			a.Status, a.Header = resp.StatusCode, resp.Header
			a.body, a.Framing, a.bodyStart = resp.Body, FramingOf(resp), a.conn.received
			a.reusable = !resp.Close && a.Framing != FramingClose
			return nil
		}
		if resp.Close || discardBody(resp.Body) != nil {
			break
		}
	}
	return &Failure{sumachead.MayHaveRun, sumachead.ReasonBadAnswer, errors.New("the answer belongs to another request")}
}

// discardBody reads a body to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBodyBytes))
	if err == nil && n == maxStrayBodyBytes {
		return errors.New("the body is too long to be discarded")
	}
	return err
}

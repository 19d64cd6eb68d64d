package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sumachead"
	"sumachead/internal/boottime"
)

const (
	// inlineBytes is the size up to which a request is written before the answer
	// is read: it fits the buffers of a connection.
	inlineBytes = 16 << 10
	// restOfBody is how long the rest of a body may take to be taken in after
	// the answer has come.
	restOfBody = 300 * time.Millisecond
	// maxSurplus is how many answers to earlier requests are passed over.
	maxSurplus = 2
	// maxSurplusBytes bounds the body of each.
	maxSurplusBytes = 1 << 20
)

// Failure is an attempt that brought no answer of the server's.
type Failure struct {
	Verdict sumachead.Verdict
	Reason  sumachead.Reason
	Err     error
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Answer is the head of a server's answer, with its body to be read. Close it.
type Answer struct {
	Status int
	Header http.Header
	Head   sumachead.AnswerHead

	body   io.ReadCloser
	pool   *Pool
	server Server
	conn   *conn
	sentAt sumachead.BootTime
	// stop ends the closing of the connection by the end of the context; it
	// reports whether it came first.
	stop func() bool
	// whole: the body has been read to its end, and the connection is in step.
	whole bool
	// keep: the server lets the connection be used again, and has taken in all of
	// the request.
	keep bool
}

// Read reads the body. An io.EOF says that it came whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close gives the connection back if the answer was read whole, and ends it
// otherwise, which tells the server to stop.
func (a *Answer) Close() {
	interrupted := !a.stop()
	now := time.Now()
	if a.whole && a.keep && !interrupted && a.conn.br.Buffered() == 0 {
		a.conn.usable = a.Head.IdleUntil.Add(-restMargin)
		if a.Head.IdleUntil.IsZero() {
			a.conn.usable = now.Add(restUnstated)
		}
		a.pool.put(a.server, a.conn)
		return
	}
	_ = a.conn.Close()
	a.pool.drop(a.server, a.conn)
}

// Send sends a request to a server, on at most `most` connections at a time, and
// returns the head of its answer. The error is a [*Failure]. When ctx ends, the
// connection is closed.
func (p *Pool) Send(ctx context.Context, s Server, most int, r *sumachead.CallerRequest, t *sumachead.Attempt) (*Answer, error) {
	c, err := p.connect(ctx, s, most)
	if err != nil {
		reason := sumachead.ReasonServerUnreached
		if errors.Is(err, ErrNoConnection) {
			reason = sumachead.ReasonBusy
		}
		return nil, &Failure{sumachead.NotRun, reason, err}
	}
	if f := p.unwanted(s.ID); f != nil {
		p.put(s, c)
		return nil, f
	}
	a := &Answer{pool: p, server: s, conn: c, sentAt: boottime.Clock{}.Now()}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.exchange(p.encode(r, t), r); err != nil {
		a.stop()
		_ = c.Close()
		p.drop(s, c)
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
	_ = h.Write(&b) // a buffer takes everything
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// exchange writes a request and reads the head of its answer.
func (a *Answer) exchange(request []byte, r *sumachead.CallerRequest) error {
	first := request[:min(len(request), inlineBytes)]
	if n, err := a.conn.Write(first); err != nil {
		if n == 0 {
			return &Failure{sumachead.NotRun, sumachead.ReasonServerUnreached, err}
		}
		return &Failure{sumachead.MayHaveRun, sumachead.ReasonServerFailed, err}
	}
	rest := request[len(first):]
	written := make(chan error, 1)
	if len(rest) == 0 {
		written <- nil
	} else {
		go func() {
			_, err := a.conn.Write(rest)
			written <- err
		}()
	}
	if err := a.readHead(r); err != nil {
		return err
	}
	a.finishBody(written)
	return nil
}

// finishBody waits for the rest of a request that was answered before it was all
// sent. A connection that does not take it in is not used again.
func (a *Answer) finishBody(written <-chan error) {
	select {
	case err := <-written:
		a.keep = a.keep && err == nil
	case <-time.After(restOfBody):
		a.keep = false
	}
}

// readHead reads heads until that of this request's answer. Answers to earlier
// requests, which a server may send twice, are passed over.
func (a *Answer) readHead(r *sumachead.CallerRequest) error {
	for range maxSurplus + 1 {
		//nolint:bodyclose // Close ends the connection, or gives it back once the body was read
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: r.Method})
		if err != nil {
			return &Failure{sumachead.MayHaveRun, sumachead.ReasonServerFailed, err}
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		a.Head = a.pool.Dialect.Decode(resp.StatusCode, resp.Header, time.Now())
		if !a.Head.Stale { // what another life says is not of this one
			a.pool.notice(a.server.ID, a.Head.ServerNotice, a.sentAt)
		}
		if a.Head.ID == r.ID || (a.Head.ID == "" && (a.Head.NotRun || a.Head.Stale)) {
			a.Status, a.Header = resp.StatusCode, resp.Header
			a.body = resp.Body
			a.keep = !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
			return nil
		}
		if resp.Close || skip(resp.Body) != nil {
			break
		}
	}
	return &Failure{sumachead.MayHaveRun, sumachead.ReasonBadAnswer, errors.New("the answer belongs to another request")}
}

// skip reads a body to its end.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSurplusBytes))
	if err == nil && n == maxSurplusBytes {
		return errors.New("the body is too long to pass over")
	}
	return err
}

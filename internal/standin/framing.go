package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
)

// How the ends of a replica's responses are marked, and where responses break off.

// Framings of responses. The zero value leaves the framing to net/http.
const (
	framingLength  = "length"
	framingChunked = "chunked"
	framingClose   = "close"
	// framingAny selects one of the others at random for each response.
	framingAny = "any"
)

// cut is how a response breaks off.
type cut int

const (
	cutNone cut = iota
	cutClose
	cutReset
	cutCrash
)

// framedResponse writes a response with a chosen framing on a connection of its own. It implements
// http.ResponseWriter; each call of Write writes one event or a whole plain body.
type framedResponse struct {
	replica *Replica
	framing string
	header  http.Header
	conn    net.Conn
	w       *bufio.Writer
	// length is the length of the whole body.
	length int
	// malformed is set if the head is to be malformed.
	malformed bool
	// started is set once the head is written.
	started bool
	// cut is how the response breaks off, within the write that follows cutWrites others.
	cut       cut
	cutWrites int
	// err is the error of the last write.
	err error
}

// frame takes over the connection of a response whose body has the given length and is written by a
// number of calls. It returns nil if that is not possible.
func (r *Replica) frame(w http.ResponseWriter, f ReplicaFaults, length, writes int) *framedResponse {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	x := &framedResponse{replica: r, framing: f.Framing, header: w.Header(), conn: conn, w: buffered.Writer, length: length}
	if x.framing == framingAny {
		x.framing = []string{framingLength, framingChunked, framingClose}[rand.IntN(3)]
	}
	x.malformed = f.MalformedOneIn > 0 && rand.IntN(f.MalformedOneIn) == 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.CutOneIn > 0 && rand.IntN(f.CutOneIn) == 0 && writes > 0 {
		x.cut, x.cutWrites = cut(1+rand.IntN(int(cutReset))), rand.IntN(writes)
		if f.CutCrashes {
			x.cut = cutCrash
		}
	}
	if r.framed == nil {
		r.framed = make(map[net.Conn]struct{})
	}
	r.framed[conn] = struct{}{}
	return x
}

// Header implements http.ResponseWriter.
func (x *framedResponse) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *framedResponse) WriteHeader(status int) {
	if x.started {
		return
	}
	x.started = true
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nConnection: close\r\n", status, http.StatusText(status))
	switch x.framing {
	case framingLength:
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", x.length)
	case framingChunked:
		_, _ = fmt.Fprint(&head, "Transfer-Encoding: chunked\r\n")
	}
	_ = x.header.Write(&head)
	_, _ = head.WriteString("\r\n")
	x.writeHead(head.String())
}

// Write implements http.ResponseWriter.
func (x *framedResponse) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return 0, x.err
	}
	part := b
	if x.cut != cutNone && x.cutWrites == 0 {
		part = b[:x.cutPosition(len(b))]
	}
	x.cutWrites--
	switch {
	case x.framing != framingChunked || len(part) == 0:
		_, _ = x.w.Write(part)
	case len(part) == len(b):
		_, _ = fmt.Fprintf(x.w, "%x\r\n%s\r\n", len(b), b)
	default:
		_, _ = fmt.Fprintf(x.w, "%x\r\n%s", len(b), part)
	}
	if x.err = x.w.Flush(); x.err == nil && len(part) < len(b) {
		x.breakOff()
		x.err = net.ErrClosed
	}
	return len(part), x.err
}

// cutPosition returns after how many of size bytes the response breaks off. Without a marked end, a
// server that runs on breaks off within an event.
func (x *framedResponse) cutPosition(size int) int {
	if x.cut == cutClose && x.framing == framingClose {
		return 1 + rand.IntN(size-1)
	}
	return rand.IntN(size)
}

// Flush implements http.Flusher: each write is flushed.
func (x *framedResponse) Flush() {}

// breakOff breaks the response off.
func (x *framedResponse) breakOff() {
	if x.cut == cutCrash {
		x.replica.crash("")
		return
	}
	if t, ok := x.conn.(*net.TCPConn); ok && (x.cut == cutReset || x.isPlain() && x.framing == framingClose) {
		// Of a plain response without a marked end nothing but a reset shows that it is incomplete.
		_ = t.SetLinger(0)
	}
	x.close()
}

// isPlain reports whether the response is not an event stream.
func (x *framedResponse) isPlain() bool {
	return !strings.HasPrefix(x.header.Get("Content-Type"), "text/event-stream")
}

// finish ends the response. One that is not complete ends with a reset.
func (x *framedResponse) finish(complete bool) {
	x.WriteHeader(http.StatusOK)
	if complete && x.framing == framingChunked && x.err == nil {
		_, _ = x.w.WriteString("0\r\n\r\n")
	}
	if t, ok := x.conn.(*net.TCPConn); ok && !complete {
		_ = t.SetLinger(0)
	}
	_ = x.w.Flush()
	x.close()
}

// close closes the connection.
func (x *framedResponse) close() {
	x.replica.mu.Lock()
	defer x.replica.mu.Unlock()
	delete(x.replica.framed, x.conn)
	_ = x.conn.Close()
}

// closeFramed closes the connections of framed responses, as the end of their process does. The caller
// holds mu.
func (r *Replica) closeFramed(reset bool) {
	for c := range r.framed {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(r.framed)
}

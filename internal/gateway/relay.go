package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sumachead"
	"sumachead/internal/place"
	"sumachead/internal/upstream"
)

// maxWhole bounds an answer that is read whole before it is passed on.
const maxWhole = 8 << 20

// drainBytes bounds what is read of an answer that nobody wants, so that its
// connection can be used again.
const drainBytes = 64 << 10

// heldLong is for how long a caller has to hold a write up for the end of its stream to be its
// own doing: servers cut off what stays unread for some seconds, and an answer that is read at
// all is never held up so long. Such a server has failed nobody, and another one would have to
// make the same events again for a caller who does not read them.
const heldLong = time.Second

// sizeUnknown is the size of an answer whose end is not known when it starts.
const sizeUnknown = -1

// drain reads an answer that nobody wants.
func drain(a *upstream.Response) {
	// Whether it was read to its end shows when the answer is closed.
	_, _ = io.CopyN(io.Discard, a, drainBytes)
}

// relayWhole passes a plain answer on once it is there to its end, so that one
// that breaks off can be asked for elsewhere.
func (d *dispatch) relayWhole(a *upstream.Response) error {
	body, err := io.ReadAll(io.LimitReader(a, maxWhole+1))
	switch {
	case err != nil:
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonInterrupted, Err: fmt.Errorf("the answer broke off after %d bytes: %w", len(body), err)}
	case len(body) > maxWhole:
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonBadAnswer, Err: errors.New("the answer is too large")}
	}
	d.x.start(a.Status, a.Header, len(body))
	return d.write(body)
}

// write passes a part of the answer on to the caller.
func (d *dispatch) write(part []byte) error {
	begun := time.Now()
	err := d.x.answer.Write(part)
	d.held = time.Since(begun)
	if err != nil {
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonInterrupted, "the caller has gone", d.x.deadline)
	}
	return nil
}

// eventStream is the state of an answer of events, which may go on at another
// server.
type eventStream struct {
	// lastID is the id of the last event that the caller has; what the caller
	// asked to go on after at first.
	lastID string
	// header is that of the first server's answer; nil until the first event.
	header http.Header
	// buffer holds what was read and not passed on: part of an event.
	buffer []byte
}

// newEventStream returns the state before the first event.
func newEventStream(x *exchange) *eventStream {
	return &eventStream{lastID: x.request.LastEvent}
}

// fresh reports whether nothing of a stream has been passed on; also true for an
// answer that is none.
func (s *eventStream) fresh() bool { return s == nil || s.header == nil }

var (
	eventEnd  = []byte("\n\n")
	idPrefix  = []byte("id:")
	lineBreak = []byte("\n")
)

// relayEvents passes events on as they come, whole ones only. A stream that
// breaks off may go on elsewhere, after the last event that was passed on.
func (d *dispatch) relayEvents(l *place.Placement, a *upstream.Response) error {
	s := d.stream
	s.buffer = s.buffer[:0]
	const readSize = 4 << 10
	chunk := make([]byte, readSize)
	for {
		n, err := a.Read(chunk)
		s.buffer = append(s.buffer, chunk[:n]...)
		if werr := d.passEvents(l, a); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return d.endStream(a)
		}
		if err != nil && d.held >= heldLong {
			return sumachead.Refuse(sumachead.Ran, sumachead.ReasonInterrupted, "the caller reads too slowly, and the server has cut the stream off", time.Time{})
		}
		if err != nil {
			return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonInterrupted, Err: fmt.Errorf("the stream broke off: %w", err)}
		}
	}
}

// passEvents passes on the whole events in the buffer.
func (d *dispatch) passEvents(l *place.Placement, a *upstream.Response) error {
	s := d.stream
	end := bytes.LastIndex(s.buffer, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	part := s.buffer[:end]
	now := time.Now()
	l.RecordFirstEvent(now)
	if s.header == nil {
		s.header = a.Header
		d.x.start(a.Status, a.Header, sizeUnknown)
	}
	if d.x.noteEvent(now) {
		l.RecordLate()
	}
	for event := range bytes.SplitAfterSeq(part, eventEnd) {
		s.note(event, d.x)
	}
	if err := d.write(part); err != nil {
		return err
	}
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	return nil
}

// note counts an event and takes its id.
func (s *eventStream) note(event []byte, x *exchange) {
	if len(event) == 0 {
		return
	}
	x.events++
	for line := range bytes.SplitSeq(event, lineBreak) {
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// endStream ends a stream that the server has ended.
func (d *dispatch) endStream(a *upstream.Response) error {
	s := d.stream
	if s.header == nil {
		d.x.start(a.Status, a.Header, sizeUnknown)
	}
	if len(s.buffer) == 0 {
		return nil
	}
	return d.write(s.buffer)
}

package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/eventstream"
	"sumachead/internal/origin"
	"sumachead/internal/place"
	"sumachead/internal/quarantine"
	"sumachead/internal/upstream"
)

// maxDrainBytes and drainTimeout limit how much of an unwanted response is read, and for how long, so
// that its connection can be reused.
const (
	maxDrainBytes = 64 << 10
	drainTimeout  = 20 * time.Millisecond
)

// slowReaderThreshold is how long a caller must block a write for the end of its stream to be
// attributed to the caller: servers cut off a response that stays unread for some seconds, and a
// caller that reads at all never blocks a write that long. Such a server has not failed, and
// another one would only generate the same events again for a caller that does not read them.
const slowReaderThreshold = time.Second

// sizeUnknown is the size of a response whose end is not known when it starts.
const sizeUnknown = -1

// drain reads an unwanted response.
func drain(a *upstream.Response) {
	a.LimitRead(time.Now().Add(drainTimeout))
	// Closing the response shows whether it was read to its end.
	_, _ = io.CopyN(io.Discard, a, maxDrainBytes)
}

// relayBuffered passes a plain response on once it has been read completely, so that one that
// breaks off can be requested from another server.
func (d *dispatch) relayBuffered(a *upstream.Response) error {
	reserved := upstream.NewReservation(&d.responseMemory, a.Abort)
	defer reserved.Release()
	body, err := readBody(a, reserved)
	err = cmp.Or(reserved.Pin(), err)
	if err == nil && !d.isComplete(a, responseEnd{framing: a.Framing}) {
		err = io.ErrUnexpectedEOF
	}
	d.recordEnd(a, err, 0)
	switch {
	case errors.Is(err, errResponseTooLarge):
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonBadAnswer, Err: err}
	case err != nil:
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonInterrupted, Err: fmt.Errorf("the answer broke off after %d bytes: %w", len(body), err)}
	}
	d.x.start(a.Status, a.Header, len(body))
	return d.write(body)
}

// recordEnd counts the end of a server's response: an error if it ended before its framing says so.
// partialBytes is the number of bytes after its last complete event.
func (d *dispatch) recordEnd(a *upstream.Response, err error, partialBytes int) {
	d.x.framing, d.x.partialBytes = a.Framing, partialBytes
	end := endComplete
	switch {
	case err != nil:
		end = endBroken
	case partialBytes > 0:
		end = endInEvent
	}
	d.metrics.responseEnds.WithLabelValues(string(a.Framing), end).Inc()
}

// write sends a part of the response to the caller.
func (d *dispatch) write(part []byte) error {
	begun := time.Now()
	err := d.x.response.Write(part)
	d.writeBlocked = time.Since(begun)
	if err != nil {
		return sumachead.Refuse(sumachead.Ran, sumachead.ReasonInterrupted, "the caller has gone", d.x.deadline)
	}
	return nil
}

// eventStream is the state of an event stream, which may be resumed at another server.
type eventStream struct {
	// lastID is the ID of the last event that the caller has; initially the event after which the
	// caller asked to resume.
	lastID string
	// started is set once an event has been passed on.
	started bool
	// origin is where the stream began: only servers of that version may send further events. It is
	// nil until the first event of a stream that is not resumed.
	origin *origin.Origin
	// server is the server that sent the last event; empty until the first event.
	server sumachead.ServerID
	// splitter splits the response of the current server, whose first event arrived at firstEventAt; zero
	// before.
	splitter     eventstream.Splitter
	firstEventAt time.Time
	// survived is set once the current server is known not to crash on the prompt.
	survived bool
	// hasData is set once the current server has sent an event with data, and endMarked if the last
	// event marks the end of the stream.
	hasData   bool
	endMarked bool
}

// newEventStream returns the state before the first event.
func newEventStream(x *exchange) *eventStream {
	return &eventStream{lastID: x.request.LastEvent}
}

// beginAttempt resets what is known of the current server's response.
func (s *eventStream) beginAttempt() {
	s.splitter, s.firstEventAt, s.survived, s.hasData, s.endMarked = eventstream.Splitter{}, time.Time{}, false, false, false
}

// unstarted reports whether nothing of a stream has been passed on; it is also true for a plain
// response.
func (s *eventStream) unstarted() bool { return s == nil || !s.started }

// relayEvents passes complete events on as they arrive. A stream that breaks off may be resumed at
// another server after the last event that was passed on.
func (d *dispatch) relayEvents(l *place.Placement, a *upstream.Response) error {
	s := d.stream
	const readSize = 4 << 10
	chunk := make([]byte, readSize)
	reserved := upstream.NewReservation(&d.responseMemory, a.Abort)
	defer func() {
		s.splitter = eventstream.Splitter{}
		reserved.Release()
	}()
	for {
		reserved.Unpin()
		n, err := a.Read(chunk)
		if reserveErr := cmp.Or(reserved.Pin(), reserved.Resize(bufferSize(s.splitter.SizeAfter(n)))); reserveErr != nil {
			d.recordEnd(a, reserveErr, len(s.splitter.Rest()))
			return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonInterrupted, Err: reserveErr}
		}
		s.splitter.Append(chunk[:n])
		if werr := d.forwardEvents(l, a); werr != nil {
			return werr
		}
		if len(s.splitter.Rest()) > maxEventBytes {
			d.recordEnd(a, errEventTooLarge, len(s.splitter.Rest()))
			return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonBadAnswer, Err: errEventTooLarge}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if d.isComplete(a, s.end(a.Framing)) {
				d.recordEnd(a, nil, len(s.splitter.Rest()))
				return d.endStream(a)
			}
			err = io.ErrUnexpectedEOF
		}
		d.recordEnd(a, err, len(s.splitter.Rest()))
		if d.writeBlocked >= slowReaderThreshold {
			return sumachead.Refuse(sumachead.Ran, sumachead.ReasonInterrupted, "the caller reads too slowly, and the server has cut the stream off", time.Time{})
		}
		return &upstream.Failure{Verdict: sumachead.MayHaveRun, Reason: sumachead.ReasonInterrupted, Err: fmt.Errorf("the stream broke off: %w", err)}
	}
}

// end returns what the bytes of the stream show about its end.
func (s *eventStream) end(f upstream.Framing) responseEnd {
	rest := s.splitter.Rest()
	return responseEnd{
		framing: f, stream: true, hasData: s.hasData, partial: len(rest) > 0, marked: s.endMarked || eventstream.IsEndMarker(rest),
	}
}

// forwardEvents passes on the complete events that have arrived.
func (d *dispatch) forwardEvents(l *place.Placement, a *upstream.Response) error {
	s := d.stream
	var part []byte
	for event, ok := s.splitter.Next(); ok; event, ok = s.splitter.Next() {
		s.track(event, d.x)
		if part == nil {
			part = event
			continue
		}
		part = part[:len(part)+len(event)] // the events follow each other in the splitter's buffer
	}
	if len(part) == 0 {
		return nil
	}
	now := time.Now()
	l.RecordFirstEvent(now)
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	if !s.survived && now.Sub(s.firstEventAt) >= quarantine.SurvivalTime {
		s.survived = true
		d.recordSurvival(now)
	}
	d.recordResumed(l.Record)
	if !s.started {
		s.started = true
		d.recordOrigin(l.Record)
		d.x.start(a.Status, a.Header, sizeUnknown)
	}
	if d.x.recordEvent(now) {
		l.RecordLate()
	}
	return d.write(part)
}

// recordResumed counts the stream as resumed if this is the first event of a server that continues
// it.
func (d *dispatch) recordResumed(r *wire.ServerRecord) {
	s, id := d.stream, sumachead.ServerID(r.GetId())
	if s.server == id {
		return
	}
	within := withinResponse
	if s.server == "" {
		within = withinRequests
	}
	s.server = id
	switch {
	case within == withinRequests && d.x.request.LastEvent == "":
		// The stream begins here.
	case s.origin == nil:
		d.metrics.resumedStreams.WithLabelValues(within, versionUnknown).Inc()
	case s.origin.Software != r.GetSoftware():
		d.metrics.resumedStreams.WithLabelValues(within, versionOther).Inc()
	default:
		d.metrics.resumedStreams.WithLabelValues(within, versionSame).Inc()
	}
}

// track counts an event and records its ID.
func (s *eventStream) track(event []byte, x *exchange) {
	x.events++
	if id, ok := eventstream.ID(event); ok {
		s.lastID = id
	}
	s.hasData = s.hasData || eventstream.HasData(event)
	s.endMarked = eventstream.IsEndMarker(event)
}

// endStream finishes a complete stream. What its server has sent after the last blank line is passed
// on as well.
func (d *dispatch) endStream(a *upstream.Response) error {
	s := d.stream
	if !s.started {
		d.x.start(a.Status, a.Header, sizeUnknown)
	}
	rest := s.splitter.Rest()
	if len(rest) == 0 {
		return nil
	}
	return d.write(rest)
}

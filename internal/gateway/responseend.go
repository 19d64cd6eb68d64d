package gateway

import (
	"mime"
	"net/http"

	"sumachead/internal/upstream"
)

// A response with neither a length nor chunks ends with its connection, also if its server crashes or
// gives up. Its completeness is inferred from its bytes and from whether the server still runs.

// responseEnd is what is known when the body of a response has ended as its framing allows.
type responseEnd struct {
	framing upstream.Framing
	// stream is set for an event stream; the fields below apply to streams only.
	stream bool
	// hasData is set if the server has sent an event with data.
	hasData bool
	// partial is set if bytes follow the last blank line.
	partial bool
	// marked is set if the last event marks the end of the stream.
	marked bool
}

// isComplete reports whether the response is complete. The function liveness returns whether its
// server still runs; it is only called if the bytes leave that open.
func (e responseEnd) isComplete(liveness func() upstream.Liveness) bool {
	switch {
	case e.isMarked():
		return true
	case e.stream && (e.partial || !e.hasData):
		return false
	}
	return liveness() == upstream.Accepting
}

// isMarked reports whether the framing or the last event marks the end.
func (e responseEnd) isMarked() bool { return e.framing != upstream.FramingClose || e.marked }

// isComplete reports whether a response of the last attempt's server is complete. Without a marked end, the
// server must have received the whole request as well: it may have given up on an upload.
func (d *dispatch) isComplete(a *upstream.Response, e responseEnd) bool {
	runs := func() upstream.Liveness { return d.crashes.liveness(d.x.placement.Record) }
	return e.isComplete(runs) && (e.isMarked() || a.RequestReceived())
}

// sendsEvents reports whether a response is an event stream. Servers may omit its content type.
func sendsEvents(a *upstream.Response) bool {
	if a.Status != http.StatusOK {
		return false
	}
	contentType := a.Header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// Package eventstream splits the bytes of event streams (text/event-stream) into events.
package eventstream

import "bytes"

// lineEnd is how a line ends.
type lineEnd int

const (
	lineFeed lineEnd = iota
	carriageReturn
	carriageReturnLineFeed
)

// maxIdleBytes is the size of a buffer that is kept between events.
const maxIdleBytes = 16 << 10

// Splitter splits a stream into events as its bytes arrive. An event ends with a blank line; lines
// end with LF, CR or CRLF. The zero value is ready to use.
type Splitter struct {
	buf []byte
	// start is where the first event begins that Next has not returned, lineStart where the current
	// line begins, and pos up to where buf has been searched.
	start, lineStart, pos int
	// previous is how the line before the current one ended.
	previous lineEnd
}

// Append adds bytes of the stream. It invalidates the events that Next has returned.
func (s *Splitter) Append(b []byte) {
	buf := s.buf[:0]
	if size := s.SizeAfter(len(b)); size != cap(s.buf) {
		buf = make([]byte, 0, size)
	}
	s.buf = append(append(buf, s.Rest()...), b...)
	s.lineStart -= s.start
	s.pos -= s.start
	s.start = 0
}

// Next returns the next complete event with its blank line; ok is false if there is none yet.
func (s *Splitter) Next() (event []byte, ok bool) {
	for s.pos < len(s.buf) {
		i := bytes.IndexAny(s.buf[s.pos:], "\r\n")
		if i < 0 {
			s.pos = len(s.buf)
			break
		}
		s.pos += i
		blank := s.pos == s.lineStart
		size, kind, known := s.lineEndAt(s.pos, blank)
		if !known {
			break
		}
		s.pos += size
		s.lineStart, s.previous = s.pos, kind
		if blank {
			event, s.start = s.buf[s.start:s.pos], s.pos
			return event, true
		}
	}
	return nil, false
}

// lineEndAt returns the size and the kind of the line end at a position; known is false if a line
// feed that belongs to it may follow.
func (s *Splitter) lineEndAt(pos int, blank bool) (size int, kind lineEnd, known bool) {
	switch {
	case s.buf[pos] == '\n':
		return 1, lineFeed, true
	case pos+1 < len(s.buf) && s.buf[pos+1] == '\n':
		return 2, carriageReturnLineFeed, true
	case pos+1 < len(s.buf), blank && s.previous == carriageReturn:
		return 1, carriageReturn, true
	}
	return 0, carriageReturn, false
}

// SizeAfter returns the size that the buffer will have once n more bytes are appended.
func (s *Splitter) SizeAfter(n int) int {
	rest := len(s.Rest())
	switch size := cap(s.buf); {
	case rest == 0 && size > maxIdleBytes:
		return n
	case rest+n > size:
		return max(2*size, rest+n)
	default:
		return size
	}
}

// Rest returns the bytes after the last complete event: a part of an event, or an event without its
// blank line.
func (s *Splitter) Rest() []byte { return s.buf[s.start:] }

// ID returns the ID that an event sets; ok is false if it sets none.
func ID(event []byte) (id string, ok bool) {
	for line := range lines(event) {
		if v, found := field(line, "id"); found {
			id, ok = string(v), true
		}
	}
	return id, ok
}

// HasData reports whether an event has data; comments do not.
func HasData(event []byte) bool {
	for line := range lines(event) {
		if _, ok := field(line, "data"); ok {
			return true
		}
	}
	return false
}

// endMarker is the data of the last event of model APIs.
const endMarker = "[DONE]"

// IsEndMarker reports whether an event marks the end of its stream.
func IsEndMarker(event []byte) bool {
	for line := range lines(event) {
		if v, ok := field(line, "data"); ok && string(v) == endMarker {
			return true
		}
	}
	return false
}

// lines returns the lines of an event.
func lines(event []byte) func(yield func([]byte) bool) {
	return bytes.FieldsFuncSeq(event, func(c rune) bool { return c == '\r' || c == '\n' })
}

// field returns the value of a line with the field of a name.
func field(line []byte, name string) (value []byte, ok bool) {
	v, ok := bytes.CutPrefix(line, []byte(name))
	if !ok {
		return nil, false
	}
	v, ok = bytes.CutPrefix(v, []byte(":"))
	return bytes.TrimSpace(v), ok
}

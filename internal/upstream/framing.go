package upstream

import "net/http"

// Framing is how the end of a response's body is marked.
type Framing string

const (
	// FramingLength marks the end by a length, which is 0 for responses without a body.
	FramingLength Framing = "length"
	// FramingChunked marks the end by a last chunk.
	FramingChunked Framing = "chunked"
	// FramingClose does not mark the end: the body ends with its connection, also if the server has
	// broken it off.
	FramingClose Framing = "close"
)

// Framings lists each framing once.
func Framings() []Framing { return []Framing{FramingLength, FramingChunked, FramingClose} }

// FramingOf returns the framing of a response that http.ReadResponse has read.
func FramingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

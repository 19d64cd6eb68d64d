package stricthttp

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
)

// setBody sets the body of a response, its length, its transfer encoding and whether the connection ends
// with it.
func setBody(resp *http.Response, br *bufio.Reader) error {
	chunked, err := parseTransferEncoding(resp)
	if err != nil {
		return err
	}
	if resp.ContentLength, err = parseContentLength(resp.Header.Values("Content-Length")); err != nil {
		return err
	}
	if chunked && resp.ContentLength >= 0 {
		return malformed("it has both a length and chunks")
	}
	resp.Close = closesConnection(resp)
	switch status := resp.StatusCode; {
	case status < http.StatusOK || status == http.StatusNoContent:
		if chunked || resp.ContentLength > 0 {
			return malformed("a body with status %d", status)
		}
		resp.Body, resp.ContentLength = http.NoBody, 0
	case status == http.StatusNotModified || resp.Request.Method == http.MethodHead || resp.ContentLength == 0:
		resp.Body, resp.ContentLength = http.NoBody, 0
	case chunked:
		resp.TransferEncoding = []string{"chunked"}
		resp.Body = io.NopCloser(&chunkedBody{br: br, chunks: httputil.NewChunkedReader(br)})
	case resp.ContentLength > 0:
		resp.Body = io.NopCloser(&sizedBody{br: br, left: resp.ContentLength})
	default:
		resp.Body, resp.Close = io.NopCloser(br), true
	}
	return nil
}

// parseTransferEncoding reports whether the body is chunked, and removes the field. No other encoding is
// accepted.
func parseTransferEncoding(resp *http.Response) (chunked bool, err error) {
	const name = "Transfer-Encoding"
	values := resp.Header.Values(name)
	if len(values) == 0 {
		return false, nil
	}
	if len(values) > 1 || !strings.EqualFold(values[0], "chunked") || resp.ProtoMinor == 0 {
		return false, malformed("transfer encoding %+q in %s", values, resp.Proto)
	}
	resp.Header.Del(name)
	return true, nil
}

// parseContentLength returns the length that all values name; -1 without values.
func parseContentLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	const bits = 63
	n, err := strconv.ParseUint(values[0], 10, bits)
	if err != nil {
		return 0, malformed("length %+q", values[0])
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, malformed("lengths %+q", values)
		}
	}
	return int64(n), nil
}

// closesConnection reports whether the fields end the connection with the response.
func closesConnection(resp *http.Response) bool {
	keepsAlive := resp.ProtoMinor > 0
	for _, v := range resp.Header.Values("Connection") {
		for option := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.Trim(option, " \t")) {
			case "close":
				return true
			case "keep-alive":
				keepsAlive = true
			}
		}
	}
	return !keepsAlive
}

// sizedBody reads a body of a known length.
type sizedBody struct {
	br   *bufio.Reader
	left int64
}

// Read implements io.Reader. It returns io.EOF with the last bytes.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// chunkedBody reads a body in chunks, and its trailer.
type chunkedBody struct {
	br     *bufio.Reader
	chunks io.Reader
	// err is the error after the last chunk.
	err error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = io.EOF
	if _, err := (&lineReader{br: b.br, left: maxHeadBytes}).fields(); err != nil {
		b.err = err
	}
	return n, b.err
}

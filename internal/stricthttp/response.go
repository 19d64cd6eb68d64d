// Package stricthttp reads HTTP/1 responses strictly: a response that two readers could understand
// differently is an error, never a response.
//
// Package net/http accepts statuses from 000 to 999, blanks in field names, folded lines and lines without
// a carriage return, and ignores fields that contradict the framing.
package stricthttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// maxHeadBytes bounds the head of a response with the interim ones before it, and its trailer.
const maxHeadBytes = 64 << 10

const (
	minStatus = 100
	maxStatus = 599
)

// protocol begins every response.
const protocol = "HTTP/1."

// ErrMalformed is the error of a response that is not one.
var ErrMalformed = errors.New("malformed response")

// malformed returns an error whose text quotes a part of the response at most.
func malformed(format string, args ...any) error {
	const maxDetail = 200
	detail := fmt.Sprintf(format, args...)
	return fmt.Errorf("%w: %s", ErrMalformed, detail[:min(len(detail), maxDetail)])
}

// ReadResponse reads the head of the response to r, and returns the response with a reader of its body.
// Interim responses are skipped. The error of a malformed response is [ErrMalformed], and that of one that
// is cut off is [io.ErrUnexpectedEOF]. Closing the body has no effect.
func ReadResponse(br *bufio.Reader, r *http.Request) (*http.Response, error) {
	lines := &lineReader{br: br, left: maxHeadBytes}
	for {
		resp, err := lines.head()
		if err != nil {
			return nil, err
		}
		resp.Request = r
		if err := setBody(resp, br); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// head reads a status line and the fields after it.
func (l *lineReader) head() (*http.Response, error) {
	start, err := l.br.Peek(len(protocol))
	if !strings.HasPrefix(protocol, string(start)) {
		return nil, malformed("it begins with %+q", start)
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	line, err := l.next()
	if err != nil {
		return nil, err
	}
	resp := &http.Response{}
	if err := parseStatusLine(resp, string(line)); err != nil {
		return nil, err
	}
	resp.Header, err = l.fields()
	return resp, err
}

// parseStatusLine parses the first line of a response, as in "HTTP/1.1 200 OK". The reason phrase may be
// missing with the blank before it.
func parseStatusLine(resp *http.Response, line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor := strings.TrimPrefix(version, protocol)
	const codeDigits = 3
	if len(minor) != 1 || !isDigits(minor) || len(code) != codeDigits || !isDigits(code) || !isValue(reason) {
		return malformed("status line %+q", line)
	}
	resp.StatusCode, _ = strconv.Atoi(code)
	resp.Status, resp.Proto, resp.ProtoMajor, resp.ProtoMinor = rest, version, 1, int(minor[0]-'0')
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return malformed("it switches protocols, which was not asked for")
	}
	return nil
}

// checkStatus returns an error if no response may have the status.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return malformed("status %03d", status)
	}
	return nil
}

// Check returns an error if package net/http has read a response with a status or a field name that
// [ReadResponse] rejects. It can't find other malformed responses.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	for name := range resp.Header {
		if !isToken(name) {
			return malformed("field name %+q", name)
		}
	}
	return nil
}

// lineReader reads lines that take up to left bytes.
type lineReader struct {
	br   *bufio.Reader
	left int
}

// next returns the next line without its end. It is valid until the next read.
func (l *lineReader) next() ([]byte, error) {
	var line []byte
	for {
		part, err := l.br.ReadSlice('\n')
		l.left -= len(part)
		switch {
		case l.left < 0:
			return nil, malformed("its head is too long")
		case errors.Is(err, bufio.ErrBufferFull):
			line = append(line, part...)
			continue
		case err != nil:
			return nil, unexpectedEOF(err)
		}
		if line != nil {
			part = append(line, part...)
		}
		text, ok := bytes.CutSuffix(part, []byte("\r\n"))
		if !ok {
			return nil, malformed("line %+q does not end with CRLF", part)
		}
		return text, nil
	}
}

// fields reads the lines up to an empty one.
func (l *lineReader) fields() (http.Header, error) {
	h := make(http.Header)
	for {
		line, err := l.next()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return h, nil
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !isToken(name) || !isValue(value) {
			return nil, malformed("field line %+q", line)
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		h[name] = append(h[name], strings.Trim(value, " \t"))
	}
}

// unexpectedEOF returns the error of a response that ends too early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// isToken reports whether s is a token as defined by RFC 9110, section 5.6.2.
func isToken(s string) bool {
	const chars = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for i := range len(s) {
		if strings.IndexByte(chars, s[i]) < 0 {
			return false
		}
	}
	return s != ""
}

// isValue reports whether s has no control bytes other than tabs.
func isValue(s string) bool {
	for i := range len(s) {
		const del = 0x7f
		if c := s[i]; c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

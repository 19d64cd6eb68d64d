// Package explain tells one request's story from log files: the lines about the
// request in order, and before each what its process believed then.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"
)

// messageStarting is the first line of each life of a process.
const messageStarting = "Starting."

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// fieldServer names the backend server that a line is about.
const fieldServer = "server"

// beliefs are the messages that change what a process believes, as it logs them,
// with the field that tells them apart where one message speaks of several
// things.
var beliefs = map[string]string{
	messageStarting:                                      "",
	"A declaration is in force.":                         "",
	"The leading keeper is found.":                       "",
	"The way to the leading keeper is lost.":             "",
	"The ledger had closed this holder; it starts anew.": "",
	"Stopping: new callers are turned away.":             "",
	"A backend server's record has changed.":             fieldServer,
	"A backend server leaves.":                           fieldServer,
	"A backend server says in an answer that it leaves.": fieldServer,
	"Backend server requested backoff.":                  fieldServer,
	"Backend server named a request limit.":              fieldServer,
	"Backend server no longer names a request limit.":    fieldServer,
	"A roll-out's phase is in force.":                    "",
	"Escrow of a holder is short or in excess.":          "workspace",
	"Leading.":           "",
	"No longer leading.": "",
}

// Line is one line of a log.
type Line struct {
	At time.Time
	// Module is the name of the process and its parts, with dots between.
	Module  string
	Message string
	// Fields are the others.
	Fields map[string]any
}

// process returns the name of the process that wrote the line.
func (l *Line) process() string {
	name, _, _ := strings.Cut(l.Module, ".")
	return name
}

// Read reads the lines of one log. What stands before the object of a line, such
// as a collector's own time and host, is passed over; so is a line without one.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var lines []Line
	for s.Scan() {
		start := strings.IndexByte(s.Text(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil {
			continue // not a line of ours
		}
		if l, ok := newLine(fields); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(s.Err())
}

// newLine takes the time, module and message out of the fields of a line; ok is
// false for one that lacks its time or message.
func newLine(fields map[string]any) (l Line, ok bool) {
	l.Fields = fields
	l.Module, _ = fields["@module"].(string)
	l.Message, _ = fields["@message"].(string)
	at, _ := fields["@timestamp"].(string)
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, at)
	for name := range fields {
		if strings.HasPrefix(name, "@") {
			delete(fields, name)
		}
	}
	return l, err == nil && l.Message != ""
}

// Story writes the story of a request to w: its lines in order, and before each
// the beliefs of the process that wrote it, as far as they bear on the request.
// The clocks of processes may differ; the order within one process is exact.
func Story(w io.Writer, lines []Line, request string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	held := make(map[string]map[string]Line)
	found := false
	for _, l := range lines {
		if about, ok := beliefs[l.Message]; ok {
			note(held, l, about)
		}
		if l.Fields["request"] != request {
			continue
		}
		found = true
		if err := tell(w, l, held); err != nil {
			return trace.Wrap(err)
		}
	}
	if !found {
		return trace.NotFound("no line is about request %q; above a rate, lines of served requests are left out", request)
	}
	return nil
}

// note keeps the newest line of each belief of a process. What the leading keeper
// believes of a server or a workspace bears on requests elsewhere as well.
func note(held map[string]map[string]Line, l Line, about string) {
	p := l.process()
	if held[p] == nil || l.Message == messageStarting { // a new process believes nothing yet
		held[p] = make(map[string]Line)
	}
	held[p][fmt.Sprint(l.Message, "/", l.Fields[about])] = l
}

// tell writes one line of the story with the beliefs that bear on it.
func tell(w io.Writer, l Line, held map[string]map[string]Line) error {
	var bearing []Line
	for process, kept := range held {
		for _, b := range kept {
			if process == l.process() || bears(b, l) {
				bearing = append(bearing, b)
			}
		}
	}
	slices.SortFunc(bearing, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, b := range bearing {
		if _, err := fmt.Fprintf(w, "    %8.3fs before, %s: %s %s\n", l.At.Sub(b.At).Seconds(), b.process(), b.Message, b.text()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s %s: %s %s\n", l.At.Format(time.RFC3339Nano), l.process(), l.Message, l.text())
	return err
}

// bears reports whether a belief of another process is about the same server or
// workspace as a line.
func bears(belief, l Line) bool {
	for _, name := range []string{fieldServer, "workspace"} {
		if v, ok := belief.Fields[name]; ok && v != "" && v == l.Fields[name] {
			return true
		}
	}
	return false
}

// text returns the fields in a fixed order.
func (l *Line) text() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	slices.SortFunc(names, cmp.Compare[string])
	var b strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, "%s=%v ", n, l.value(n)) // a builder takes everything
	}
	return strings.TrimSpace(b.String())
}

// value returns a field; spans, which are logged in nanoseconds, are readable.
func (l *Line) value(name string) any {
	v := l.Fields[name]
	switch name {
	case "after", "first", "pause", "expected", "backlog", "told":
		if n, ok := v.(float64); ok {
			return time.Duration(n).Round(time.Microsecond)
		}
	}
	if n, ok := v.(float64); ok && n == float64(int64(n)) {
		return int64(n)
	}
	return v
}

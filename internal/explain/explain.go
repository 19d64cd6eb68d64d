// Package explain reconstructs the timeline of a request from log files: the lines about
// the request in order, each preceded by the state that its process had logged by then.
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

// messageStarting is the first message of each incarnation of a process.
const messageStarting = "Starting."

// maxLineBytes limits one line of a log.
const maxLineBytes = 1 << 20

// fieldServer is the field with the backend server that a line is about.
const fieldServer = "server"

// stateMessages are the log messages about changes of the state that a process acts on,
// each with the field that identifies its subject; empty if the message has only one.
var stateMessages = map[string]string{
	messageStarting:                        "",
	"Declaration in force.":                "",
	"Found the leading keeper.":            "",
	"Lost the path to the leading keeper.": "",
	"The ledger had closed this escrow holder; it starts again with a new incarnation.": "",
	"Stopping: draining callers.":                 "",
	"Backend server record changed.":              fieldServer,
	"Backend server is leaving.":                  fieldServer,
	"Backend server announced shutdown.":          fieldServer,
	"Backend server requested backoff.":           fieldServer,
	"Backend server set a request limit.":         fieldServer,
	"Backend server removed its request limit.":   fieldServer,
	"Rollout phase in force.":                     "",
	"Escrow holder has a shortfall or an excess.": "workspace",
	"Priority reserve of a budget changed.":       "workspace",
	"Became leader.":                              "",
	"Lost leadership.":                            "",
}

// Line is one parsed log line.
type Line struct {
	At time.Time
	// Module is the names of the process and of its components, separated by dots.
	Module  string
	Message string
	// Fields are all other fields of the line.
	Fields map[string]any
}

// processName returns the name of the process that wrote the line.
func (l *Line) processName() string {
	name, _, _ := strings.Cut(l.Module, ".")
	return name
}

// Read parses the lines of one log. It ignores what precedes the JSON object of a line,
// such as the time and host that a log collector adds, and lines without an object.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var lines []Line
	for s.Scan() {
		start := strings.IndexByte(s.Text(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil {
			continue // not a log line of this project
		}
		if l, ok := parseLine(fields); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(s.Err())
}

// parseLine extracts the time, module and message from the fields of a line; ok is
// false if the line lacks its time or message.
func parseLine(fields map[string]any) (l Line, ok bool) {
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

// WriteTimeline writes the timeline of a request to w: its lines in order, each preceded
// by the last logged state of the process that wrote it, and by that of other processes
// about the same server or workspace. The clocks of processes may differ, so only the
// order within one process is exact.
func WriteTimeline(w io.Writer, lines []Line, request string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	states := make(map[string]map[string]Line)
	found := false
	for _, l := range lines {
		if field, ok := stateMessages[l.Message]; ok {
			recordState(states, l, field)
		}
		if l.Fields["request"] != request {
			continue
		}
		found = true
		if err := writeLine(w, l, states); err != nil {
			return trace.Wrap(err)
		}
	}
	if !found {
		return trace.NotFound("no log line is about request %q; lines of served requests are suppressed above a rate limit", request)
	}
	return nil
}

// recordState keeps the latest line of each state message and subject of a process. State
// of the leading keeper about a server or workspace is also relevant to other processes.
func recordState(states map[string]map[string]Line, l Line, field string) {
	p := l.processName()
	if states[p] == nil || l.Message == messageStarting { // a new process has no state yet
		states[p] = make(map[string]Line)
	}
	states[p][fmt.Sprint(l.Message, "/", l.Fields[field])] = l
}

// writeLine writes one line of the timeline, preceded by the relevant state.
func writeLine(w io.Writer, l Line, states map[string]map[string]Line) error {
	var relevant []Line
	for process, messages := range states {
		for _, state := range messages {
			if process == l.processName() || sameSubject(state, l) {
				relevant = append(relevant, state)
			}
		}
	}
	slices.SortFunc(relevant, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, state := range relevant {
		if _, err := fmt.Fprintf(w, "    %8.3fs before, %s: %s %s\n", l.At.Sub(state.At).Seconds(), state.processName(), state.Message, state.formatFields()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s %s: %s %s\n", l.At.Format(time.RFC3339Nano), l.processName(), l.Message, l.formatFields())
	return err
}

// sameSubject reports whether a state line of another process is about the same server
// or workspace as a line.
func sameSubject(state, l Line) bool {
	for _, name := range []string{fieldServer, "workspace"} {
		if v, ok := state.Fields[name]; ok && v != "" && v == l.Fields[name] {
			return true
		}
	}
	return false
}

// formatFields returns the fields sorted by name.
func (l *Line) formatFields() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	slices.SortFunc(names, cmp.Compare[string])
	var b strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, "%s=%v ", n, l.formatValue(n)) // writing to a strings.Builder never fails
	}
	return strings.TrimSpace(b.String())
}

// formatValue returns a field's value for output; durations, which are logged in
// nanoseconds, are made readable.
func (l *Line) formatValue(name string) any {
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

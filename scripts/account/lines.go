package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"sumachead/internal/explain"
)

// The messages that end a request, and the one that begins a process.
const (
	messageServed   = "A request is served."
	messageRefused  = "A request has no whole answer."
	messageStarting = "Starting."
)

// counts is how many requests had each cause.
type counts map[string]int

// account counts what became of requests.
type account struct {
	all     counts
	byRoute map[string]counts
	byHall  map[string]counts
	byTime  map[string]counts
	// workspaces are of those that were refused for money.
	workspaces counts
}

// newAccount counts the lines' requests; times are rounded down to steps since the first.
func newAccount(lines []explain.Line, step time.Duration) *account {
	a := &account{
		all: make(counts), byRoute: make(map[string]counts), byHall: make(map[string]counts),
		byTime: make(map[string]counts), workspaces: make(counts),
	}
	halls := make(map[string]string)
	var first time.Time
	for _, l := range lines {
		process, _, _ := strings.Cut(l.Module, ".")
		switch l.Message {
		case messageStarting:
			halls[process] = text(l, "hall")
		case messageServed, messageRefused:
			if text(l, "route") == "" {
				continue // nobody's request: no route is there for it
			}
			if first.IsZero() {
				first = l.At
			}
			a.note(l, halls[process], l.At.Sub(first).Truncate(step))
		}
	}
	return a
}

// note counts one request.
func (a *account) note(l explain.Line, hall string, at time.Duration) {
	cause := causeOf(l)
	a.all[cause]++
	add(a.byRoute, text(l, "route"), cause)
	add(a.byHall, hall, cause)
	add(a.byTime, fmt.Sprintf("%4.0f s", at.Seconds()), cause)
	if r := text(l, "reason"); r == "ledger_unreached" || r == "budget_exhausted" {
		a.workspaces[text(l, "workspace")+" "+r]++
	}
}

// causeOf names what became of a request.
func causeOf(l explain.Line) string {
	if l.Message == messageServed {
		return text(l, "outcome")
	}
	if text(l, "verdict") == "not_run" {
		return "refused: " + text(l, "reason")
	}
	return "failed: " + text(l, "reason")
}

// text returns a field that is a text.
func text(l explain.Line, name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// add counts one request in a row of a table.
func add(table map[string]counts, row, cause string) {
	if table[row] == nil {
		table[row] = make(counts)
	}
	table[row][cause]++
}

// total adds up all causes.
func (c counts) total() int {
	n := 0
	for _, x := range c {
		n += x
	}
	return n
}

// print writes all tables.
func (a *account) print(w io.Writer) error {
	tables := []struct {
		title string
		rows  map[string]counts
	}{
		{"all", map[string]counts{"": a.all}}, {"by route", a.byRoute}, {"by data hall", a.byHall}, {"by time", a.byTime},
	}
	for _, t := range tables {
		if _, err := fmt.Fprintln(w, t.title); err != nil {
			return err
		}
		for _, row := range slices.Sorted(maps.Keys(t.rows)) {
			if err := t.rows[row].print(w, row); err != nil {
				return err
			}
		}
	}
	if _, err := fmt.Fprintln(w, "refused for money, by workspace"); err != nil {
		return err
	}
	return a.workspaces.print(w, "")
}

// print writes a row: its causes, the most frequent first.
func (c counts) print(w io.Writer, row string) error {
	causes := slices.SortedFunc(maps.Keys(c), func(a, b string) int {
		return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b))
	})
	n := c.total()
	if _, err := fmt.Fprintf(w, "  %-12s %6d", row, n); err != nil {
		return err
	}
	for _, cause := range causes {
		if _, err := fmt.Fprintf(w, "  %s %d (%.1f%%)", cause, c[cause], 100*float64(c[cause])/float64(n)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

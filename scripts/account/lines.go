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

// The log messages at the end of a request and at the start of a process.
const (
	messageServed   = "Request served."
	messageRefused  = "Request ended without a complete response."
	messageStarting = "Starting."
)

// counts is the number of requests by outcome.
type counts map[string]int

// account counts the outcomes of requests, in total and by several keys.
type account struct {
	all     counts
	byRoute map[string]counts
	byHall  map[string]counts
	byTime  map[string]counts
	// workspaces counts the requests refused at budget admission, by workspace and reason.
	workspaces counts
}

// newAccount counts the requests in log lines. Times are relative to the first request and
// rounded down to a multiple of step.
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
			halls[process] = stringField(l, "hall")
		case messageServed, messageRefused:
			if stringField(l, "route") == "" {
				continue // the request matched no route
			}
			if first.IsZero() {
				first = l.At
			}
			a.countRequest(l, halls[process], l.At.Sub(first).Truncate(step))
		}
	}
	return a
}

// countRequest counts one request.
func (a *account) countRequest(l explain.Line, hall string, at time.Duration) {
	outcome := outcomeOf(l)
	a.all[outcome]++
	increment(a.byRoute, stringField(l, "route"), outcome)
	increment(a.byHall, hall, outcome)
	increment(a.byTime, fmt.Sprintf("%4.0f s", at.Seconds()), outcome)
	if r := stringField(l, "reason"); r == "ledger_unreached" || r == "budget_exhausted" {
		a.workspaces[stringField(l, "workspace")+" "+r]++
	}
}

// outcomeOf returns the outcome of a request, with the reason if it did not succeed.
func outcomeOf(l explain.Line) string {
	if l.Message == messageServed {
		return stringField(l, "outcome")
	}
	if stringField(l, "verdict") == "not_run" {
		return "refused: " + stringField(l, "reason")
	}
	return "failed: " + stringField(l, "reason")
}

// stringField returns the value of a string field, or "".
func stringField(l explain.Line, name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// increment counts one request in a row of a table.
func increment(table map[string]counts, row, outcome string) {
	if table[row] == nil {
		table[row] = make(counts)
	}
	table[row][outcome]++
}

// total returns the number of requests with any outcome.
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
	if _, err := fmt.Fprintln(w, "refused at budget admission, by workspace"); err != nil {
		return err
	}
	return a.workspaces.print(w, "")
}

// print writes a row with its outcomes in descending order of frequency.
func (c counts) print(w io.Writer, row string) error {
	outcomes := slices.SortedFunc(maps.Keys(c), func(a, b string) int {
		return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b))
	})
	n := c.total()
	if _, err := fmt.Fprintf(w, "  %-12s %6d", row, n); err != nil {
		return err
	}
	for _, outcome := range outcomes {
		if _, err := fmt.Fprintf(w, "  %s %d (%.1f%%)", outcome, c[outcome], 100*float64(c[outcome])/float64(n)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

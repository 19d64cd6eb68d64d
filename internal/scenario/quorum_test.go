package scenario

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// span is a period of time; until is zero while it lasts.
type span struct{ from, until time.Time }

// initialKeepers is the number of keepers that form the group at first. The others join later.
const initialKeepers = 3

// quorumMonitor records when partitions leave no quorum of keepers connected. Nobody can lead
// then, so that an order committed just before may reach no router. The zero value records nothing.
type quorumMonitor struct {
	// groups are the sets of keepers that may need a majority, by the labels of each keeper: the
	// initial keepers and all keepers.
	groups [][][]string
	losses []span
}

// monitorKeepers records losses of the quorum of a fleet's keepers from now on.
func (n *network) monitorKeepers(f *fleet) {
	var all [][]string
	for _, name := range f.order {
		if p := f.processes[name]; p.role == "keeper" {
			all = append(all, []string{p.hall, p.name, p.role})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quorum.groups = [][][]string{all[:min(len(all), initialKeepers)], all}
}

// update records whether the quorum is lost at the given time. The callback reachable reports
// whether a direction is not blocked.
func (p *quorumMonitor) update(reachable func(from, to []string) bool, now time.Time) {
	lost := len(p.groups) > 0
	for _, g := range p.groups {
		lost = lost && !hasMajority(g, reachable)
	}
	last := len(p.losses) - 1
	ongoing := last >= 0 && p.losses[last].until.IsZero()
	switch {
	case lost && !ongoing:
		p.losses = append(p.losses, span{from: now})
	case !lost && ongoing:
		p.losses[last].until = now
	}
}

// hasMajority reports whether some keeper is connected in both directions to a majority of a
// group, itself included.
func hasMajority(group [][]string, reachable func(from, to []string) bool) bool {
	for i, a := range group {
		n := 0
		for j, b := range group {
			if i == j || reachable(a, b) && reachable(b, a) {
				n++
			}
		}
		if 2*n > len(group) {
			return true
		}
	}
	return false
}

// effectDeadline returns when something acknowledged must be in force, as of now. Times without a
// quorum don't count.
func effectDeadline(acked time.Time, timeout time.Duration, spans []span, now time.Time) time.Time {
	at := acked.Add(timeout)
	for _, s := range spans {
		until := s.until
		if until.IsZero() {
			until = now
		}
		from := s.from
		if from.Before(acked) {
			from = acked
		}
		if from.Before(at) && until.After(from) {
			at = at.Add(until.Sub(from))
		}
	}
	return at
}

func TestEffectDeadline(t *testing.T) {
	start := time.Now()
	after := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name  string
		spans []span
		want  time.Duration
	}{
		{"none", nil, 2 * time.Second},
		{"before", []span{{after(-time.Second), after(-time.Millisecond)}}, 2 * time.Second},
		{"after", []span{{after(3 * time.Second), after(4 * time.Second)}}, 2 * time.Second},
		{"one that had already begun", []span{{after(-time.Second), after(time.Second)}}, 3 * time.Second},
		{"one that outlasts the deadline", []span{{after(time.Second), after(4 * time.Second)}}, 5 * time.Second},
		{"one that is ongoing", []span{{after(time.Second), time.Time{}}}, 11 * time.Second},
		{"two", []span{{after(0), after(time.Second)}, {after(2500 * time.Millisecond), after(3 * time.Second)}}, 3500 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := effectDeadline(start, 2*time.Second, tt.spans, after(10*time.Second)).Sub(start); got != tt.want {
			t.Errorf("%s: deadline after %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestQuorumMonitor(t *testing.T) {
	keeper := func(hall, name string) []string { return []string{hall, name, "keeper"} }
	three := [][]string{keeper("hall-1", "keeper-1"), keeper("hall-2", "keeper-2"), keeper("hall-3", "keeper-3")}
	five := append(three[:3:3], keeper("hall-1", "keeper-4"), keeper("hall-2", "keeper-5"))
	tests := []struct {
		name string
		cut  func(*network)
		want bool
	}{
		{"no partition", func(*network) {}, false},
		{"two halls", func(n *network) { n.setBlocked("hall-1", "hall-2", true) }, false},
		{"a keeper", func(n *network) { n.setBlocked("keeper-1", "keeper", true) }, false},
		{"two halls, and the third keeper receives nothing", func(n *network) {
			n.setBlocked("hall-1", "hall-2", true)
			n.setBlockedOneWay("keeper", "keeper-3", true)
		}, true},
		{"healed", func(n *network) {
			n.setBlocked("hall-1", "hall-2", true)
			n.setBlockedOneWay("keeper", "keeper-3", true)
			n.healAll()
		}, false},
	}
	for _, tt := range tests {
		n := newNetwork()
		n.quorum.groups = [][][]string{three, five}
		tt.cut(n)
		ongoing := len(n.quorum.losses) > 0 && n.quorum.losses[len(n.quorum.losses)-1].until.IsZero()
		if diff := cmp.Diff(tt.want, ongoing); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

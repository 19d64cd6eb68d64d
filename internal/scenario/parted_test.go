package scenario

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// span is a time; until is zero while it lasts.
type span struct{ from, until time.Time }

// founders is how many keepers a fleet begins with; the others are taken in later.
const founders = 3

// parting notes within which times cuts left no majority of the keepers together: nobody can
// lead then, and an order that was committed just before can't be told by a leader. The zero
// value notes nothing.
type parting struct {
	// groups are the sets of keepers of which a majority may be asked for, by the places of
	// each keeper: the founders, and all.
	groups [][][]string
	spans  []span
}

// watchKeepers has it noted when no majority of a fleet's keepers is together.
func (n *network) watchKeepers(f *fleet) {
	var all [][]string
	for _, name := range f.order {
		if p := f.processes[name]; p.role == "keeper" {
			all = append(all, []string{p.hall, p.name, p.role})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted.groups = [][][]string{all[:min(len(all), founders)], all}
}

// look notes whether the keepers are parted at a time; free tells whether a way is open.
func (p *parting) look(free func(from, to []string) bool, now time.Time) {
	parted := len(p.groups) > 0
	for _, g := range p.groups {
		parted = parted && !hasMajority(g, free)
	}
	last := len(p.spans) - 1
	lasts := last >= 0 && p.spans[last].until.IsZero()
	switch {
	case parted && !lasts:
		p.spans = append(p.spans, span{from: now})
	case !parted && lasts:
		p.spans[last].until = now
	}
}

// hasMajority reports whether some keeper and those that it reaches, and that reach it, are more
// than half of a group.
func hasMajority(group [][]string, free func(from, to []string) bool) bool {
	for i, a := range group {
		n := 0
		for j, b := range group {
			if i == j || free(a, b) && free(b, a) {
				n++
			}
		}
		if 2*n > len(group) {
			return true
		}
	}
	return false
}

// due returns when something that was acknowledged must be in force at the latest, as of now:
// spans in which the keepers were parted do not count.
func due(acked time.Time, within time.Duration, spans []span, now time.Time) time.Time {
	at := acked.Add(within)
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

func TestDue(t *testing.T) {
	begun := time.Now()
	after := func(d time.Duration) time.Time { return begun.Add(d) }
	tests := []struct {
		name  string
		spans []span
		want  time.Duration
	}{
		{"none", nil, 2 * time.Second},
		{"before", []span{{after(-time.Second), after(-time.Millisecond)}}, 2 * time.Second},
		{"after", []span{{after(3 * time.Second), after(4 * time.Second)}}, 2 * time.Second},
		{"one that had begun", []span{{after(-time.Second), after(time.Second)}}, 3 * time.Second},
		{"one that goes beyond", []span{{after(time.Second), after(4 * time.Second)}}, 5 * time.Second},
		{"one that lasts", []span{{after(time.Second), time.Time{}}}, 11 * time.Second},
		{"two", []span{{after(0), after(time.Second)}, {after(2500 * time.Millisecond), after(3 * time.Second)}}, 3500 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := due(begun, 2*time.Second, tt.spans, after(10*time.Second)).Sub(begun); got != tt.want {
			t.Errorf("%s: due after %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestParting(t *testing.T) {
	keeper := func(hall, name string) []string { return []string{hall, name, "keeper"} }
	three := [][]string{keeper("hall-1", "keeper-1"), keeper("hall-2", "keeper-2"), keeper("hall-3", "keeper-3")}
	five := append(three[:3:3], keeper("hall-1", "keeper-4"), keeper("hall-2", "keeper-5"))
	tests := []struct {
		name string
		cut  func(*network)
		want bool
	}{
		{"no cut", func(*network) {}, false},
		{"two halls", func(n *network) { n.set("hall-1", "hall-2", true) }, false},
		{"a keeper", func(n *network) { n.set("keeper-1", "keeper", true) }, false},
		{"two halls, and the third keeper hears nobody", func(n *network) {
			n.set("hall-1", "hall-2", true)
			n.setOneWay("keeper", "keeper-3", true)
		}, true},
		{"healed", func(n *network) {
			n.set("hall-1", "hall-2", true)
			n.setOneWay("keeper", "keeper-3", true)
			n.healAll()
		}, false},
	}
	for _, tt := range tests {
		n := newNetwork()
		n.parted.groups = [][][]string{three, five}
		tt.cut(n)
		lasts := len(n.parted.spans) > 0 && n.parted.spans[len(n.parted.spans)-1].until.IsZero()
		if diff := cmp.Diff(tt.want, lasts); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

package fleetclient

import (
	"testing"
	"time"
)

// What is expected of the ledger follows from how its reports have ended.
func TestLedgerProspect(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type report struct {
		sent, ended int // ended is 0 while it is under way
		ok          bool
	}
	tests := []struct {
		name    string
		reports []report
		heard   int
		// asked is when the request came, since when requests have lacked money.
		asked, since int
		now          int
		want         int
		sure         bool
	}{
		{"the next answer", []report{{0, 50, true}}, 0, 100, 100, 110, 165, true},
		{"it did not help", []report{{0, 50, true}}, 0, 100, 100, 200, 300, false},
		{"nor others before", []report{{0, 50, true}}, 0, 1000, 100, 1100, 2100, false},
		{"out of reach", []report{{0, 50, true}, {100, 800, false}}, 0, 900, 900, 900, 1700, false},
		{"a report is overdue", []report{{0, 50, true}, {100, 0, false}}, 0, 100, 100, 400, 700, false},
		{"heard of again", []report{{0, 100, false}, {200, 300, false}}, 500, 510, 510, 520, 575, true},
		{"heard of before it failed", []report{{0, 100, false}, {200, 300, false}}, 250, 510, 510, 520, 1040, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &ledgerTimes{heardAt: func() time.Time { return at(tt.heard) }}
			for _, r := range tt.reports {
				l.asked(at(r.sent))
				if r.ended > 0 {
					l.answered(at(r.ended), r.ok)
				}
			}
			got, sure := l.prospect(at(tt.asked), at(tt.since)).Expect(at(tt.now))
			if !got.Equal(at(tt.want)) || sure != tt.sure {
				t.Errorf("expected after %v, sure %v; want %d ms, %v", got.Sub(start), sure, tt.want, tt.sure)
			}
		})
	}
}

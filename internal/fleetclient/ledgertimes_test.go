package fleetclient

import (
	"testing"
	"time"
)

// The estimates follow from the results of earlier reports.
func TestLedgerEstimate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type report struct {
		sent, ended int // ended is 0 while the report is in flight
		ok          bool
	}
	tests := []struct {
		name    string
		reports []report
		heard   int
		// asked is when the request arrived, since is when requests began to be short of tokens.
		asked, since int
		now          int
		want         int
		sure         bool
	}{
		{"with the next response", []report{{0, 50, true}}, 0, 100, 100, 110, 165, true},
		{"the response granted nothing", []report{{0, 50, true}}, 0, 100, 100, 200, 300, false},
		{"short for long", []report{{0, 50, true}}, 0, 1000, 100, 1100, 2100, false},
		{"unreachable", []report{{0, 50, true}, {100, 800, false}}, 0, 900, 900, 900, 1700, false},
		{"a report is overdue", []report{{0, 50, true}, {100, 0, false}}, 0, 100, 100, 400, 700, false},
		{"the leader responds again", []report{{0, 100, false}, {200, 300, false}}, 500, 510, 510, 520, 575, true},
		{"the leader responded before the failure", []report{{0, 100, false}, {200, 300, false}}, 250, 510, 510, 520, 1040, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &ledgerLatency{lastResponseAt: func() time.Time { return at(tt.heard) }}
			for _, r := range tt.reports {
				l.reportSent(at(r.sent))
				if r.ended > 0 {
					l.reportEnded(at(r.ended), r.ok)
				}
			}
			got, sure := l.estimate(at(tt.asked), at(tt.since)).Expect(at(tt.now))
			if !got.Equal(at(tt.want)) || sure != tt.sure {
				t.Errorf("expected after %v, sure %v; want %d ms, %v", got.Sub(start), sure, tt.want, tt.sure)
			}
		})
	}
}

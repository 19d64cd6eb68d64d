package fleetclient

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against shares of limits that are too large because a new leader does not know all routers yet.
func TestNewLeaderDoesNotLowerTheNumberOfRouters(t *testing.T) {
	type report struct {
		at time.Duration
		n  uint32
	}
	tests := []struct {
		name    string
		reports []report
		want    int
	}{
		{"none", nil, 1},
		{"first", []report{{0, 4}}, 4},
		{"routers join", []report{{0, 4}, {time.Second, 6}}, 6},
		{"a new leader", []report{{0, 4}, {time.Second, 0}, {2 * time.Second, 1}}, 4},
		{"a new leader that learns of all", []report{{0, 4}, {time.Second, 1}, {2 * time.Second, 4}, {6 * time.Second, 4}}, 4},
		{"routers leave", []report{{0, 4}, {time.Second, 3}, {6 * time.Second, 3}}, 3},
		{"routers leave while a new leader learns of them", []report{{0, 4}, {time.Second, 1}, {2 * time.Second, 3}, {6 * time.Second, 2}}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, start := routerCount{}, time.Now()
			for _, r := range tt.reports {
				c.report(r.n, start.Add(r.at))
			}
			if diff := cmp.Diff(tt.want, c.get()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

package rollout

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"sumachead/api/wire"
)

// verdictCase is a simulated rollout of one version.
type verdictCase struct {
	name     string
	routes   []simulatedRoute
	servers  int
	duration time.Duration
	defect   defect
	faults   faults
	// maxWrong is how many of a thousand simulations may end with a wrong result: a bad version
	// complete, or a good one rolled back; below 0 for no limit.
	maxWrong int
}

// verdictCases are versions with defects, and good versions with faults around them. Only the cases
// that the guarantees cover have limits: shares of a tenth and more, with enough requests.
var verdictCases = []verdictCase{
	{"good engines", engineRoutes, 45, 12 * time.Second, defect{}, faults{}, 1},
	{"good engines, one server fails half", engineRoutes, 45, 12 * time.Second, defect{}, faults{flakyServers: 1}, 1},
	{"good engines, lost messages, partitions, restarts, leader changes", engineRoutes, 45, 12 * time.Second, defect{}, faults{lost: 0.2, partitions: true, restarts: true, leaderChanges: true}, -1},
	{"good application", appRoutes, 3, 12 * time.Second, defect{}, faults{}, -1},
	{"good application, one minute", appRoutes, 3, time.Minute, defect{}, faults{}, 1},
	{"good, one rare route", rareRoutes, 10, 12 * time.Second, defect{}, faults{}, -1},
	{"good, one rare route, one minute", rareRoutes, 10, time.Minute, defect{}, faults{}, -1},
	{"half fails", engineRoutes, 45, 12 * time.Second, defect{share: 0.5}, faults{}, 0},
	{"a tenth fails", engineRoutes, 45, 12 * time.Second, defect{share: 0.1}, faults{}, 0},
	{"one in fifty fails", engineRoutes, 45, 12 * time.Second, defect{share: 0.02}, faults{}, -1},
	{"half is slow", engineRoutes, 45, 12 * time.Second, defect{share: 0.5, slowdown: 4}, faults{}, 0},
	{"a tenth is slow", engineRoutes, 45, 12 * time.Second, defect{share: 0.1, slowdown: 4}, faults{}, -1},
	{"all are slow", engineRoutes, 45, 12 * time.Second, defect{share: 1, slowdown: 4}, faults{}, 0},
	{"half fails from second 4 on", engineRoutes, 45, 12 * time.Second, defect{share: 0.5, after: 4 * time.Second}, faults{}, 0},
	{"a tenth fails from second 4 on", engineRoutes, 45, 12 * time.Second, defect{share: 0.1, after: 4 * time.Second}, faults{}, -1},
	{"half fails under load", engineRoutes, 45, 12 * time.Second, defect{share: 0.5, underLoad: true}, faults{}, -1},
	{"half fails on one route", engineRoutes, 45, 12 * time.Second, defect{share: 0.5, route: "summary"}, faults{}, 0},
	{"a tenth fails on one route", engineRoutes, 45, 12 * time.Second, defect{share: 0.1, route: "summary"}, faults{}, -1},
	{"application: half fails", appRoutes, 3, 12 * time.Second, defect{share: 0.5}, faults{}, 0},
	{"application: half fails under load", appRoutes, 3, 12 * time.Second, defect{share: 0.5, underLoad: true}, faults{}, -1},
	{"application: a tenth fails", appRoutes, 3, 12 * time.Second, defect{share: 0.1}, faults{}, -1},
	{"application: a tenth fails, one minute", appRoutes, 3, time.Minute, defect{share: 0.1}, faults{}, 0},
	{"application: half of the non-idempotent requests fails", appRoutes, 3, 12 * time.Second, defect{share: 0.5, route: "order"}, faults{}, 0},
	{"rare route: half fails", rareRoutes, 10, 12 * time.Second, defect{share: 0.5, route: "rare"}, faults{}, -1},
	{"rare route: half fails, one minute", rareRoutes, 10, time.Minute, defect{share: 0.5, route: "rare"}, faults{}, -1},
	{"half fails, lost messages, partitions, restarts, leader changes", engineRoutes, 45, 12 * time.Second, defect{share: 0.5}, faults{lost: 0.2, partitions: true, restarts: true, leaderChanges: true}, 0},
}

// TestVerdicts simulates each case a few times, with different seeds, and logs a row for each. Set
// PLAYS=1000 to test the limits exactly.
func TestVerdicts(t *testing.T) {
	runs := 6
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil && n > 0 {
		runs = n
	}
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := c.simulate(runs)
			t.Logf("%s: %s", c.name, r)
			if limit := c.maxWrong * runs / 1000; c.maxWrong >= 0 && r.wrong > limit {
				t.Errorf("%d of %d simulations ended with a wrong result, want at most %d", r.wrong, runs, limit)
			}
		})
	}
}

// verdictResult summarizes the simulations of a case.
type verdictResult struct {
	wrong   int
	exposed float64
	took    time.Duration
	// why counts the reasons of wrong results.
	why map[string]int
}

// String formats a row of the table.
func (r *verdictResult) String() string {
	s := fmt.Sprintf("%d wrong, %.1f%% exposed, ended after %.1f s", r.wrong, r.exposed, r.took.Seconds())
	for why, n := range r.why {
		s += fmt.Sprintf("; %d: %s", n, why)
		break
	}
	return s
}

// simulate runs a case with many seeds.
func (c *verdictCase) simulate(runs int) *verdictResult {
	r := &verdictResult{why: make(map[string]int)}
	good := c.defect.share == 0
	for seed := range uint64(runs) {
		p := newSimulation(seed, 23, c.servers, c.duration, c.routes)
		p.defect, p.faults = c.defect, c.faults
		phase := p.run()
		if (phase == wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE) != good {
			r.wrong++
			r.why[p.store.Get("s").GetReason()]++
		}
		r.exposed += 100 * float64(p.exposed) / float64(p.reached) / float64(runs)
		r.took += p.endedAfter / time.Duration(runs)
	}
	return r
}

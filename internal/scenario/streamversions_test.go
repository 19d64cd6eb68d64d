package scenario

import (
	"slices"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Servers of two versions serve side by side without a rollout order. A stream may continue only at
// the version that began it.

// streamVersionsTest breaks streams off midway and resumes them.
type streamVersionsTest struct {
	name string
	// breakStreams breaks the streams of callers at router-1; nil for nothing.
	breakStreams func(f *fleet)
	// faults are those of half of the servers of each version.
	faults standin.ReplicaFaults
	// resumeAt are the routers at which callers resume, in order.
	resumeAt []string
	// minResumed is how many of ten broken streams are completed at least.
	minResumed int
}

// streamsPerTest is the number of concurrent streams.
const streamsPerTest = 40

func TestResumedStreamNeverMixesVersions(t *testing.T) {
	tests := []streamVersionsTest{
		{
			name: "the router is killed", resumeAt: []string{"router-2", "router-3"}, minResumed: 9,
			breakStreams: func(f *fleet) { f.processes["router-1"].kill() },
		},
		{
			name: "the router and a server are killed", resumeAt: []string{"router-2", "router-3"}, minResumed: 8,
			breakStreams: func(f *fleet) {
				f.processes["router-1"].kill()
				f.replicas["engine-1"].Stop()
				f.processes["side-1"].kill()
			},
		},
		{
			name: "servers break streams off", resumeAt: []string{"router-2", "router-3"}, minResumed: 9,
			faults: standin.ReplicaFaults{BreakAfter: 20},
		},
		{
			name: "the router is cut off from the others", resumeAt: []string{"router-2", "router-3"}, minResumed: 9,
			breakStreams: func(f *fleet) {
				for _, other := range f.order {
					if other != "router-1" {
						f.net.setBlocked("router-1", other, true)
					}
				}
				time.Sleep(20 * time.Millisecond)
				f.replicas["engine-1"].Stop()
				f.replicas["engine-1-v2"].Stop()
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 3, relays: 4, engines: 4, prepaid: 50_000_000})
			f.awaitServersKnown(t)
			f.addVersion("pool", "v2", standin.ReplicaFaults{})
			time.Sleep(time.Second) // a few heartbeats: all routers know the new servers
			broken, resumed := tt.run(f)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, x := range f.mixedStreams() {
				t.Error(x)
			}
			t.Logf("%d streams broke off, %d of them were completed", broken, resumed)
			if resumed*10 < broken*tt.minResumed {
				t.Errorf("%d of %d broken streams were completed, want %d of 10", resumed, broken, tt.minResumed)
			}
		})
	}
}

// run sends the streams and returns how many broke off and how many of these were completed.
func (tt streamVersionsTest) run(f *fleet) (broken, resumed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, id := range []string{"engine-1", "engine-2", "engine-1-v2", "engine-2-v2"} {
		if tt.faults.BreakAfter > 0 && i%2 == 0 {
			f.replicas[id].SetFaults(tt.faults)
		}
	}
	for range streamsPerTest {
		all.Go(func() {
			q := fleetRequest{kind: "stream", router: "router-1", prompt: 50, events: 60}
			first := f.do(q)
			if first.complete || first.lastEvent == 0 {
				return
			}
			last := f.resume(q, first, slices.Clone(tt.resumeAt))
			mu.Lock()
			defer mu.Unlock()
			broken++
			if last.complete {
				resumed++
			}
		})
	}
	if tt.breakStreams != nil {
		time.Sleep(120 * time.Millisecond)
		tt.breakStreams(f)
	}
	all.Wait()
	return broken, resumed
}

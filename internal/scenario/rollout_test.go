package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Rollouts move a service to servers of another version and roll back on evidence against it.

const (
	// firstVersion is the version of all servers at the start.
	firstVersion = "v1"
	// exposureShare and exposureSlack bound the requests to a bad version.
	exposureShare = 0.1
	exposureSlack = 50
	// States of rollouts as reported to operators.
	rolloutRunning    = "running"
	rolloutComplete   = "complete"
	rolloutRolledBack = "rolled_back"
)

// orderRolloutAt sends a rollout order to one keeper and returns the status, or 0 without a
// response.
func (f *fleet) orderRolloutAt(address, service, version string, duration time.Duration) int {
	body, err := json.Marshal(map[string]any{"backend": service, "target_version": version, "duration_s": duration.Seconds()})
	if err != nil {
		return 0
	}
	return f.post("http://"+address+"/v1/Rollouts.Start", strings.NewReader(string(body)))
}

// orderRollout sends a rollout order to the keepers in turn until one accepts it.
func (f *fleet) orderRollout(service, version string, duration, timeout time.Duration) error {
	n := 0
	return eventually(timeout, fmt.Sprintf("the rollout of %s to %s is accepted", service, version), func() bool {
		n++
		c := f.controlAddresses()
		return f.orderRolloutAt(c[n%len(c)], service, version, duration) == http.StatusOK
	})
}

// rolloutAt returns the state and version of a service's rollout according to one keeper, or ""
// if it is unknown.
func (f *fleet) rolloutAt(address, service string) (state, version string) {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/Rollouts.Get/"+service, nil)
	if err != nil {
		return "", ""
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &d) != nil {
		return "", ""
	}
	return d.State, d.Version
}

// rolloutState returns the state of a service's rollout from the first keeper that reports one.
func (f *fleet) rolloutState(service string) string {
	for _, c := range f.controlAddresses() {
		if state, _ := f.rolloutAt(c, service); state != "" {
			return state
		}
	}
	return ""
}

// addVersion starts a server of a version for each server of a service, and returns the new ones.
func (f *fleet) addVersion(service, version string, faults standin.ReplicaFaults) (added []*standin.Replica) {
	for _, old := range f.servers() {
		if old.Service == service {
			added = append(added, f.addVersionOf(old, old.ID+"-"+version, version, faults))
		}
	}
	return added
}

// addVersionOf starts a server on the host of another one, like it but of a given version, and
// returns it.
func (f *fleet) addVersionOf(old *standin.Replica, id, version string, faults standin.ReplicaFaults) *standin.Replica {
	host, _, err := net.SplitHostPort(old.Address)
	if err != nil {
		panic(err) // all servers of a fleet have valid addresses
	}
	r := &standin.Replica{
		ID: id, Service: old.Service, Hall: old.Hall, Address: fmt.Sprintf("%s:%d", host, freePort()),
		ControlAddresses: f.controlAddresses, HeartbeatInterval: old.HeartbeatInterval, EventInterval: old.EventInterval, ResponseTime: old.ResponseTime, Version: version,
	}
	r.SetFaults(faults)
	f.runServer(strings.TrimPrefix(id, "i-"), r)
	return r
}

// rolloutTest runs one rollout under load.
type rolloutTest struct {
	f       *fleet
	service string
	// duration is the duration of the rollout order.
	duration time.Duration
	// faults are those of the new servers, and disrupt injects a fault meanwhile.
	faults  standin.ReplicaFaults
	disrupt func(f *fleet)

	ordered, ended time.Time
	old, added     []*standin.Replica
	// failures counts requests without a complete response by outcome, except those that servers
	// failed themselves.
	mu       sync.Mutex
	requests int
	failures map[string]int
}

// run orders the rollout under load and returns its final state.
func (p *rolloutTest) run(t *testing.T) string {
	t.Helper()
	p.failures = make(map[string]int)
	for _, r := range p.f.servers() {
		if r.Service == p.service {
			p.old = append(p.old, r)
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	const concurrency = 16
	for i := range concurrency {
		r := rand.New(rand.NewPCG(uint64(i), 1))
		callers.Go(func() { p.sendRequests(r, stop) })
	}
	time.Sleep(500 * time.Millisecond)
	p.ordered = time.Now()
	if err := p.f.orderRollout(p.service, "v2", p.duration, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	p.added = p.f.addVersion(p.service, "v2", p.faults)
	if p.disrupt != nil {
		go p.disrupt(p.f)
	}
	state := p.await()
	if state == rolloutComplete {
		for _, r := range p.old {
			r.Stop() // without notice
		}
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	return state
}

// await polls the state until it is final.
func (p *rolloutTest) await() string {
	state := rolloutRunning
	until := p.ordered.Add(p.duration + 5*time.Second)
	for time.Now().Before(until) && state != rolloutComplete && state != rolloutRolledBack {
		time.Sleep(50 * time.Millisecond)
		state = p.f.rolloutState(p.service)
	}
	p.ended = time.Now()
	return state
}

// sendRequests sends requests for the service until stop is closed.
func (p *rolloutTest) sendRequests(r *rand.Rand, stop <-chan struct{}) {
	kinds := []string{"check", "check", "hold"}
	if p.service == "pool" {
		kinds = []string{"stream"}
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+r.IntN(30)) * time.Millisecond):
		}
		c := p.f.do(fleetRequest{
			kind: kinds[r.IntN(len(kinds))], router: fmt.Sprintf("router-%d", r.IntN(p.f.shape.routers)+1), prompt: 20 + r.IntN(100), events: 5 + r.IntN(10),
		})
		p.mu.Lock()
		p.requests++
		if !c.complete && c.status != http.StatusInternalServerError {
			p.failures[c.String()]++
		}
		p.mu.Unlock()
	}
}

// check checks what servers saw.
func (p *rolloutTest) check(t *testing.T, want string) {
	t.Helper()
	all, exposed := 0, 0
	canaryEnd := p.ended
	for _, r := range append(append([]*standin.Replica(nil), p.old...), p.added...) {
		for _, x := range r.Runs() {
			isNew := r.Version == "v2"
			switch {
			case x.At.Before(p.ordered):
			case want == rolloutComplete && !isNew && x.At.After(p.ended):
				t.Errorf("%s got %s %v after the rollout was complete", r.ID, x.ID, x.At.Sub(p.ended))
			case want == rolloutComplete && !isNew && x.Done.After(p.ended):
				t.Errorf("%s was still running %s when the rollout was complete", r.ID, x.ID)
			case want == rolloutRolledBack && isNew && x.At.After(p.ended.Add(time.Second)):
				t.Errorf("%s got %s %v after the rollout was rolled back", r.ID, x.ID, x.At.Sub(p.ended))
			case x.At.Before(canaryEnd):
				all++
				if isNew {
					exposed++
				}
			}
		}
	}
	t.Logf("ended after %v; %d of %d requests went to the new version; %d sent, without a complete response %v", p.ended.Sub(p.ordered), exposed, all, p.requests, p.failures)
	if allowed := exposureShare*float64(all) + exposureSlack; want == rolloutRolledBack && float64(exposed) > allowed {
		t.Errorf("%d of %d requests went to a bad version; at most %v may", exposed, all, allowed)
	}
	for what, n := range p.failures {
		if strings.Contains(what, "status=0") || strings.Contains(what, "status=200") || strings.Contains(what, "status=502") {
			t.Errorf("%d requests were lost: %s", n, what)
		}
	}
}

func TestRollouts(t *testing.T) {
	// With so few requests an application takes a minute to be accepted as good (the rates are in
	// TestVerdicts of internal/rollout); a bad one is detected in seconds.
	const short, long = 9 * time.Second, time.Minute
	tests := []struct {
		name     string
		service  string
		duration time.Duration
		faults   standin.ReplicaFaults
		disrupt  func(f *fleet)
		want     string
	}{
		{"a good application", "desk", long, standin.ReplicaFaults{}, nil, rolloutComplete},
		{"good engines", "pool", short, standin.ReplicaFaults{}, nil, rolloutComplete},
		{"an application that fails half of its requests", "desk", short, standin.ReplicaFaults{BadOneIn: 2}, nil, rolloutRolledBack},
		{"an application that fails non-idempotent requests", "desk", short, standin.ReplicaFaults{BadOneIn: 2, BadOn: "/hold/"}, nil, rolloutRolledBack},
		{"slow engines", "pool", short, standin.ReplicaFaults{BadOneIn: 2, Slower: 5}, nil, rolloutRolledBack},
		{"a good application, the leader is killed", "desk", long, standin.ReplicaFaults{}, killLeaderDuringRollout, rolloutComplete},
		{"an application that fails half of its requests, a router is partitioned", "desk", short, standin.ReplicaFaults{BadOneIn: 2}, partitionRouterDuringRollout, rolloutRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 3, relays: 2, engines: 4, desks: 3, prepaid: 50_000_000})
			f.awaitServersKnown(t)
			p := &rolloutTest{f: f, service: tt.service, duration: tt.duration, faults: tt.faults, disrupt: tt.disrupt}
			if got := p.run(t); got != tt.want {
				t.Errorf("final state %q, want %q", got, tt.want)
				f.logPhases(t)
			}
			p.check(t, tt.want)
			for _, x := range f.violations(50_000_000) {
				t.Error(x)
			}
		})
	}
}

// logPhases prints the phase changes of rollouts from the keepers' logs.
func (f *fleet) logPhases(t *testing.T) {
	t.Helper()
	for _, name := range f.order {
		data, err := os.ReadFile(f.path(name + ".log"))
		if err != nil {
			t.Log(err)
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "Rollout enters its next phase.") {
				t.Logf("%s: %s", name, line)
			}
		}
	}
}

// killLeaderDuringRollout kills the leading keeper during the rollout and restarts it.
func killLeaderDuringRollout(f *fleet) {
	time.Sleep(2 * time.Second)
	if name := f.leadingKeeper(); name != "" {
		p := f.processes[name]
		p.kill()
		time.Sleep(time.Second)
		_ = f.start(p) // a keeper that fails to start affects the final state
	}
}

// partitionRouterDuringRollout partitions a router from all other processes of the fleet.
func partitionRouterDuringRollout(f *fleet) {
	time.Sleep(500 * time.Millisecond)
	for _, other := range f.order {
		if other != "router-1" {
			f.net.setBlocked("router-1", other, true)
		}
	}
}

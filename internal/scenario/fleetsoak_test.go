package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// fleetSoak injects random faults into a fleet of real processes under load and checks its
// invariants meanwhile.
type fleetSoak struct {
	t    *testing.T
	f    *fleet
	rand *rand.Rand

	mu         sync.Mutex // guards the fields below
	acked      int        // highest acknowledged number
	sent       int        // highest sent number
	prepaid    int        // highest sent budget
	faults     map[string]int
	outcomes   map[string]int
	events     []string // counted events with timestamps
	violations []string
	busy       map[string]bool // processes reserved by a fault
	lastWipe   time.Time       // when the last wiped keeper restarted
	// rollouts are the rollouts that have ended.
	rollouts []*finishedRollout
	// faultTimes are the times at which faults of a process began or ended.
	faultTimes map[string][]time.Time
	budget     scarceBudget
	blocks     soakBlocks
}

const (
	// soakSeed and soakDuration are those of the run in CI.
	soakSeed     = 7
	soakDuration = 12 * time.Second
	// recoveryTimeout bounds the recovery after all faults have ended.
	recoveryTimeout = 20 * time.Second
)

// TestFleetSoak runs for a short time with a fixed seed. SOAK=5m SEED=N sets both; SEED=0 picks a
// random seed. SOAK_LOGS=DIR keeps the logs of a failed run. TIMES=10 multiplies the number of routers
// and relays by ten, to run near the limits of the machine.
func TestFleetSoak(t *testing.T) {
	duration, seed := soakDuration, uint64(soakSeed)
	if d, err := time.ParseDuration(os.Getenv("SOAK")); err == nil {
		duration = d
		if seed, err = strconv.ParseUint(os.Getenv("SEED"), 10, 64); err != nil || seed == 0 {
			seed = uint64(time.Now().UnixNano())
		}
	}
	t.Logf("SEED=%d", seed)
	sh := fleetShape{keepers: 5, routers: 4, relays: 4, engines: 4, desks: 3, prepaid: 400_000, scarce: initialScarce}
	if times, err := strconv.Atoi(os.Getenv("TIMES")); err == nil && times > 0 {
		sh.routers, sh.relays = sh.routers*times, sh.relays*times
	}
	s := &fleetSoak{
		t: t, f: startFleet(t, sh), rand: rand.New(rand.NewPCG(seed, 2)),
		acked: 1, sent: 1, prepaid: sh.prepaid, faults: make(map[string]int), outcomes: make(map[string]int),
		busy: make(map[string]bool), faultTimes: make(map[string][]time.Time),
		budget: scarceBudget{total: sh.scarce},
	}
	s.run(time.Now().Add(duration))
	s.recover()
	s.report()
}

// run injects faults under load until the given time.
func (s *fleetSoak) run(until time.Time) {
	var all sync.WaitGroup
	all.Go(func() { s.probeMachine(until) })
	const callers, readers = 12, 2
	for i := range callers {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() { s.sendRequests(r, until) })
	}
	for i := range readers {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() { s.readDeclarations(r, until) })
	}
	s.runOperators(&all, until)
	s.sendCrashing(&all, until)
	const series = 2 // so that faults overlap
	for i := range series {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() {
			for time.Now().Before(until) {
				s.fault(r)
				time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
			}
		})
	}
	peers := rand.New(rand.NewPCG(s.rand.Uint64(), series)) // seeded last, so that the other series stay reproducible
	all.Go(func() {
		for time.Now().Before(until) {
			s.peerFault(peers)
			time.Sleep(time.Duration(500+peers.IntN(2500)) * time.Millisecond)
		}
	})
	halls := rand.New(rand.NewPCG(s.rand.Uint64(), series+1)) // as above
	all.Go(func() {
		for time.Now().Before(until) {
			s.hallFault(halls)
			time.Sleep(time.Duration(500+halls.IntN(2500)) * time.Millisecond)
		}
	})
	notices := rand.New(rand.NewPCG(s.rand.Uint64(), series+2)) // as above
	all.Go(func() {
		for time.Now().Before(until) {
			s.noticeFault(notices)
			time.Sleep(time.Duration(500+notices.IntN(2500)) * time.Millisecond)
		}
	})
	rollouts := rand.New(rand.NewPCG(s.rand.Uint64(), series+3)) // as above
	all.Go(func() { s.runRollouts(rollouts, until) })
	limits := rand.New(rand.NewPCG(s.rand.Uint64(), series+4)) // as above
	all.Go(func() {
		for time.Now().Before(until) {
			s.limitFault(limits)
			time.Sleep(time.Duration(limits.IntN(1500)) * time.Millisecond)
		}
	})
	s.spendScarce(&all, until)
	releases, breaks := rand.New(rand.NewPCG(s.rand.Uint64(), series+5)), rand.New(rand.NewPCG(s.rand.Uint64(), series+6)) // as above
	s.runVersions(&all, releases, breaks, until)
	framings := rand.New(rand.NewPCG(s.rand.Uint64(), series+7)) // as above
	all.Go(func() { s.frameResponses(framings, until) })
	crowds, blocks := rand.New(rand.NewPCG(s.rand.Uint64(), series+8)), rand.New(rand.NewPCG(s.rand.Uint64(), series+9)) // as above
	all.Go(func() { s.crowdRouters(crowds, until) })
	all.Go(func() { s.crashOnBlocks(blocks, until) })
	failures := rand.New(rand.NewPCG(s.rand.Uint64(), series+10)) // as above
	all.Go(func() { s.failService(failures, until) })
	all.Wait()
}

// count increments a counter and logs it as an event.
func (s *fleetSoak) count(counts map[string]int, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[what]++
	s.logEvent(what)
}

// logEvent adds a timestamped line to the events kept with the logs. The caller holds mu.
func (s *fleetSoak) logEvent(what string) {
	s.events = append(s.events, time.Now().UTC().Format("15:04:05.000 ")+what)
}

// recordViolation records a violated invariant for the report.
func (s *fleetSoak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// sendRequests sends requests of all kinds to all routers. Half of the callers reuse connections,
// even while a router stops.
func (s *fleetSoak) sendRequests(r *rand.Rand, until time.Time) {
	var client *http.Client
	if r.IntN(2) == 0 {
		client = &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
	}
	for time.Now().Before(until) {
		q := fleetRequest{router: fmt.Sprintf("router-%d", r.IntN(s.f.shape.routers)+1), prompt: 20 + r.IntN(100), events: 1 + r.IntN(30), client: client}
		q.kind = []string{"stream", "stream", "hold", "check"}[r.IntN(4)]
		q.router = s.blocks.router(q.router)
		if q.kind == "stream" {
			q.blocks = s.blocks.blocks()
		}
		if r.IntN(10) == 0 {
			q.cancelAfter = time.Duration(r.IntN(80)) * time.Millisecond
		}
		c := s.f.do(q)
		s.count(s.outcomes, q.kind+" "+c.String())
		s.resumeStream(r, q, c)
		pause := time.Duration(r.IntN(40)) * time.Millisecond
		if !c.complete {
			pause += 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// readDeclarations reads the declaration from random keepers. It must never be older than one
// acknowledged before the read.
func (s *fleetSoak) readDeclarations(r *rand.Rand, until time.Time) {
	controls := s.f.controlAddresses()
	for time.Now().Before(until) {
		s.mu.Lock()
		acked := s.acked
		s.mu.Unlock()
		at := controls[r.IntN(len(controls))]
		if n := s.f.declarationAt(at); n != 0 && n < acked {
			s.recordViolation("%s returned declaration %d after %d was acknowledged", at, n, acked)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// runOperators runs two concurrent operators.
func (s *fleetSoak) runOperators(all *sync.WaitGroup, until time.Time) {
	for i := range 2 {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() {
			for time.Now().Before(until) {
				s.declare(r)
				time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
			}
		})
	}
}

// declare sends one declaration until it is accepted, sometimes an older number or an invalid
// one.
func (s *fleetSoak) declare(r *rand.Rand) {
	controls := s.f.controlAddresses()
	s.mu.Lock()
	d := fleetDocument{number: s.sent + 1 + r.IntN(3), routes: r.IntN(20), prepaid: s.prepaid, scarce: s.budget.total}
	if r.IntN(4) == 0 {
		d.prepaid += r.IntN(100_000)
	}
	bad := r.IntN(8) == 0
	if !bad {
		s.sent, s.prepaid = max(s.sent, d.number), max(s.prepaid, d.prepaid)
	}
	s.mu.Unlock()
	d.bad = bad
	for range 20 {
		switch status := s.f.put(controls[r.IntN(len(controls))], d.encode()); {
		case bad && status == 200:
			s.recordViolation("an invalid declaration %d was acknowledged", d.number)
			return
		case bad && status == 400:
			return
		case status == 200:
			s.mu.Lock()
			s.acked = max(s.acked, d.number)
			s.mu.Unlock()
			return
		case !bad && status == 400:
			s.recordViolation("declaration %d was rejected", d.number)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// recover ends all faults and waits until all routers serve requests again with the newest
// declaration.
func (s *fleetSoak) recover() {
	s.f.net.healAll()
	for _, r := range s.servers() {
		r.SetFaults(standin.ReplicaFaults{})
		r.RejectRequests(0)
		r.ReportLimit(0)
	}
	for _, name := range s.f.order {
		if p := s.f.processes[name]; !p.running() {
			if err := s.f.start(p); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	s.useUp()
	top := fleetDocument{number: s.sent + 10, prepaid: s.prepaid + 100_000, scarce: s.budget.total + s.budget.topUp}
	if err := s.f.declare(top, recoveryTimeout); err != nil {
		s.recordViolation("after all faults: %v", err)
	}
	s.prepaid, s.budget.total = top.prepaid, top.scarce
	err := eventually(recoveryTimeout, "all routers serve all kinds of requests after all faults", func() bool {
		for i := range s.f.shape.routers {
			for _, kind := range []string{"stream", "hold", "check"} {
				if !s.f.do(fleetRequest{kind: kind, router: fmt.Sprintf("router-%d", i+1), prompt: 20, events: 3}).complete {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		s.recordViolation("%v", err)
	}
	s.checkBudget()
	s.checkCrashes()
	s.checkBlocks()
	s.checkNotices()
	s.checkLimits()
	s.checkRollouts()
}

// report prints statistics and fails the test if an invariant was violated.
func (s *fleetSoak) report() {
	s.t.Logf("processes %d, requests %d, declarations up to %d", len(s.f.order), s.f.requestCount, s.acked)
	s.t.Logf("faults %v", s.faults)
	s.reportRetries()
	s.t.Logf("outcomes %v", s.outcomes)
	for _, body := range crashBodies {
		s.t.Logf("%d servers crashed on %q", s.f.crashCountOn(body), body)
	}
	s.violations = append(s.violations, s.f.violations(s.prepaid)...)
	if names := s.f.crashes(); len(names) > 0 {
		s.violations = append(s.violations, fmt.Sprintf("crashed or raced: %v", names))
		s.showCrashes(names)
	}
	for _, b := range s.violations {
		s.t.Error(b)
	}
	if to := os.Getenv("SOAK_LOGS"); to != "" && s.t.Failed() {
		s.keepLogs(to)
	}
}

// keepLogs copies the logs of all processes and the event log to a directory, since a rare
// failure may not be reproducible.
func (s *fleetSoak) keepLogs(to string) {
	if err := os.WriteFile(filepath.Join(to, "noted"), []byte(strings.Join(s.events, "\n")+"\n"), 0o600); err != nil {
		s.t.Log(err)
	}
	for _, name := range s.f.order {
		data, err := os.ReadFile(s.f.path(name + ".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, name+".log"), data, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
}

// showCrashes prints the panics and data races of crashed processes.
func (s *fleetSoak) showCrashes(names []string) {
	const maxBytes = 6000
	for _, n := range names {
		data, err := os.ReadFile(s.f.path(n + ".log"))
		if err != nil {
			s.t.Log(err)
			continue
		}
		for _, mark := range []string{"WARNING: DATA RACE", "\npanic: "} {
			if i := strings.Index(string(data), mark); i >= 0 {
				s.t.Logf("%s:\n%s", n, data[i:min(i+maxBytes, len(data))])
			}
		}
	}
}

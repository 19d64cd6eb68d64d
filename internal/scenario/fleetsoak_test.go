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

// fleetSoak is a random mix of faults against a fleet of real processes, under
// load, with the promises checked while it runs.
type fleetSoak struct {
	t    *testing.T
	f    *fleet
	rand *rand.Rand

	mu       sync.Mutex // guards the fields below
	acked    int        // highest number that was acknowledged
	sent     int        // highest number that was sent
	prepaid  int        // highest budget that was sent
	faults   map[string]int
	outcomes map[string]int
	noted    []string // what was counted, and when
	broken   []string
	busy     map[string]bool // processes that a fault deals with
	wiped    time.Time       // when the last disk that was lost came back
	// rolledOut are the roll-outs that have ended.
	rolledOut []*rolledOut
	// disturbed is when faults began and ended to deal with processes.
	disturbed map[string][]time.Time
}

const (
	// soakSeed and soakShort are the run that CI does.
	soakSeed  = 7
	soakShort = 12 * time.Second
	// settle is how long the system has at the end, without faults.
	settle = 20 * time.Second
)

// TestFleetSoak runs for a short time with a fixed seed; SOAK=5m and SEED=N run it
// for longer, SEED=0 with a seed of its own, SOAK_LOGS=DIR keeps the logs of one that fails. TIMES=10 has ten times as many routers
// and relays, for runs near the limits of the machine.
func TestFleetSoak(t *testing.T) {
	lasts, seed := soakShort, uint64(soakSeed)
	if d, err := time.ParseDuration(os.Getenv("SOAK")); err == nil {
		lasts = d
		if seed, err = strconv.ParseUint(os.Getenv("SEED"), 10, 64); err != nil || seed == 0 {
			seed = uint64(time.Now().UnixNano())
		}
	}
	t.Logf("SEED=%d", seed)
	sh := fleetShape{keepers: 5, routers: 4, relays: 4, engines: 4, desks: 3, prepaid: 400_000}
	if times, err := strconv.Atoi(os.Getenv("TIMES")); err == nil && times > 0 {
		sh.routers, sh.relays = sh.routers*times, sh.relays*times
	}
	s := &fleetSoak{
		t: t, f: startFleet(t, sh), rand: rand.New(rand.NewPCG(seed, 2)),
		acked: 1, sent: 1, prepaid: sh.prepaid, faults: make(map[string]int), outcomes: make(map[string]int),
		busy: make(map[string]bool), disturbed: make(map[string][]time.Time),
	}
	s.run(time.Now().Add(lasts))
	s.recover()
	s.report()
}

// run causes faults and load until a moment.
func (s *fleetSoak) run(until time.Time) {
	var all sync.WaitGroup
	all.Go(func() { s.probeMachine(until) })
	const callers, readers = 12, 2
	for i := range callers {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() { s.call(r, until) })
	}
	for i := range readers {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() { s.read(r, until) })
	}
	s.operate(&all, until)
	s.insistOnAll(&all, until)
	const series = 2 // faults overlap
	for i := range series {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() {
			for time.Now().Before(until) {
				s.fault(r)
				time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
			}
		})
	}
	peers := rand.New(rand.NewPCG(s.rand.Uint64(), series)) // drawn last: the other series stay what they were
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
	all.Go(func() { s.rollOuts(rollouts, until) })
	limits := rand.New(rand.NewPCG(s.rand.Uint64(), series+4)) // as above
	all.Go(func() {
		for time.Now().Before(until) {
			s.limitFault(limits)
			time.Sleep(time.Duration(limits.IntN(1500)) * time.Millisecond)
		}
	})
	all.Wait()
}

// note counts something.
func (s *fleetSoak) note(counts map[string]int, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[what]++
	s.keep(what)
}

// keep adds a line to what is kept with the logs. The caller holds mu.
func (s *fleetSoak) keep(what string) {
	s.noted = append(s.noted, time.Now().UTC().Format("15:04:05.000 ")+what)
}

// breaks notes a promise that is broken, for the report.
func (s *fleetSoak) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// call sends requests of all kinds to all routers. Half of the callers keep their
// connections, also while a router stops.
func (s *fleetSoak) call(r *rand.Rand, until time.Time) {
	var client *http.Client
	if r.IntN(2) == 0 {
		client = &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
	}
	for time.Now().Before(until) {
		q := fleetRequest{router: fmt.Sprintf("router-%d", r.IntN(s.f.shape.routers)+1), prompt: 20 + r.IntN(100), events: 1 + r.IntN(30), client: client}
		q.kind = []string{"stream", "stream", "hold", "check"}[r.IntN(4)]
		if r.IntN(10) == 0 {
			q.leave = time.Duration(r.IntN(80)) * time.Millisecond
		}
		c := s.f.ask(q)
		s.note(s.outcomes, q.kind+" "+c.String())
		pause := time.Duration(r.IntN(40)) * time.Millisecond
		if !c.whole {
			pause += 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// read reads the declaration at random keepers: what is read is never older than
// what was acknowledged before.
func (s *fleetSoak) read(r *rand.Rand, until time.Time) {
	controls := s.f.controls()
	for time.Now().Before(until) {
		s.mu.Lock()
		acked := s.acked
		s.mu.Unlock()
		at := controls[r.IntN(len(controls))]
		if n := s.f.document(at); n != 0 && n < acked {
			s.breaks("%s answered with declaration %d after %d was acknowledged", at, n, acked)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// operate starts two operators who race.
func (s *fleetSoak) operate(all *sync.WaitGroup, until time.Time) {
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

// declare sends one declaration, again and again until it is taken; at times an
// older number or an invalid one.
func (s *fleetSoak) declare(r *rand.Rand) {
	controls := s.f.controls()
	s.mu.Lock()
	d := fleetDocument{number: s.sent + 1 + r.IntN(3), routes: r.IntN(20), prepaid: s.prepaid}
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
			s.breaks("an invalid declaration %d was acknowledged", d.number)
			return
		case bad && status == 400:
			return
		case status == 200:
			s.mu.Lock()
			s.acked = max(s.acked, d.number)
			s.mu.Unlock()
			return
		case !bad && status == 400:
			s.breaks("declaration %d was refused", d.number)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// recover ends all faults; everything must be served again, and the newest
// declaration be there.
func (s *fleetSoak) recover() {
	s.f.net.healAll()
	for _, r := range s.servers() {
		r.Set(standin.ReplicaFaults{})
		r.TurnAway(0)
		r.NameLimit(0)
	}
	for _, name := range s.f.order {
		if p := s.f.processes[name]; !p.running() {
			if err := s.f.start(p); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	top := fleetDocument{number: s.sent + 10, prepaid: s.prepaid + 100_000}
	if err := s.f.declare(top, settle); err != nil {
		s.breaks("after all faults: %v", err)
	}
	s.prepaid = top.prepaid
	err := eventually(settle, "all routers serve all kinds after all faults", func() bool {
		for i := range s.f.shape.routers {
			for _, kind := range []string{"stream", "hold", "check"} {
				if !s.f.ask(fleetRequest{kind: kind, router: fmt.Sprintf("router-%d", i+1), prompt: 20, events: 3}).whole {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		s.breaks("%v", err)
	}
	s.checkEnds()
	s.checkNotices()
	s.checkLimits()
	s.checkRollouts()
}

// report prints what was done and fails the test if a promise was broken.
func (s *fleetSoak) report() {
	s.t.Logf("processes %d, requests %d, declarations to %d", len(s.f.order), s.f.requests, s.acked)
	s.t.Logf("faults %v", s.faults)
	s.t.Logf("outcomes %v", s.outcomes)
	for _, body := range badBodies {
		s.t.Logf("%d servers ended under %q", s.f.endedUnder(body), body)
	}
	s.broken = append(s.broken, s.f.promises(s.prepaid)...)
	if names := s.f.crashes(); len(names) > 0 {
		s.broken = append(s.broken, fmt.Sprintf("crashed or raced: %v", names))
		s.showCrashes(names)
	}
	for _, b := range s.broken {
		s.t.Error(b)
	}
	if to := os.Getenv("SOAK_LOGS"); to != "" && s.t.Failed() {
		s.keepLogs(to)
	}
}

// keepLogs copies the logs of all processes, and what was noted, to a folder: those of a run that failed once may be all
// that there is to trace it by.
func (s *fleetSoak) keepLogs(to string) {
	if err := os.WriteFile(filepath.Join(to, "noted"), []byte(strings.Join(s.noted, "\n")+"\n"), 0o600); err != nil {
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

// showCrashes prints what crashed processes said.
func (s *fleetSoak) showCrashes(names []string) {
	const most = 6000
	for _, n := range names {
		data, err := os.ReadFile(s.f.path(n + ".log"))
		if err != nil {
			s.t.Log(err)
			continue
		}
		for _, mark := range []string{"WARNING: DATA RACE", "\npanic: "} {
			if i := strings.Index(string(data), mark); i >= 0 {
				s.t.Logf("%s:\n%s", n, data[i:min(i+most, len(data))])
			}
		}
	}
}

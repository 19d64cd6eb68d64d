package scenario

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sumachead/internal/standin"
)

// The kinds of faults that the soak test of a fleet injects.

const (
	// catchUpTimeout is how long a keeper with a new disk may take to catch up before another
	// disk may be lost: a few election timeouts.
	catchUpTimeout = 5 * time.Second
	// diskFaultDuration is how long a keeper is down whose disk was wiped or torn. It is shorter
	// than an election timeout.
	diskFaultDuration = 200 * time.Millisecond
)

// fault injects one random fault and, if it lasts, ends it.
func (s *fleetSoak) fault(r *rand.Rand) {
	duration := time.Duration(300+r.IntN(2500)) * time.Millisecond
	pick := func(class string, n int) *process { return s.f.processes[fmt.Sprintf("%s-%d", class, r.IntN(n)+1)] }
	router := func() *process { return pick("router", s.f.shape.routers) }
	keeper := func() *process { return pick("keeper", s.f.shape.keepers) }
	relay := func() *process { return pick("side", s.f.shape.relays) }
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill router", func() { s.restartAfter(router(), (*process).kill, duration/4) }},
		{"kill keeper", func() { s.restartAfter(keeper(), (*process).kill, duration) }},
		{"kill relay", func() { s.restartAfter(relay(), (*process).kill, duration/4) }},
		{"stop router", func() { s.restartAfter(router(), s.stopRouter, duration/4) }},
		{"stop keeper", func() { s.restartAfter(keeper(), s.stopProcess, duration/4) }},
		{"freeze router", func() { s.freeze(router(), duration) }},
		{"freeze keeper", func() { s.freeze(keeper(), duration) }},
		{"wipe keeper", func() { s.wipe(keeper()) }},
		{"partition routers from keepers", func() { s.cut("router", "keeper", duration) }},
		{"partition a router from keepers", func() { s.cut(router().name, "keeper", duration) }},
		{"partition a keeper from keepers", func() { s.cut(keeper().name, "keeper", duration) }},
		{"partition two halls", func() { s.cut("hall-1", "hall-2", duration) }},
		{"block routers to keepers", func() { s.cutOneWay("router", "keeper", duration) }},
		{"block keepers to routers", func() { s.cutOneWay("keeper", "router", duration) }},
		{"block keepers to a keeper", func() { s.cutOneWay("keeper", keeper().name, duration) }},
		{"delay keepers", func() { s.delay("keeper", "keeper", r, duration) }},
		{"delay routers and keepers", func() { s.delay("router", "keeper", r, duration) }},
		{"reset connections of keepers", func() { s.f.net.reset("keeper", "keeper") }},
		{"reset connections of routers", func() { s.f.net.reset("router", "keeper") }},
		{"tear a keeper's files", func() { s.tearFiles(r, keeper()) }},
		{"kill all keepers", func() { s.killAll("keeper") }},
		{"server faults", func() { s.serverFault(r, duration) }},
		{"replace a server", func() { s.replaceServer(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.count(s.faults, k.name)
	k.do()
}

// peerFault injects a fault between routers, which lend each other escrow, or changes the seeds
// that processes are given.
func (s *fleetSoak) peerFault(r *rand.Rand) {
	duration := time.Duration(300+r.IntN(2500)) * time.Millisecond
	kinds := []struct {
		name string
		do   func()
	}{
		{"partition routers from each other", func() { s.cut("router", "router", duration) }},
		{"block routers to a router", func() { s.cutOneWay("router", "router-1", duration) }},
		{"delay routers to each other", func() { s.delay("router", "router", r, duration) }},
		{"reset connections of routers to each other", func() { s.f.net.reset("router", "router") }},
		{"change the seeds", func() { s.exchangeSeeds(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.count(s.faults, k.name)
	k.do()
}

// hallFault vacates a data hall for a while or restarts an engine cold.
func (s *fleetSoak) hallFault(r *rand.Rand) {
	kinds := []struct {
		name string
		do   func()
	}{
		{"vacate a hall", func() { s.vacate(r) }},
		{"restart an engine cold", func() { s.restartCold(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.count(s.faults, k.name)
	k.do()
}

// vacate vacates a random data hall for longer than the order may take to be in force. Each order
// is sent to the keepers in turn until one acknowledges it.
func (s *fleetSoak) vacate(r *rand.Rand) {
	hall := hallName(r.IntN(3))
	duration := maxVacateDelay + time.Duration(r.IntN(2000))*time.Millisecond
	for _, vacated := range []bool{true, false} {
		if err := s.f.vacate(hall, vacated, recoveryTimeout); err != nil {
			s.recordViolation("%v", err)
			return
		}
		if vacated {
			s.count(s.faults, "vacated "+hall)
			time.Sleep(duration)
		}
	}
}

// restartCold replaces an engine's incarnation by a cold one.
func (s *fleetSoak) restartCold(r *rand.Rand) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.servers())), func(n string) bool { return !strings.HasPrefix(n, "engine-") })
	s.servers()[names[r.IntN(len(names))]].RestartCold(coldDuration)
}

// exchangeSeeds rewrites the settings of all processes with other keepers as seeds. Running
// processes reload them.
func (s *fleetSoak) exchangeSeeds(r *rand.Rand) {
	s.f.mu.Lock()
	s.f.firstSeed = r.IntN(s.f.shape.keepers)
	s.f.mu.Unlock()
	if err := s.f.clearBootstrap(); err != nil {
		s.recordViolation("%v", err)
	}
}

// restartAfter stops a process with end and starts it again after a delay.
func (s *fleetSoak) restartAfter(p *process, end func(*process), delay time.Duration) {
	if !s.acquire(p) {
		return
	}
	defer s.release(p)
	end(p)
	time.Sleep(delay)
	s.restart(p)
}

// restart starts a process and waits for its first log line: before its signal handler is
// installed, a signal kills it instead of stopping it gracefully.
func (s *fleetSoak) restart(p *process) {
	log := s.f.path(p.name + ".log")
	var before int
	if data, err := os.ReadFile(log); err == nil {
		before = len(data)
	}
	if err := s.f.start(p); err != nil {
		s.recordViolation("%s did not start: %v", p.name, err)
		return
	}
	err := eventually(startTimeout, p.name+" has logged its first line", func() bool {
		data, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(data[min(before, len(data)):]), "Starting.")
	})
	if err != nil {
		s.recordViolation("%v", err)
	}
}

// stopProcess stops a process gracefully.
func (s *fleetSoak) stopProcess(p *process) {
	if err := p.stop(); err != nil {
		s.recordViolation("%v", err)
	}
}

// stopRouter stops a router gracefully, to which callers have connections that they use late in the
// grace period. What it reads must be answered.
func (s *fleetSoak) stopRouter(p *process) {
	var all sync.WaitGroup
	defer all.Wait()
	const firstUse, step, conns = 1200 * time.Millisecond, 700 * time.Millisecond, 6
	for i := range conns {
		conn, client, err := s.f.openConn(p.name)
		if err != nil {
			continue
		}
		all.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(firstUse + time.Duration(i)*step)
			if !conn.isOpen() {
				return
			}
			c := s.f.do(fleetRequest{kind: []string{"hold", "check"}[i%2], router: p.name, client: client})
			s.count(s.outcomes, "late "+c.kind+" "+c.String())
			if errors.Is(c.err, io.EOF) {
				s.recordViolation("LOST: %s (%s) got no answer from %s, which was stopping", c.id, c.kind, p.name)
			}
		})
	}
	s.stopProcess(p)
}

// acquire reserves a running process for a fault, unless another fault holds it.
func (s *fleetSoak) acquire(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[p.name] || !p.running() {
		return false
	}
	s.busy[p.name] = true
	s.faultTimes[p.name] = append(s.faultTimes[p.name], time.Now())
	return true
}

// release ends the reservation of a process.
func (s *fleetSoak) release(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, p.name)
	s.faultTimes[p.name] = append(s.faultTimes[p.name], time.Now())
}

// freeze suspends a process for a while.
func (s *fleetSoak) freeze(p *process, duration time.Duration) {
	if !s.acquire(p) {
		return
	}
	defer s.release(p)
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// wipe loses the disk of a keeper, one at a time and only once the previous one has caught up.
func (s *fleetSoak) wipe(p *process) {
	s.mu.Lock()
	early := time.Since(s.lastWipe) < catchUpTimeout
	if !early {
		s.lastWipe = time.Now().Add(time.Hour) // no other wipe until this keeper is back
	}
	s.mu.Unlock()
	if early {
		return
	}
	s.restartAfter(p, func(p *process) {
		p.kill()
		if err := os.RemoveAll(p.data); err != nil {
			s.recordViolation("%v", err)
		}
	}, diskFaultDuration)
	s.mu.Lock()
	s.lastWipe = time.Now()
	s.mu.Unlock()
}

// cut partitions two labels from each other for a while.
func (s *fleetSoak) cut(a, b string, duration time.Duration) {
	s.count(s.faults, fmt.Sprintf("partition %s and %s for %v", a, b, duration))
	s.f.net.setBlocked(a, b, true)
	time.Sleep(duration)
	s.f.net.setBlocked(a, b, false)
}

// cutOneWay blocks one direction between two labels for a while.
func (s *fleetSoak) cutOneWay(from, to string, duration time.Duration) {
	s.count(s.faults, fmt.Sprintf("block %s to %s for %v", from, to, duration))
	s.f.net.setBlockedOneWay(from, to, true)
	time.Sleep(duration)
	s.f.net.setBlockedOneWay(from, to, false)
}

// delay adds up to half a second of latency between two labels for a while.
func (s *fleetSoak) delay(a, b string, r *rand.Rand, duration time.Duration) {
	s.f.net.setDelay(a, b, time.Duration(10+r.IntN(490))*time.Millisecond)
	time.Sleep(duration)
	s.f.net.setDelay(a, b, 0)
}

// tearFiles kills a keeper and appends partial writes to its files, as a power failure in the
// middle of a write does.
func (s *fleetSoak) tearFiles(r *rand.Rand, p *process) {
	s.restartAfter(p, func(p *process) {
		p.kill()
		logs, err := filepath.Glob(filepath.Join(p.data, "group", "log-*"))
		if err != nil {
			s.recordViolation("%v", err)
		}
		slices.Sort(logs)
		torn := append(logs[max(len(logs)-1, 0):], filepath.Join(p.data, "servers"))
		for _, name := range torn {
			s.appendNoise(r, name)
		}
	}, diskFaultDuration)
}

// appendNoise appends random bytes to a file.
func (s *fleetSoak) appendNoise(r *rand.Rand, name string) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		s.recordViolation("%v", err)
		return
	}
	noise := make([]byte, 1+r.IntN(60))
	for i := range noise {
		noise[i] = byte(r.IntN(256))
	}
	_, err = f.Write(noise)
	if err := errors.Join(err, f.Close()); err != nil {
		s.recordViolation("%v", err)
	}
}

// killAll kills all processes of a class at once.
func (s *fleetSoak) killAll(class string) {
	var all sync.WaitGroup
	for _, name := range s.f.order {
		if p := s.f.processes[name]; p.role == class {
			all.Go(func() { s.restartAfter(p, (*process).kill, 300*time.Millisecond) })
		}
	}
	all.Wait()
}

// serverFault injects a fault into a backend server for a while.
func (s *fleetSoak) serverFault(r *rand.Rand, duration time.Duration) {
	faults := []standin.ReplicaFaults{{LoseAnswer: true}, {BreakAfter: 2}, {Surplus: true}, {LateSurplus: true}, {Refuse: true}, {Hang: true}}
	_, server := s.randomServer(r)
	server.SetFaults(faults[r.IntN(len(faults))])
	time.Sleep(duration)
	server.SetFaults(standin.ReplicaFaults{})
}

// servers returns the backend servers that have not left.
func (s *fleetSoak) servers() map[string]*standin.Replica {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	out := make(map[string]*standin.Replica)
	for name, r := range s.f.replicas {
		if r.DrainAckedAt().IsZero() && !r.Stopped() {
			out[name] = r
		}
	}
	return out
}

// replaceServer starts a server of the same service as a random one and drains the old one.
func (s *fleetSoak) replaceServer(r *rand.Rand) {
	name, old := s.randomServer(r)
	s.addReplacement(r, name, old)
	s.drain(old)
}

// randomServer returns a random backend server that has not left.
func (s *fleetSoak) randomServer(r *rand.Rand) (name string, server *standin.Replica) {
	servers := s.servers()
	names := slices.Sorted(maps.Keys(servers))
	name = names[r.IntN(len(names))]
	return name, servers[name]
}

// addReplacement starts a server like an old one.
func (s *fleetSoak) addReplacement(r *rand.Rand, name string, old *standin.Replica) {
	s.f.addVersionOf(old, fmt.Sprintf("i-%s+%d", strings.Split(name, "+")[0], r.IntN(1_000_000)), old.Version, standin.ReplicaFaults{})
}

// drain lets a server announce in its heartbeats that it leaves, until a keeper acknowledges it.
func (s *fleetSoak) drain(old *standin.Replica) {
	for range 10 {
		if old.Drain(s.f.ctx) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

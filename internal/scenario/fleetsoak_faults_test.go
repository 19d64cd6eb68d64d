package scenario

import (
	"errors"
	"fmt"
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

// The kinds of faults that the soak of a declared fleet mixes.

const (
	// catchUp is how long a keeper with a new disk may take until another may be
	// lost: some election timeouts.
	catchUp = 5 * time.Second
	// diskFaultLasts is how long a keeper whose disk is lost or torn is down: less
	// than an election timeout.
	diskFaultLasts = 200 * time.Millisecond
)

// fault causes one fault and, where it lasts, ends it.
func (s *fleetSoak) fault(r *rand.Rand) {
	lasts := time.Duration(300+r.IntN(2500)) * time.Millisecond
	pick := func(class string, n int) *process { return s.f.processes[fmt.Sprintf("%s-%d", class, r.IntN(n)+1)] }
	router := func() *process { return pick("router", s.f.shape.routers) }
	keeper := func() *process { return pick("keeper", s.f.shape.keepers) }
	relay := func() *process { return pick("side", s.f.shape.relays) }
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill router", func() { s.bounce(router(), (*process).kill, lasts/4) }},
		{"kill keeper", func() { s.bounce(keeper(), (*process).kill, lasts) }},
		{"kill relay", func() { s.bounce(relay(), (*process).kill, lasts/4) }},
		{"stop router", func() { s.bounce(router(), s.stopProcess, lasts/4) }},
		{"stop keeper", func() { s.bounce(keeper(), s.stopProcess, lasts/4) }},
		{"freeze router", func() { s.freeze(router(), lasts) }},
		{"freeze keeper", func() { s.freeze(keeper(), lasts) }},
		{"wipe keeper", func() { s.wipe(keeper()) }},
		{"cut routers from keepers", func() { s.cut("router", "keeper", lasts) }},
		{"cut a router from keepers", func() { s.cut(router().name, "keeper", lasts) }},
		{"cut a keeper", func() { s.cut(keeper().name, "keeper", lasts) }},
		{"cut a hall", func() { s.cut("hall-1", "hall-2", lasts) }},
		{"cut routers from keepers one way", func() { s.cutOneWay("router", "keeper", lasts) }},
		{"cut keepers from routers one way", func() { s.cutOneWay("keeper", "router", lasts) }},
		{"cut keepers from a keeper one way", func() { s.cutOneWay("keeper", keeper().name, lasts) }},
		{"delay keepers", func() { s.delay("keeper", "keeper", r, lasts) }},
		{"delay routers and keepers", func() { s.delay("router", "keeper", r, lasts) }},
		{"reset connections of keepers", func() { s.f.net.reset("keeper", "keeper") }},
		{"reset connections of routers", func() { s.f.net.reset("router", "keeper") }},
		{"tear a keeper's files", func() { s.tear(r, keeper()) }},
		{"kill all keepers", func() { s.killAll("keeper") }},
		{"server faults", func() { s.serverFault(r, lasts) }},
		{"new server for an old one", func() { s.replaceServer(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.note(s.faults, k.name)
	k.do()
}

// peerFault causes a fault among routers, which lend each other money, or exchanges the
// seeds that processes are told.
func (s *fleetSoak) peerFault(r *rand.Rand) {
	lasts := time.Duration(300+r.IntN(2500)) * time.Millisecond
	kinds := []struct {
		name string
		do   func()
	}{
		{"cut routers from each other", func() { s.cut("router", "router", lasts) }},
		{"cut routers from each other one way", func() { s.cutOneWay("router", "router-1", lasts) }},
		{"delay routers to each other", func() { s.delay("router", "router", r, lasts) }},
		{"reset connections of routers to each other", func() { s.f.net.reset("router", "router") }},
		{"exchange the seeds", func() { s.exchangeSeeds(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.note(s.faults, k.name)
	k.do()
}

// hallFault vacates a data hall for a time, or has an engine start anew and cold.
func (s *fleetSoak) hallFault(r *rand.Rand) {
	kinds := []struct {
		name string
		do   func()
	}{
		{"vacate a hall", func() { s.vacate(r) }},
		{"an engine starts anew", func() { s.startAnew(r) }},
	}
	k := kinds[r.IntN(len(kinds))]
	s.note(s.faults, k.name)
	k.do()
}

// vacate vacates a data hall for some seconds, longer than it may take to be in force. An
// order is sent until it is acknowledged, to one keeper after the other.
func (s *fleetSoak) vacate(r *rand.Rand) {
	hall := hallName(r.IntN(3))
	lasts := vacateWithin + time.Duration(r.IntN(2000))*time.Millisecond
	for _, vacated := range []bool{true, false} {
		if err := s.f.vacate(hall, vacated, settle); err != nil {
			s.breaks("%v", err)
			return
		}
		if vacated {
			s.note(s.faults, "vacated "+hall)
			time.Sleep(lasts)
		}
	}
}

// startAnew makes an engine another life, which is cold at first.
func (s *fleetSoak) startAnew(r *rand.Rand) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.servers())), func(n string) bool { return !strings.HasPrefix(n, "engine-") })
	s.servers()[names[r.IntN(len(names))]].StartAnew(coldTime)
}

// exchangeSeeds tells all processes other keepers as seeds; those that run read it by
// themselves.
func (s *fleetSoak) exchangeSeeds(r *rand.Rand) {
	s.f.mu.Lock()
	s.f.firstSeed = r.IntN(s.f.shape.keepers)
	s.f.mu.Unlock()
	if err := s.f.founded(); err != nil {
		s.breaks("%v", err)
	}
}

// bounce ends a process and starts it again after a time.
func (s *fleetSoak) bounce(p *process, end func(*process), after time.Duration) {
	if !s.claim(p) {
		return
	}
	defer s.free(p)
	end(p)
	time.Sleep(after)
	s.startAgain(p)
}

// startAgain starts a process and waits until it runs its program: a signal that
// comes before ends it by the kernel's default, which is no planned stop.
func (s *fleetSoak) startAgain(p *process) {
	log := s.f.path(p.name + ".log")
	var before int
	if data, err := os.ReadFile(log); err == nil {
		before = len(data)
	}
	if err := s.f.start(p); err != nil {
		s.breaks("%s did not start: %v", p.name, err)
		return
	}
	err := eventually(startTimeout, p.name+" has written its first line", func() bool {
		data, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(data[min(before, len(data)):]), "Starting.")
	})
	if err != nil {
		s.breaks("%v", err)
	}
}

// stopProcess ends a process as planned.
func (s *fleetSoak) stopProcess(p *process) {
	if err := p.stop(); err != nil {
		s.breaks("%v", err)
	}
}

// claim makes sure that one fault at a time deals with a process.
func (s *fleetSoak) claim(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[p.name] || !p.running() {
		return false
	}
	s.busy[p.name] = true
	s.disturbed[p.name] = append(s.disturbed[p.name], time.Now())
	return true
}

// free ends a claim.
func (s *fleetSoak) free(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, p.name)
	s.disturbed[p.name] = append(s.disturbed[p.name], time.Now())
}

// freeze stops a process for a time without ending it.
func (s *fleetSoak) freeze(p *process, lasts time.Duration) {
	if !s.claim(p) {
		return
	}
	defer s.free(p)
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
}

// wipe loses a keeper's disk; one at a time, and only when the last has caught up.
func (s *fleetSoak) wipe(p *process) {
	s.mu.Lock()
	early := time.Since(s.wiped) < catchUp
	if !early {
		s.wiped = time.Now().Add(time.Hour) // no other disk until this one is back
	}
	s.mu.Unlock()
	if early {
		return
	}
	s.bounce(p, func(p *process) {
		p.kill()
		if err := os.RemoveAll(p.data); err != nil {
			s.breaks("%v", err)
		}
	}, diskFaultLasts)
	s.mu.Lock()
	s.wiped = time.Now()
	s.mu.Unlock()
}

// cut cuts the way between two places for a time, both ways.
func (s *fleetSoak) cut(a, b string, lasts time.Duration) {
	s.note(s.faults, fmt.Sprintf("cut %s and %s for %v", a, b, lasts))
	s.f.net.set(a, b, true)
	time.Sleep(lasts)
	s.f.net.set(a, b, false)
}

// cutOneWay cuts the way from one place to another for a time; the way back stays.
func (s *fleetSoak) cutOneWay(from, to string, lasts time.Duration) {
	s.note(s.faults, fmt.Sprintf("cut %s from %s for %v", from, to, lasts))
	s.f.net.setOneWay(from, to, true)
	time.Sleep(lasts)
	s.f.net.setOneWay(from, to, false)
}

// delay makes bytes between two places late, by up to half a second.
func (s *fleetSoak) delay(a, b string, r *rand.Rand, lasts time.Duration) {
	s.f.net.setDelay(a, b, time.Duration(10+r.IntN(490))*time.Millisecond)
	time.Sleep(lasts)
	s.f.net.setDelay(a, b, 0)
}

// tear kills a keeper and leaves parts of writes behind the ends of its files, as a
// loss of power in the middle of a write does.
func (s *fleetSoak) tear(r *rand.Rand, p *process) {
	s.bounce(p, func(p *process) {
		p.kill()
		logs, err := filepath.Glob(filepath.Join(p.data, "group", "log-*"))
		if err != nil {
			s.breaks("%v", err)
		}
		slices.Sort(logs)
		torn := append(logs[max(len(logs)-1, 0):], filepath.Join(p.data, "servers"))
		for _, name := range torn {
			s.appendNoise(r, name)
		}
	}, diskFaultLasts)
}

// appendNoise adds some bytes to a file.
func (s *fleetSoak) appendNoise(r *rand.Rand, name string) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		s.breaks("%v", err)
		return
	}
	noise := make([]byte, 1+r.IntN(60))
	for i := range noise {
		noise[i] = byte(r.IntN(256))
	}
	_, err = f.Write(noise)
	if err := errors.Join(err, f.Close()); err != nil {
		s.breaks("%v", err)
	}
}

// killAll kills all processes of a class at once.
func (s *fleetSoak) killAll(class string) {
	var all sync.WaitGroup
	for _, name := range s.f.order {
		if p := s.f.processes[name]; p.role == class {
			all.Go(func() { s.bounce(p, (*process).kill, 300*time.Millisecond) })
		}
	}
	all.Wait()
}

// serverFault makes a backend server misbehave for a time.
func (s *fleetSoak) serverFault(r *rand.Rand, lasts time.Duration) {
	faults := []standin.ReplicaFaults{{LoseAnswer: true}, {BreakAfter: 2}, {Surplus: true}, {Refuse: true}, {Hang: true}}
	_, server := s.anyServer(r)
	server.Set(faults[r.IntN(len(faults))])
	time.Sleep(lasts)
	server.Set(standin.ReplicaFaults{})
}

// servers returns the backend servers that have not left.
func (s *fleetSoak) servers() map[string]*standin.Replica {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	out := make(map[string]*standin.Replica)
	for name, r := range s.f.server {
		if r.DrainAcked().IsZero() && !r.Stopped() {
			out[name] = r
		}
	}
	return out
}

// replaceServer starts a server and lets an old one of its service go.
func (s *fleetSoak) replaceServer(r *rand.Rand) {
	name, old := s.anyServer(r)
	s.addLike(r, name, old)
	s.letGo(old)
}

// anyServer draws a backend server that has not left.
func (s *fleetSoak) anyServer(r *rand.Rand) (name string, server *standin.Replica) {
	servers := s.servers()
	names := slices.Sorted(maps.Keys(servers))
	name = names[r.IntN(len(names))]
	return name, servers[name]
}

// addLike starts a server that takes the place of another.
func (s *fleetSoak) addLike(r *rand.Rand, name string, old *standin.Replica) {
	s.f.addVersionOf(old, fmt.Sprintf("i-%s+%d", strings.Split(name, "+")[0], r.IntN(1_000_000)), old.Version, standin.ReplicaFaults{})
}

// letGo has a server say in its heartbeats that it leaves, until that is acknowledged.
func (s *fleetSoak) letGo(old *standin.Replica) {
	for range 10 {
		if old.Drain(s.f.ctx) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

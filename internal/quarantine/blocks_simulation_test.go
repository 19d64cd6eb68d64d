package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// A simulation of a fleet without a network, whose engines crash when they begin to respond to a prompt
// with a certain block. Harmless prompts share all other blocks with such prompts.

const (
	// blockTime is how long callers send requests, and blocksAppearAt when prompts with crashing blocks
	// begin to come.
	blockTime      = 16 * time.Second
	blocksAppearAt = 2 * time.Second
	// ratePerEngine is how many harmless requests a second there are for each engine.
	ratePerEngine = 4
	// toleratedCrashes, contactTime and maxLateSends bound the requests with a crashing block: at most
	// so many are sent later than contactTime after so many crashes.
	toleratedCrashes = 5
	contactTime      = 3 * time.Second
	maxLateSends     = 3
)

// prompt is a request: its own fingerprint, the blocks that it shares, and the one of them that crashes
// engines, if any.
type prompt struct {
	f       sumachead.Fingerprint
	blocks  []string
	crashes string
}

// blockAttempt is one attempt of a request at an engine.
type blockAttempt struct {
	prompt  prompt
	router  int
	writing time.Duration // when the engine began to write; 0 before
	ended   bool
	failed  func()
}

type blockEngine struct {
	incarnation int
	up          bool
	runs        []*blockAttempt
}

// survivedKey identifies a block that has survived at a router.
type survivedKey struct {
	router int
	block  string
}

// blockSimulation is the state of a simulated fleet.
type blockSimulation struct {
	rand    *rand.Rand
	now     time.Duration
	events  eventQueue
	engines []*blockEngine
	tables  []Table
	tracker Tracker
	list    List
	// bad are the blocks that crash engines.
	bad      []string
	number   uint64
	survived map[survivedKey]bool
	// crashes are the times of crashes by block, and sends the times of attempts with it.
	crashes, sends map[string][]time.Duration
	// sent and served count harmless requests by the second in which they were sent.
	sent, served [int(blockTime/time.Second) + 1]int
	// barred are the harmless blocks that were barred.
	barred []string
}

func (m *blockSimulation) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now + d, do})
}

func (m *blockSimulation) randDelay(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(m.rand.Int64N(int64(maximum-minimum)))
}

func (m *blockSimulation) wallTime() time.Time { return time.UnixMilli(1_700_000_000_000).Add(m.now) }

// fingerprintOf returns the fingerprint of a block of the only version of the only service.
func fingerprintOf(id string) sumachead.Fingerprint {
	return BlockFingerprint(&wire.PromptBlock{Service: "pool", Software: "v1", Id: id})
}

// newPrompt returns a prompt with the blocks of a harmless one and, if given, a crashing one: a first
// block that many share, a subject that a few do for some seconds.
func (m *blockSimulation) newPrompt(crashing string) prompt {
	m.number++
	const firsts, subjects, subjectTime = 8, 4, 8 * time.Second
	p := prompt{f: sumachead.Fingerprint{9, byte(m.number), byte(m.number >> 8), byte(m.number >> 16), byte(m.number >> 24)}, crashes: crashing}
	first := min(m.rand.IntN(firsts), m.rand.IntN(firsts))
	subject := fmt.Sprint("subject", int(m.now/subjectTime), "-", m.rand.IntN(subjects*len(m.engines)))
	p.blocks = []string{fmt.Sprint("first", first), subject}
	if crashing != "" {
		p.blocks = slices.Insert(p.blocks, 1+m.rand.IntN(2), crashing)
	}
	return p
}

// report delivers a report to the leader and its reply to the router.
func (m *blockSimulation) report(router int, r *wire.EndsReport, then func()) {
	r.Node = fmt.Sprint(router)
	m.after(m.randDelay(2*time.Millisecond, 20*time.Millisecond), func() {
		m.publish(m.tracker.HandleReport(r, m.list.Standing, m.wallTime()))
		reply := m.list.ForReport(r)
		m.after(m.randDelay(2*time.Millisecond, 20*time.Millisecond), func() { m.merge(router, reply); then() })
	})
}

// publish commits new standings; the routers receive them some time later.
func (m *blockSimulation) publish(changes []*wire.Suspect) {
	if len(changes) == 0 {
		return
	}
	for _, x := range changes {
		if id := x.GetBlock().GetId(); id != "" && x.GetStanding() == barred && !slices.Contains(m.bad, id) {
			m.barred = append(m.barred, id)
		}
	}
	before := m.list.Revision()
	m.list.Apply(&wire.Suspects{Suspects: changes})
	updates := m.list.Since(before)
	for i := range m.tables {
		m.after(m.randDelay(2*time.Millisecond, 60*time.Millisecond), func() { m.merge(i, updates) })
	}
}

// merge applies standings at a router, which recalls suspected blocks that have survived there and
// cancels what is in flight with barred ones.
func (m *blockSimulation) merge(router int, s *wire.Suspects) {
	var recalled [][]byte
	for _, x := range m.tables[router].Merge(s) {
		id := x.GetBlock().GetId()
		switch {
		case x.GetStanding() == suspected && m.survived[survivedKey{router, id}]:
			recalled = append(recalled, x.GetFingerprint())
		case x.GetStanding() == barred && id != "":
			m.cancel(router, id)
		}
	}
	if len(recalled) > 0 {
		m.report(router, &wire.EndsReport{Recalled: recalled}, func() {})
	}
}

// cancel ends the attempts of a router whose prompts have a block.
func (m *blockSimulation) cancel(router int, id string) {
	for _, e := range m.engines {
		e.runs = slices.DeleteFunc(e.runs, func(a *blockAttempt) bool {
			found := a.router == router && slices.Contains(a.prompt.blocks, id)
			a.ended = a.ended || found
			return found
		})
	}
}

// crash crashes an engine with all requests that are in flight there.
func (m *blockSimulation) crash(i int) {
	e := m.engines[i]
	if !e.up {
		return
	}
	server := fmt.Sprint("e", i, "-", e.incarnation)
	e.up = false
	e.incarnation++
	m.after(engineRestartTime, func() { e.up = true })
	runs := e.runs
	e.runs = nil
	for _, a := range runs {
		a.ended = true
		x := &wire.ServerEnd{Fingerprint: a.prompt.f[:], Server: server, Service: "pool", Software: "v1"}
		if a.writing == 0 || m.now-a.writing <= SurvivalTime {
			for _, id := range a.prompt.blocks {
				x.Blocks = append(x.Blocks, &wire.CrashBlock{Id: id, Survived: m.survived[survivedKey{a.router, id}]})
			}
		}
		m.report(a.router, &wire.EndsReport{Ends: []*wire.ServerEnd{x}}, a.failed)
	}
}

// survive records that the blocks of a response have survived.
func (m *blockSimulation) survive(a *blockAttempt) {
	r := &wire.EndsReport{}
	for _, id := range a.prompt.blocks {
		m.survived[survivedKey{a.router, id}] = true
		f := fingerprintOf(id)
		if s, _ := m.tables[a.router].Standing(f); s != cleared || m.tracker.HasCrashes(f) {
			r.Survived = append(r.Survived, f[:])
		}
	}
	if len(r.GetSurvived()) > 0 {
		m.report(a.router, r, func() {})
	}
}

// suspectsOf returns the suspects of a request at a router; barred is set if one is barred.
func (m *blockSimulation) suspectsOf(p prompt, router int) (request []byte, blocks [][]byte, isBarred bool) {
	if s, _ := m.tables[router].Standing(p.f); s != cleared {
		request, isBarred = p.f[:], s == barred
	}
	for _, id := range p.blocks {
		f := fingerprintOf(id)
		s, _ := m.tables[router].Standing(f)
		isBarred = isBarred || s == barred
		if s != cleared {
			blocks = append(blocks, f[:])
		}
	}
	return request, blocks, isBarred
}

// send sends a request from a router, with retries; done is called with whether it succeeded.
func (m *blockSimulation) send(p prompt, router, attempts int, done func(succeeded bool)) {
	request, blocks, isBarred := m.suspectsOf(p, router)
	i := m.rand.IntN(len(m.engines))
	for range 50 {
		if m.engines[i].up {
			break
		}
		i = m.rand.IntN(len(m.engines))
	}
	e, places := m.engines[i], len(m.engines)
	if isBarred || !e.up {
		done(false)
		return
	}
	a := &blockAttempt{prompt: p, router: router, failed: func() {
		if attempts > 1 {
			m.send(p, router, attempts-1, done)
			return
		}
		done(false)
	}}
	if request != nil || len(blocks) > 0 {
		r := &wire.TrialRequest{
			Node: fmt.Sprint(router), Fingerprint: request, Blocks: blocks, Server: fmt.Sprint("e", i, "-", e.incarnation),
			Number: m.rand.Uint64(), DeadlineMillis: 6000,
		}
		for m.tracker.DecideTrial(r, m.list.Standing, m.wallTime()) == wire.Trial_TRIAL_APART && places > 0 {
			places--
			if j := m.rand.IntN(len(m.engines)); m.engines[j].up {
				i, e = j, m.engines[j]
				r.Server = fmt.Sprint("e", i, "-", e.incarnation)
			}
		}
		if m.tracker.DecideTrial(r, m.list.Standing, m.wallTime()) != wire.Trial_TRIAL_GRANTED {
			done(false)
			return
		}
	}
	m.sends[p.crashes] = append(m.sends[p.crashes], m.now)
	e.runs = append(e.runs, a)
	m.after(m.randDelay(20*time.Millisecond, 400*time.Millisecond), func() { m.write(i, a, done) })
}

// write begins to respond to a request.
func (m *blockSimulation) write(i int, a *blockAttempt, done func(bool)) {
	if a.ended {
		return
	}
	a.writing = m.now
	if a.prompt.crashes != "" {
		m.after(m.randDelay(35*time.Millisecond, 120*time.Millisecond), func() {
			if !a.ended {
				m.crashes[a.prompt.crashes] = append(m.crashes[a.prompt.crashes], m.now)
				m.crash(i)
			}
		})
		return
	}
	length := m.randDelay(300*time.Millisecond, 3*time.Second)
	m.after(min(length, SurvivalTime), func() {
		if !a.ended {
			m.survive(a)
		}
	})
	m.after(length, func() {
		if a.ended {
			return
		}
		a.ended = true
		e := m.engines[i]
		e.runs = slices.DeleteFunc(e.runs, func(o *blockAttempt) bool { return o == a })
		done(true)
	})
}

// sendHarmless sends harmless requests at random times. Their callers retry once.
func (m *blockSimulation) sendHarmless(interval time.Duration) {
	if m.now > blockTime {
		return
	}
	m.after(time.Duration(float64(interval)*m.rand.ExpFloat64()), func() { m.sendHarmless(interval) })
	second := int(m.now / time.Second)
	p := m.newPrompt("")
	m.sent[second]++
	m.send(p, m.rand.IntN(len(m.tables)), 2, func(succeeded bool) {
		if succeeded {
			m.served[second]++
			return
		}
		m.after(m.randDelay(100*time.Millisecond, 500*time.Millisecond), func() {
			m.send(p, m.rand.IntN(len(m.tables)), 2, func(bool) {})
		})
	})
}

// sendCrashing sends requests with a crashing block, no two alike. Their callers retry once.
func (m *blockSimulation) sendCrashing(id string) {
	if m.now > blockTime {
		return
	}
	m.after(m.randDelay(20*time.Millisecond, 200*time.Millisecond), func() { m.sendCrashing(id) })
	p := m.newPrompt(id)
	m.send(p, m.rand.IntN(len(m.tables)), 2, func(bool) {
		m.after(m.randDelay(50*time.Millisecond, 400*time.Millisecond), func() { m.send(p, m.rand.IntN(len(m.tables)), 2, func(bool) {}) })
	})
}

// crashSome crashes a share of all engines at once, for another reason.
func (m *blockSimulation) crashSome(oneIn int) {
	for i := range m.engines {
		if m.rand.IntN(oneIn) == 0 {
			m.crash(i)
		}
	}
}

// blockScenario describes simulated fleets.
type blockScenario struct {
	routers, engines, seeds int
	// bad is how many blocks crash engines.
	bad int
	// waves is how often a third of all engines crashes at once for another reason, and singles whether
	// single engines crash for other reasons all the time.
	waves   int
	singles bool
}

// run simulates one fleet.
func (s blockScenario) run(seed int) *blockSimulation {
	m := &blockSimulation{
		rand: rand.New(rand.NewPCG(uint64(seed), 3)), tables: make([]Table, s.routers), survived: make(map[survivedKey]bool),
		crashes: make(map[string][]time.Duration), sends: make(map[string][]time.Duration),
	}
	for range s.engines {
		m.engines = append(m.engines, &blockEngine{up: true})
	}
	m.sendHarmless(time.Second / time.Duration(ratePerEngine*s.engines))
	for i := range s.bad {
		id := fmt.Sprint("bad", i)
		m.bad = append(m.bad, id)
		m.after(blocksAppearAt, func() { m.sendCrashing(id) })
	}
	for w := range s.waves {
		m.after(time.Duration(3+2*w)*time.Second, func() { m.crashSome(3) })
	}
	if s.singles {
		for at := time.Second; at < blockTime; at += 2 * time.Second {
			m.after(at, func() { m.crash(m.rand.IntN(len(m.engines))) })
		}
	}
	for at := time.Duration(0); at < blockTime; at += reportTime {
		m.after(at, func() { m.publish(m.tracker.DecidePending(m.list.Standing, m.wallTime())) })
	}
	for at := time.Second; at < blockTime; at += time.Second {
		m.after(at, func() { m.publish(m.tracker.Expire(m.list.Since(0).GetSuspects(), m.wallTime())) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m
}

// lateSends returns how many requests with a block were sent later than allowed, and the number of
// crashes.
func (m *blockSimulation) lateSends(id string) (late, crashes int) {
	times := m.crashes[id]
	if len(times) == 0 {
		return 0, 0
	}
	last := times[min(len(times), toleratedCrashes)-1]
	for _, at := range m.sends[id] {
		if at > last+contactTime {
			late++
		}
	}
	return late, len(times)
}

func TestFleetsBarTheCrashingBlockAlone(t *testing.T) {
	tests := []blockScenario{
		{routers: 5, engines: 12, seeds: 40, bad: 1},
		{routers: 5, engines: 12, seeds: 20, bad: 2},
		{routers: 5, engines: 12, seeds: 20, bad: 1, waves: 3},
		{routers: 5, engines: 12, seeds: 20, bad: 1, singles: true},
		{routers: 5, engines: 12, seeds: 40, waves: 6},
		{routers: 5, engines: 12, seeds: 40, singles: true},
		{routers: 24, engines: 47, seeds: 4, bad: 1, waves: 2},
		{routers: 102, engines: 160, seeds: 2, bad: 1},
		{routers: 410, engines: 400, seeds: 1, bad: 1},
		{routers: 410, engines: 400, seeds: 1, bad: 2, waves: 2},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d routers, %d engines, %d blocks, %d waves, singles %t", tt.routers, tt.engines, tt.bad, tt.waves, tt.singles), func(t *testing.T) {
			t.Parallel()
			mostCrashes, mostLate, sent, served := 0, 0, 0, 0
			var falselyBarred []string
			for seed := range tt.seeds {
				m := tt.run(seed)
				falselyBarred = append(falselyBarred, m.barred...)
				for _, id := range m.bad {
					late, crashes := m.lateSends(id)
					mostLate, mostCrashes = max(mostLate, late), max(mostCrashes, crashes)
				}
				const from, to = 11, 15 // more than twice contactTime after the crashes
				for second := from; second < to; second++ {
					sent, served = sent+m.sent[second], served+m.served[second]
				}
			}
			t.Logf("at most %d crashes by one block, %d late sends; %d of %d harmless requests served at the first attempt", mostCrashes, mostLate, served, sent)
			if len(falselyBarred) > 0 {
				t.Errorf("harmless blocks were barred: %v", falselyBarred)
			}
			if mostLate > maxLateSends {
				t.Errorf("%d late sends, want at most %d", mostLate, maxLateSends)
			}
			const minPercent = 99
			if !tt.singles && tt.waves < 5 && served*100 < sent*minPercent {
				t.Errorf("%d of %d harmless requests were served at the first attempt", served, sent)
			}
		})
	}
}

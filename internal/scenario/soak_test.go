package scenario

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// soak injects random faults under load.
type soak struct {
	t    *testing.T
	sys  *system
	rand *rand.Rand

	mu       sync.Mutex // guards the fields below
	requests map[string]*trackedRequest
	faults   map[string]int
	outcomes map[string]int
}

// trackedRequest is one request with all responses that its caller got.
type trackedRequest struct {
	q         request
	responses []response
}

// TestSoak runs only if SOAK sets a duration, as in SOAK=60s. SEED repeats a run.
func TestSoak(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("SOAK"))
	if err != nil {
		t.Skip("set SOAK to a duration")
	}
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("SEED=%d", seed)
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), requests: make(map[string]*trackedRequest),
		faults: make(map[string]int), outcomes: make(map[string]int),
	}
	s.setUp()
	defer s.sys.close()
	s.run(time.Now().Add(duration))
	s.recover()
	s.report()
}

func (s *soak) setUp() {
	daemon, err := exec.LookPath("sumacheadd")
	if err != nil {
		s.t.Fatal(err)
	}
	sh := shape{
		keepers: 3, routers: 3, engines: 3, bookings: 3, slots: 8, budget: 100_000_000, callCost: 10,
		presumeAfter: 2 * time.Second, engineArgs: []string{"--token", "3ms"},
	}
	s.sys = newSystem(s.t.TempDir(), daemon, filepath.Join(filepath.Dir(daemon), "sumachead-standin"), sh)
	if err := s.sys.build(); err != nil {
		s.t.Fatal(err)
	}
	if err := s.sys.startAll(); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(time.Second)
}

// run sends requests and injects faults until the given time.
func (s *soak) run(until time.Time) {
	const callers = 10
	var all sync.WaitGroup
	for i := range callers {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i)))
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				s.request(r, fmt.Sprintf("c%d-%d", i, n))
			}
		})
	}
	for time.Now().Before(until) {
		s.fault()
	}
	all.Wait()
}

// request sends one request and retries it until it has a complete response or has run, at most
// three times in all.
func (s *soak) request(r *rand.Rand, name string) {
	q := request{key: name, bearer: workspaceKey, tokens: 5 + r.IntN(60), timeout: 15 * time.Second, deadline: 10 * time.Second}
	switch r.IntN(4) {
	case 0:
		q.stream = true
	case 1, 2:
		q.hold, q.nonIdempotent, q.priority = true, true, "urgent"
	}
	if q.hold && r.IntN(2) == 0 {
		q.key = hallName(r.IntN(3)) + "~" + name
	}
	tr := &trackedRequest{q: q}
	s.mu.Lock()
	s.requests[q.key] = tr
	s.mu.Unlock()
	for range 3 {
		q.router = fmt.Sprintf("router-%d", r.IntN(3)+1)
		a := s.sys.call(q)
		s.mu.Lock()
		tr.responses = append(tr.responses, a)
		s.outcomes[a.verdict+" "+a.reason]++
		s.mu.Unlock()
		if a.complete || a.verdict == "ran" {
			return
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}

func (s *soak) randomProcess(role string) *process {
	var names []string
	for _, n := range s.sys.order {
		if s.sys.processes[n].role == role {
			names = append(names, n)
		}
	}
	return s.sys.processes[names[s.rand.IntN(len(names))]]
}

func (s *soak) sleepBetween(minPause, maxPause time.Duration) {
	time.Sleep(minPause + time.Duration(s.rand.Int64N(int64(maxPause-minPause))))
}

// fault injects one random fault, at times with a second one, and ends it.
func (s *soak) fault() {
	kinds := []struct {
		name string
		f    func()
	}{
		{"router crashed", func() { s.crash("router") }},
		{"agent crashed", func() { s.crash("agent") }},
		{"keeper crashed", func() { s.crash("keeper") }},
		{"keeper lost its disk", s.loseDisk},
		{"router frozen", func() { s.freeze("router") }},
		{"agent frozen", func() { s.freeze("agent") }},
		{"keeper frozen", func() { s.freeze("keeper") }},
		{"hall partitioned", s.cutHall},
		{"router partitioned", s.cutRouter},
		{"planned stop", s.plannedStop},
		{"backend fault", s.backendFault},
		{"server leaving", s.drainServer},
		{"top-up", s.topup},
	}
	k := kinds[s.rand.IntN(len(kinds))]
	s.faults[k.name]++
	k.f()
	s.sleepBetween(100*time.Millisecond, 800*time.Millisecond)
}

func (s *soak) restart(p *process) {
	if err := s.sys.start(p); err != nil {
		s.t.Error(err)
	}
}

func (s *soak) crash(role string) {
	p := s.randomProcess(role)
	p.kill()
	var second *process
	if s.rand.IntN(3) == 0 {
		if second = s.randomProcess("router"); second != p {
			second.kill()
			s.faults["second crash"]++
		}
	}
	s.sleepBetween(100*time.Millisecond, 2*time.Second)
	s.restart(p)
	if second != nil && second != p {
		s.restart(second)
	}
}

// loseDisk wipes a keeper's disk and waits until the keeper votes again in both groups, since
// three keepers tolerate only one lost disk. This is read from the leaders' logs: while a group
// has no leader, its status lists no learner, nor does it tell which incarnation of a keeper
// votes.
func (s *soak) loseDisk() {
	p := s.randomProcess("keeper")
	p.kill()
	if err := os.RemoveAll(p.data); err != nil {
		s.t.Error(err)
	}
	before := s.promotionsOf(p)
	s.restart(p)
	err := eventually(30*time.Second, p.name+" votes again in both groups", func() bool {
		for group, n := range s.promotionsOf(p) {
			if n <= before[group] {
				return false
			}
		}
		return true
	})
	if err != nil {
		s.t.Error(err)
	}
	s.awaitVoters()
}

// promotionsOf counts how often the leaders of each group have made a keeper a voter.
func (s *soak) promotionsOf(p *process) map[string]int {
	votes := map[string]int{"settings": 0, "ledger": 0}
	for _, n := range s.sys.order {
		if s.sys.processes[n].role != p.role {
			continue
		}
		data, err := os.ReadFile(s.sys.path(n + ".log"))
		if err != nil {
			s.t.Error(err)
		}
		for group := range votes {
			votes[group] += strings.Count(string(data), "Keeper has caught up and was promoted to voter.: group="+group+" keeper="+p.name+"\n")
		}
	}
	return votes
}

func (s *soak) awaitVoters() {
	err := eventually(30*time.Second, "all keepers vote", func() bool {
		var out bytes.Buffer
		code := s.sys.tool(&out, "status")
		return code == 0 && !strings.Contains(out.String(), "catching up") && !strings.Contains(out.String(), "not reached")
	})
	if err != nil {
		s.t.Error(err)
	}
	time.Sleep(time.Second)
}

func (s *soak) freeze(role string) {
	p := s.randomProcess(role)
	p.signal(syscall.SIGSTOP)
	s.sleepBetween(200*time.Millisecond, 7*time.Second)
	p.signal(syscall.SIGCONT)
}

func (s *soak) cutHall() {
	h := s.rand.IntN(3)
	for i := range 3 {
		if i != h {
			s.sys.net.setBlocked(hallName(h), hallName(i), true)
		}
	}
	s.sleepBetween(time.Second, 9*time.Second)
	s.sys.net.healAll()
}

func (s *soak) cutRouter() {
	p := s.randomProcess("router")
	for _, k := range s.sys.keepers {
		s.sys.net.setBlocked(p.name, k.ID, true)
	}
	s.sleepBetween(time.Second, 8*time.Second)
	s.sys.net.healAll()
}

func (s *soak) plannedStop() {
	p := s.randomProcess([]string{"router", "agent", "keeper"}[s.rand.IntN(3)])
	if err := p.stop(); err != nil {
		s.t.Error(err)
	}
	s.restart(p)
}

func (s *soak) backendFault() {
	p := s.randomProcess("standin")
	faults := []string{`{"stuck":3}`, `{"truncate":2}`, `{"lose_answer":true}`, `{"refuse":true}`, `{"crossed":true}`, `{"slow":20}`}
	s.setFault(p, faults[s.rand.IntN(len(faults))])
	s.sleepBetween(300*time.Millisecond, 2*time.Second)
	s.setFault(p, `{}`)
}

func (s *soak) setFault(p *process, body string) {
	resp, err := http.Post("http://"+p.http+"/admin/faults", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	_ = resp.Body.Close()
}

func (s *soak) drainServer() {
	name := s.randomProcess("standin").name
	for _, state := range []string{"leaving", "active"} {
		var out bytes.Buffer
		s.sys.tool(&out, "settings", "get", "servers/"+name)
		object := strings.Replace(out.String(), `"slots"`, `"state":"`+state+`","slots"`, 1)
		if i := strings.Index(out.String(), `"state"`); i >= 0 {
			object = strings.NewReplacer(`"leaving"`, `"`+state+`"`, `"active"`, `"`+state+`"`).Replace(out.String())
		}
		out.Reset()
		s.sys.tool(&out, "settings", "set", "servers/"+name, strings.TrimSpace(object))
		s.sleepBetween(200*time.Millisecond, time.Second)
	}
}

func (s *soak) topup() {
	var out bytes.Buffer
	s.sys.tool(&out, "budget", "topup", "masar", "1000")
}

// recover ends all faults and waits until nothing is reserved any more.
func (s *soak) recover() {
	s.sys.net.healAll()
	for _, p := range s.sys.processes {
		p.signal(syscall.SIGCONT)
		if p.role == "standin" {
			s.setFault(p, `{}`)
		} else if !p.running() {
			s.restart(p)
		}
	}
	s.awaitVoters()
	err := eventually(60*time.Second, "everything is settled", func() bool {
		r, err := s.sys.ledger()
		return err == nil && r.GetBudgets()[0].GetReserved() == 0 && !anyReserved(r)
	})
	if err != nil {
		s.t.Error(err)
	}
}

func anyReserved(r *wire.LookupReply) bool {
	return slices.ContainsFunc(r.GetEntries(), func(e *wire.Entry) bool { return e.GetState() == wire.EntryState_ENTRY_STATE_RESERVED })
}

// report checks the invariants and prints statistics.
func (s *soak) report() {
	ledger, err := s.sys.ledger()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := checkInvariants(ledger); err != nil {
		s.t.Error(err)
	}
	runs := s.runsByKey()
	entries := make(map[string]*wire.Entry)
	billed := int64(0)
	for _, e := range ledger.GetEntries() {
		entries[e.GetKey()] = e
		billed += e.GetBilled()
	}
	if spent := ledger.GetBudgets()[0].GetSpent(); billed != spent {
		s.t.Errorf("entries bill %d tokens, but the budget has spent %d", billed, spent)
	}
	stats := map[string]int{}
	for key, tr := range s.requests {
		s.checkRequest(key, tr, runs[key], entries[key], stats)
	}
	if names := s.sys.crashes(); len(names) > 0 {
		s.t.Errorf("crashed or raced: %v", names)
	}
	s.t.Logf("faults: %v", s.faults)
	s.t.Logf("requests %d, statistics: %v", len(s.requests), stats)
	for _, o := range slices.Sorted(maps.Keys(s.outcomes)) {
		s.t.Logf("  %5d %s", s.outcomes[o], o)
	}
	if os.Getenv("SOAK_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("SOAK_LOGS"), os.DirFS(s.sys.dir))
	}
}

func (s *soak) runsByKey() map[string]int {
	runs := make(map[string]int)
	for _, kind := range []string{"assistant", "booking"} {
		all, err := s.sys.runsOf(kind)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, r := range all {
			parts := strings.Split(r.ID, "/")
			runs[parts[1]]++
		}
	}
	return runs
}

// checkRequest compares what one caller was told with what really ran and was billed.
func (s *soak) checkRequest(key string, tr *trackedRequest, runs int, e *wire.Entry, stats map[string]int) {
	last := tr.responses[len(tr.responses)-1]
	switch {
	case last.complete:
		stats["whole"]++
	case last.verdict == string(sumachead.NotRun):
		stats["not run"]++
	default:
		stats["unclear"]++
	}
	if runs > 1 {
		stats["ran more than once"]++
	}
	if tr.q.nonIdempotent && runs > 1 {
		s.t.Errorf("%s is not idempotent but ran %d times: %v", key, runs, tr.responses)
	}
	if last.verdict == string(sumachead.NotRun) && runs > 0 {
		s.t.Errorf("%s was refused as not run but ran %d times: %v", key, runs, tr.responses)
	}
	if last.complete && (e.GetState() != wire.EntryState_ENTRY_STATE_SETTLED || e.GetBilled() == 0) {
		s.t.Errorf("%s got a complete response but is not billed: %v", key, e)
	}
	if last.complete && !tr.q.hold && strings.Count(last.body, "clerks/"+key+"/") == 0 {
		s.t.Errorf("%s got the response to another request: %s", key, truncate(last.body))
	}
	for _, a := range tr.responses {
		if a.reason == string(sumachead.ReasonBudgetExhausted) {
			stats["false refusals"]++
		}
	}
}

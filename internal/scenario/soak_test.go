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

// soak is a random mix of faults under load.
type soak struct {
	t    *testing.T
	sys  *system
	rand *rand.Rand

	mu       sync.Mutex // guards the fields below
	requests map[string]*tracked
	faults   map[string]int
	outcomes map[string]int
}

// tracked is one request with all that its caller was told.
type tracked struct {
	q       request
	answers []answer
}

// TestSoak runs only when SOAK says for how long, as in SOAK=60s; SEED repeats
// a run.
func TestSoak(t *testing.T) {
	lasts, err := time.ParseDuration(os.Getenv("SOAK"))
	if err != nil {
		t.Skip("set SOAK to a time")
	}
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("SEED=%d", seed)
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), requests: make(map[string]*tracked),
		faults: make(map[string]int), outcomes: make(map[string]int),
	}
	s.setUp()
	defer s.sys.close()
	s.run(time.Now().Add(lasts))
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
		presume: 2 * time.Second, engineArgs: []string{"--token", "3ms"},
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

// run sends requests and makes faults until the time is up.
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

// request sends one request, again and again until it is answered whole or
// refused for good.
func (s *soak) request(r *rand.Rand, name string) {
	q := request{key: name, bearer: workspaceKey, tokens: 5 + r.IntN(60), timeout: 15 * time.Second, deadline: 10 * time.Second}
	switch r.IntN(4) {
	case 0:
		q.stream = true
	case 1, 2:
		q.hold, q.notRepeatable, q.priority = true, true, "urgent"
	}
	if q.hold && r.IntN(2) == 0 {
		q.key = hallName(r.IntN(3)) + "~" + name
	}
	tr := &tracked{q: q}
	s.mu.Lock()
	s.requests[q.key] = tr
	s.mu.Unlock()
	for range 3 {
		q.router = fmt.Sprintf("router-%d", r.IntN(3)+1)
		a := s.sys.call(q)
		s.mu.Lock()
		tr.answers = append(tr.answers, a)
		s.outcomes[a.verdict+" "+a.reason]++
		s.mu.Unlock()
		if a.whole || a.verdict == "ran" {
			return
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}

func (s *soak) pick(role string) *process {
	var names []string
	for _, n := range s.sys.order {
		if s.sys.processes[n].role == role {
			names = append(names, n)
		}
	}
	return s.sys.processes[names[s.rand.IntN(len(names))]]
}

func (s *soak) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(s.rand.Int64N(int64(most-least))))
}

// fault makes one fault, or two at once, and ends it.
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
		{"hall cut off", s.cutHall},
		{"router cut off", s.cutRouter},
		{"planned stop", s.planned},
		{"backend at fault", s.backend},
		{"server leaving", s.leave},
		{"top-up", s.topup},
	}
	k := kinds[s.rand.IntN(len(kinds))]
	s.faults[k.name]++
	k.f()
	s.pause(100*time.Millisecond, 800*time.Millisecond)
}

func (s *soak) restart(p *process) {
	if err := s.sys.start(p); err != nil {
		s.t.Error(err)
	}
}

func (s *soak) crash(role string) {
	p := s.pick(role)
	p.kill()
	var also *process
	if s.rand.IntN(3) == 0 {
		if also = s.pick("router"); also != p {
			also.kill()
			s.faults["second at once"]++
		}
	}
	s.pause(100*time.Millisecond, 2*time.Second)
	s.restart(p)
	if also != nil && also != p {
		s.restart(also)
	}
}

// loseDisk wipes a keeper's disk and waits until it votes again in both groups: to
// lose a second disk before that is more than three keepers can bear. That is read off
// the leaders' lines: while a group has no leader, its state shows nobody that is
// catching up, nor does it show which life of a keeper votes.
func (s *soak) loseDisk() {
	p := s.pick("keeper")
	p.kill()
	if err := os.RemoveAll(p.data); err != nil {
		s.t.Error(err)
	}
	before := s.votesOf(p)
	s.restart(p)
	err := eventually(30*time.Second, p.name+" votes again in both groups", func() bool {
		for group, n := range s.votesOf(p) {
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

// votesOf counts how often each group's leaders have made a keeper a voter.
func (s *soak) votesOf(p *process) map[string]int {
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
			votes[group] += strings.Count(string(data), "Keeper has caught up and votes.: group="+group+" keeper="+p.name+"\n")
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
	p := s.pick(role)
	p.signal(syscall.SIGSTOP)
	s.pause(200*time.Millisecond, 7*time.Second)
	p.signal(syscall.SIGCONT)
}

func (s *soak) cutHall() {
	h := s.rand.IntN(3)
	for i := range 3 {
		if i != h {
			s.sys.net.set(hallName(h), hallName(i), true)
		}
	}
	s.pause(time.Second, 9*time.Second)
	s.sys.net.healAll()
}

func (s *soak) cutRouter() {
	p := s.pick("router")
	for _, k := range s.sys.keepers {
		s.sys.net.set(p.name, k.ID, true)
	}
	s.pause(time.Second, 8*time.Second)
	s.sys.net.healAll()
}

func (s *soak) planned() {
	p := s.pick([]string{"router", "agent", "keeper"}[s.rand.IntN(3)])
	if err := p.stop(); err != nil {
		s.t.Error(err)
	}
	s.restart(p)
}

func (s *soak) backend() {
	p := s.pick("standin")
	faults := []string{`{"stuck":3}`, `{"truncate":2}`, `{"lose_answer":true}`, `{"refuse":true}`, `{"crossed":true}`, `{"slow":20}`}
	s.setFault(p, faults[s.rand.IntN(len(faults))])
	s.pause(300*time.Millisecond, 2*time.Second)
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

func (s *soak) leave() {
	name := s.pick("standin").name
	for _, state := range []string{"leaving", "active"} {
		var out bytes.Buffer
		s.sys.tool(&out, "settings", "get", "servers/"+name)
		object := strings.Replace(out.String(), `"slots"`, `"state":"`+state+`","slots"`, 1)
		if i := strings.Index(out.String(), `"state"`); i >= 0 {
			object = strings.NewReplacer(`"leaving"`, `"`+state+`"`, `"active"`, `"`+state+`"`).Replace(out.String())
		}
		out.Reset()
		s.sys.tool(&out, "settings", "set", "servers/"+name, strings.TrimSpace(object))
		s.pause(200*time.Millisecond, time.Second)
	}
}

func (s *soak) topup() {
	var out bytes.Buffer
	s.sys.tool(&out, "budget", "topup", "masar", "1000")
}

// recover ends all faults and waits until everything is settled.
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
	err := eventually(60*time.Second, "all is settled", func() bool {
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

// report checks the invariants and prints the figures.
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
		s.t.Errorf("the entries bill %d, the budget spent %d", billed, spent)
	}
	figures := map[string]int{}
	for key, tr := range s.requests {
		s.checkRequest(key, tr, runs[key], entries[key], figures)
	}
	if names := s.sys.crashes(); len(names) > 0 {
		s.t.Errorf("crashed or raced: %v", names)
	}
	s.t.Logf("faults: %v", s.faults)
	s.t.Logf("requests %d, figures: %v", len(s.requests), figures)
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
		all, err := s.sys.record(kind)
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

// checkRequest checks what one caller was told against what really happened.
func (s *soak) checkRequest(key string, tr *tracked, runs int, e *wire.Entry, figures map[string]int) {
	last := tr.answers[len(tr.answers)-1]
	switch {
	case last.whole:
		figures["whole"]++
	case last.verdict == string(sumachead.NotRun):
		figures["not run"]++
	default:
		figures["unclear"]++
	}
	if runs > 1 {
		figures["ran more than once"]++
	}
	if tr.q.notRepeatable && runs > 1 {
		s.t.Errorf("%s may not be repeated and ran %d times: %v", key, runs, tr.answers)
	}
	if last.verdict == string(sumachead.NotRun) && runs > 0 {
		s.t.Errorf("%s was refused as not run and ran %d times: %v", key, runs, tr.answers)
	}
	if last.whole && (e.GetState() != wire.EntryState_ENTRY_STATE_SETTLED || e.GetBilled() == 0) {
		s.t.Errorf("%s was answered whole and is not billed: %v", key, e)
	}
	if last.whole && !tr.q.hold && strings.Count(last.body, "clerks/"+key+"/") == 0 {
		s.t.Errorf("%s got another's answer: %s", key, brief(last.body))
	}
	for _, a := range tr.answers {
		if a.reason == string(sumachead.ReasonBudgetExhausted) {
			figures["false refusals"]++
		}
	}
}

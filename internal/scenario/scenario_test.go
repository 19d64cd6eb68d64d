package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sumachead/internal/daemon/daemoncmd"
	"sumachead/internal/settings"
	"sumachead/internal/standin/standincmd"
	"sumachead/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sumacheadd":        daemoncmd.Main,
		"sumachead-standin": standincmd.Main,
		"sumachead-node":    platform.Main,
	})
}

// atOnce bounds how many systems run at a time, whatever the machine has.
var atOnce = make(chan struct{}, 3)

type systemKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values[systemKey{}] = &script{env: e}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system": cmdSystem, "start": cmdStart, "shutdown": cmdShutdown, "crash": cmdCrash,
			"freeze": cmdFreeze, "thaw": cmdThaw, "wipe-disk": cmdWipe, "cut": cmdCut, "heal": cmdHeal,
			"tool": cmdTool, "call": cmdCall, "calls": cmdCalls, "await": cmdAwait, "sleep": cmdSleep,
			"fault": cmdFault, "budget": cmdBudget, "runs": cmdRuns, "refusals": cmdRefusals, "same": cmdSame,
			"edit": cmdEdit, "race": cmdRace, "changes": cmdChanges, "until": cmdUntil, "own": cmdOwn, "follower": cmdFollower, "order": cmdOrder,
		},
	})
}

// script is the state of one running script.
type script struct {
	env     *testscript.Env
	sys     *system
	mu      sync.Mutex // guards the fields below
	answers map[string]answer
	pending sync.WaitGroup
}

func of(ts *testscript.TestScript) *script {
	return ts.Value(systemKey{}).(*script)
}

// options reads words of the form name=value; the rest is returned.
func options(ts *testscript.TestScript, args []string, set map[string]func(string) error) (rest []string) {
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		f := set[name]
		if !ok || f == nil {
			rest = append(rest, a)
			continue
		}
		if err := f(value); err != nil {
			ts.Fatalf("%s: %v", a, err)
		}
	}
	return rest
}

func toInt[T int | int64](p *T) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		*p = T(n)
		return err
	}
}

func toString(p *string) func(string) error {
	return func(v string) error { *p = v; return nil }
}

func toBool(p *bool) func(string) error {
	return func(v string) (err error) { *p, err = strconv.ParseBool(v); return err }
}

func toDuration(p *time.Duration) func(string) error {
	return func(v string) (err error) { *p, err = time.ParseDuration(v); return err }
}

// system [keepers=3] [routers=2] [engines=2] [bookings=1] [slots=8]
// [budget=N] [cost=N] [cut_off=refuse|serve] [token=2ms] [presume=60s] starts a system.
func cmdSystem(ts *testscript.TestScript, _ bool, args []string) {
	sh := shape{keepers: 3, routers: 2, engines: 2, bookings: 1, slots: 8, budget: 1000000, callCost: 10}
	var cutOff string
	options(ts, args, map[string]func(string) error{
		"keepers": toInt(&sh.keepers), "routers": toInt(&sh.routers), "engines": toInt(&sh.engines),
		"bookings": toInt(&sh.bookings), "slots": toInt(&sh.slots), "budget": toInt(&sh.budget),
		"cost": toInt(&sh.callCost), "cut_off": toString(&cutOff), "presume": toDuration(&sh.presume),
		"checks_epochs": func(string) error { sh.engineArgs = append(sh.engineArgs, "--checks-epochs"); return nil },
		"token":         func(v string) error { sh.engineArgs = append(sh.engineArgs, "--token", v); return nil },
	})
	sh.cutOff = settings.CutOffPolicy(cutOff)
	atOnce <- struct{}{}
	ts.Defer(func() { <-atOnce })
	s := of(ts)
	s.answers = make(map[string]answer)
	s.sys = newSystem(ts.MkAbs("."), lookPath(ts, "sumacheadd"), lookPath(ts, "sumachead-standin"), sh)
	ts.Check(s.sys.build())
	ts.Defer(func() {
		s.sys.close()
		if names := s.sys.crashes(); len(names) > 0 {
			s.dumpLogs(ts)
			ts.Fatalf("crashed or raced: %v", names)
		}
	})
	if err := s.sys.startAll(); err != nil {
		s.dumpLogs(ts)
		ts.Fatalf("%v", err)
	}
}

func lookPath(ts *testscript.TestScript, name string) string {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if p, err := exec.LookPath(dir + "/" + name); err == nil {
			return p
		}
	}
	ts.Fatalf("%s is not on the path", name)
	return ""
}

// dumpLogs shows the ends of all logs.
func (s *script) dumpLogs(ts *testscript.TestScript) {
	const tail = 1500
	for _, name := range s.sys.order {
		data, _ := os.ReadFile(s.sys.path(name + ".log"))
		refused := refusalsIn(data)
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		ts.Logf("--- %s\n%s\n%s", name, data, refused)
	}
}

// refusalsIn returns the last lines of a log about requests without a whole answer.
func refusalsIn(log []byte) string {
	const most = 10
	var lines []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "A request has no whole answer.") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(len(lines)-most, 0):], "")
}

func (s *script) each(ts *testscript.TestScript, names []string, f func(*process) error) {
	if len(names) == 0 {
		ts.Fatalf("name a process")
	}
	for _, n := range names {
		p, err := s.sys.resolve(n)
		ts.Check(err)
		ts.Check(f(p))
	}
}

// start NAME... starts processes that do not run.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, of(ts).sys.start)
}

// shutdown NAME... stops processes as planned.
func cmdShutdown(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, (*process).stop)
}

// crash NAME... kills processes; the last one's name is in $CRASHED, that of the
// one before in $BEFORE. "leader" is the keeper that leads the ledger.
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, func(p *process) error {
		p.kill()
		ts.Setenv("BEFORE", ts.Getenv("CRASHED"))
		ts.Setenv("CRASHED", p.name)
		return nil
	})
}

// freeze NAME... stops processes from running without ending them.
func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, func(p *process) error {
		p.signal(syscall.SIGSTOP)
		p.frozen = true
		ts.Setenv("FROZEN", p.name)
		return nil
	})
}

// thaw NAME... lets frozen processes go on.
func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, func(p *process) error {
		p.signal(syscall.SIGCONT)
		p.frozen = false
		return nil
	})
}

// wipe-disk NAME... removes the data folders of processes that do not run.
func cmdWipe(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, func(p *process) error {
		if p.running() {
			return fmt.Errorf("%s runs", p.name)
		}
		return os.RemoveAll(p.data)
	})
}

// cut A B... cuts A off from each B. A place is a hall, a process or operator.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	setNetwork(ts, args, true)
}

// heal [A B...] ends cuts; all of them when nothing is named.
func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		of(ts).sys.net.healAll()
		return
	}
	setNetwork(ts, args, false)
}

func setNetwork(ts *testscript.TestScript, args []string, blocked bool) {
	if len(args) < 2 {
		ts.Fatalf("name two places")
	}
	for _, b := range args[1:] {
		of(ts).sys.net.set(args[0], b, blocked)
	}
}

func parseCall(ts *testscript.TestScript, args []string) (q request, name, want string) {
	q = request{router: "router-1", tokens: 8, bearer: workspaceKey, timeout: 30 * time.Second}
	rest := options(ts, args, map[string]func(string) error{
		"router": toString(&q.router), "key": toString(&q.key), "hold": toBool(&q.hold), "stream": toBool(&q.stream),
		"tokens": toInt(&q.tokens), "not_repeatable": toBool(&q.notRepeatable), "priority": toString(&q.priority),
		"bearer": toString(&q.bearer), "body": toString(&q.body), "timeout": toDuration(&q.timeout),
		"deadline": toDuration(&q.deadline), "as": toString(&name), "want": toString(&want),
	})
	if len(rest) > 0 {
		ts.Fatalf("unknown words: %v", rest)
	}
	if name == "" {
		name = q.key
	}
	return q, name, want
}

// call [router=R] [key=K] [hold=true] ... [as=NAME] [want=WORDS] [&] sends one
// request. want lists words that must stand in the outcome, joined by commas.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	background := len(args) > 0 && args[len(args)-1] == "&"
	if background {
		args = args[:len(args)-1]
	}
	q, name, want := parseCall(ts, args)
	run := func() answer {
		a := s.sys.call(q)
		s.mu.Lock()
		s.answers[name] = a
		s.mu.Unlock()
		return a
	}
	if background {
		s.pending.Go(func() { run() })
		return
	}
	a := run()
	_, _ = fmt.Fprintf(ts.Stdout(), "%s took=%dms\n%s\n", a, a.took.Milliseconds(), brief(a.body))
	s.check(ts, name, a, want)
}

func (s *script) check(ts *testscript.TestScript, name string, a answer, want string) {
	for _, w := range strings.Split(want, ",") {
		if !strings.Contains(a.String()+" ", w+" ") && w != "" {
			s.dumpLogs(ts)
			ts.Fatalf("call %s: want %s, got %s\n%s", name, w, a, brief(a.body))
		}
	}
}

// brief cuts a long body.
func brief(s string) string {
	const most = 400
	return s[:min(len(s), most)]
}

// await [NAME WANT]... waits for the calls in the background, and checks some.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	s.pending.Wait()
	for i := 0; i+1 < len(args); i += 2 {
		s.check(ts, args[i], s.answers[args[i]], args[i+1])
	}
}

// calls N at=C [call options] [min=N] sends N requests, C at a time, with keys
// of their own, and prints the outcomes; at least min must be whole.
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n, at, least := 0, 16, 0
	ts.Check(toInt(&n)(args[0]))
	rest := options(ts, args[1:], map[string]func(string) error{"at": toInt(&at), "min": toInt(&least)})
	q, prefix, _ := parseCall(ts, rest)
	outcomes := make(map[string]int)
	whole := 0
	slots := make(chan struct{}, at)
	var all sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			one := q
			one.key = fmt.Sprintf("%s-%d", prefix, i)
			if q.router == "any" {
				one.router = fmt.Sprintf("router-%d", i%s.sys.shape.routers+1)
			}
			a := s.sys.call(one)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answers[one.key] = a
			outcomes[a.String()]++
			if a.whole {
				whole++
			}
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "whole %d\n", whole)
	for o, n := range outcomes {
		_, _ = fmt.Fprintf(ts.Stdout(), "%d times %s\n", n, o)
	}
	if whole < least {
		s.dumpLogs(ts)
		ts.Fatalf("only %d of %d calls got a whole answer: %v", whole, n, outcomes)
	}
}

// sleep DURATION waits.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	var d time.Duration
	ts.Check(toDuration(&d)(args[0]))
	time.Sleep(d)
}

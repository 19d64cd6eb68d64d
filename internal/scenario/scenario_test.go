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

// systemSlots limits how many systems run concurrently, independent of the machine.
var systemSlots = make(chan struct{}, 3)

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
	env       *testscript.Env
	sys       *system
	mu        sync.Mutex // guards the fields below
	responses map[string]response
	pending   sync.WaitGroup
}

func scriptOf(ts *testscript.TestScript) *script {
	return ts.Value(systemKey{}).(*script)
}

// parseOptions parses words of the form name=value and returns the others.
func parseOptions(ts *testscript.TestScript, args []string, set map[string]func(string) error) (rest []string) {
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

// system [keepers=3] [routers=2] [engines=2] [bookings=1] [slots=8] [budget=N] [cost=N]
// [cut_off=refuse|serve] [token=2ms] [presume=60s] [checks_epochs=true] starts a system.
func cmdSystem(ts *testscript.TestScript, _ bool, args []string) {
	sh := shape{keepers: 3, routers: 2, engines: 2, bookings: 1, slots: 8, budget: 1000000, callCost: 10}
	var cutOff string
	parseOptions(ts, args, map[string]func(string) error{
		"keepers": toInt(&sh.keepers), "routers": toInt(&sh.routers), "engines": toInt(&sh.engines),
		"bookings": toInt(&sh.bookings), "slots": toInt(&sh.slots), "budget": toInt(&sh.budget),
		"cost": toInt(&sh.callCost), "cut_off": toString(&cutOff), "presume": toDuration(&sh.presumeAfter),
		"checks_epochs": func(string) error { sh.engineArgs = append(sh.engineArgs, "--checks-epochs"); return nil },
		"token":         func(v string) error { sh.engineArgs = append(sh.engineArgs, "--token", v); return nil },
	})
	sh.cutOff = settings.CutOffPolicy(cutOff)
	systemSlots <- struct{}{}
	ts.Defer(func() { <-systemSlots })
	s := scriptOf(ts)
	s.responses = make(map[string]response)
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
	ts.Fatalf("%s is not in PATH", name)
	return ""
}

// dumpLogs prints the tails of all logs.
func (s *script) dumpLogs(ts *testscript.TestScript) {
	const maxBytes = 1500
	for _, name := range s.sys.order {
		data, _ := os.ReadFile(s.sys.path(name + ".log"))
		refused := refusalsIn(data)
		if len(data) > maxBytes {
			data = data[len(data)-maxBytes:]
		}
		ts.Logf("--- %s\n%s\n%s", name, data, refused)
	}
}

// refusalsIn returns the last log lines about requests without a complete response.
func refusalsIn(log []byte) string {
	const maxLines = 10
	var lines []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "Request ended without a complete response.") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(len(lines)-maxLines, 0):], "")
}

func (s *script) forEachProcess(ts *testscript.TestScript, names []string, f func(*process) error) {
	if len(names) == 0 {
		ts.Fatalf("missing process name")
	}
	for _, n := range names {
		p, err := s.sys.resolve(n)
		ts.Check(err)
		ts.Check(f(p))
	}
}

// start NAME... starts processes that are not running.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, scriptOf(ts).sys.start)
}

// shutdown NAME... stops processes gracefully.
func cmdShutdown(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, (*process).stop)
}

// crash NAME... kills processes. $CRASHED is the name of the last one and $BEFORE that of the one
// before. "leader" is the keeper that leads the ledger group.
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, func(p *process) error {
		p.kill()
		ts.Setenv("BEFORE", ts.Getenv("CRASHED"))
		ts.Setenv("CRASHED", p.name)
		return nil
	})
}

// freeze NAME... suspends processes.
func cmdFreeze(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, func(p *process) error {
		p.signal(syscall.SIGSTOP)
		p.frozen = true
		ts.Setenv("FROZEN", p.name)
		return nil
	})
}

// thaw NAME... resumes suspended processes.
func cmdThaw(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, func(p *process) error {
		p.signal(syscall.SIGCONT)
		p.frozen = false
		return nil
	})
}

// wipe-disk NAME... removes the data directories of stopped processes.
func cmdWipe(ts *testscript.TestScript, _ bool, args []string) {
	scriptOf(ts).forEachProcess(ts, args, func(p *process) error {
		if p.running() {
			return fmt.Errorf("%s is running", p.name)
		}
		return os.RemoveAll(p.data)
	})
}

// cut A B... partitions A from each B. Each is a data hall, a process or "operator".
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	setNetwork(ts, args, true)
}

// heal [A B...] ends the partitions between A and each B, or all of them without arguments.
func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		scriptOf(ts).sys.net.healAll()
		return
	}
	setNetwork(ts, args, false)
}

func setNetwork(ts *testscript.TestScript, args []string, blocked bool) {
	if len(args) < 2 {
		ts.Fatalf("missing names of what to partition or heal")
	}
	for _, b := range args[1:] {
		scriptOf(ts).sys.net.setBlocked(args[0], b, blocked)
	}
}

func parseCall(ts *testscript.TestScript, args []string) (q request, name, want string) {
	q = request{router: "router-1", tokens: 8, bearer: workspaceKey, timeout: 30 * time.Second}
	rest := parseOptions(ts, args, map[string]func(string) error{
		"router": toString(&q.router), "key": toString(&q.key), "hold": toBool(&q.hold), "stream": toBool(&q.stream),
		"tokens": toInt(&q.tokens), "not_repeatable": toBool(&q.nonIdempotent), "priority": toString(&q.priority),
		"bearer": toString(&q.bearer), "body": toString(&q.body), "timeout": toDuration(&q.timeout),
		"deadline": toDuration(&q.deadline), "as": toString(&name), "want": toString(&want),
	})
	if len(rest) > 0 {
		ts.Fatalf("unknown options: %v", rest)
	}
	if name == "" {
		name = q.key
	}
	return q, name, want
}

// call [router=R] [key=K] [hold=true] ... [as=NAME] [want=WORDS] [&] sends one request, with & in
// the background. WORDS is a comma-separated list of words that the outcome must contain.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	background := len(args) > 0 && args[len(args)-1] == "&"
	if background {
		args = args[:len(args)-1]
	}
	q, name, want := parseCall(ts, args)
	run := func() response {
		a := s.sys.call(q)
		s.mu.Lock()
		s.responses[name] = a
		s.mu.Unlock()
		return a
	}
	if background {
		s.pending.Go(func() { run() })
		return
	}
	a := run()
	_, _ = fmt.Fprintf(ts.Stdout(), "%s took=%dms\n%s\n", a, a.duration.Milliseconds(), truncate(a.body))
	s.checkOutcome(ts, name, a, want)
}

func (s *script) checkOutcome(ts *testscript.TestScript, name string, a response, want string) {
	for _, w := range strings.Split(want, ",") {
		if !strings.Contains(a.String()+" ", w+" ") && w != "" {
			s.dumpLogs(ts)
			ts.Fatalf("call %s: want %s, got %s\n%s", name, w, a, truncate(a.body))
		}
	}
}

// truncate shortens a long body.
func truncate(s string) string {
	const maxBytes = 400
	return s[:min(len(s), maxBytes)]
}

// await [NAME WANT]... waits for the background calls and checks the outcomes of the named ones.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	s.pending.Wait()
	for i := 0; i+1 < len(args); i += 2 {
		s.checkOutcome(ts, args[i], s.responses[args[i]], args[i+1])
	}
}

// calls N at=C [call options] [min=N] sends N requests with different keys, C at a time, and
// prints the outcomes. At least min must have a complete response.
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	n, concurrency, minComplete := 0, 16, 0
	ts.Check(toInt(&n)(args[0]))
	rest := parseOptions(ts, args[1:], map[string]func(string) error{"at": toInt(&concurrency), "min": toInt(&minComplete)})
	q, prefix, _ := parseCall(ts, rest)
	outcomes := make(map[string]int)
	complete := 0
	slots := make(chan struct{}, concurrency)
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
			s.responses[one.key] = a
			outcomes[a.String()]++
			if a.complete {
				complete++
			}
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "whole %d\n", complete)
	for o, n := range outcomes {
		_, _ = fmt.Fprintf(ts.Stdout(), "%d times %s\n", n, o)
	}
	if complete < minComplete {
		s.dumpLogs(ts)
		ts.Fatalf("only %d of %d calls got a complete response: %v", complete, n, outcomes)
	}
}

// sleep DURATION waits.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	var d time.Duration
	ts.Check(toDuration(&d)(args[0]))
	time.Sleep(d)
}

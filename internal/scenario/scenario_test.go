package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
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
	"sumachead/internal/tool"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sumacheadd":        daemoncmd.Main,
		"sumachead-standin": standincmd.Main,
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
			"fault": cmdFault, "budget": cmdBudget, "runs": cmdRuns, "same": cmdSame,
			"edit": cmdEdit, "race": cmdRace, "changes": cmdChanges, "until": cmdUntil, "own": cmdOwn,
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
		"token": func(v string) error { sh.engineArgs = append(sh.engineArgs, "--token", v); return nil },
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
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		ts.Logf("--- %s\n%s", name, data)
	}
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

// crash NAME... kills processes. "leader" is the keeper that leads the ledger.
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) {
	of(ts).each(ts, args, func(p *process) error {
		p.kill()
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

// tool ARGS... runs the operators' tool; its output goes to stdout.
func cmdTool(ts *testscript.TestScript, neg bool, args []string) {
	var out bytes.Buffer
	code := of(ts).sys.tool(&out, args...)
	_, _ = ts.Stdout().Write(out.Bytes())
	ts.Setenv("EXIT", strconv.Itoa(code))
	if (code != 0) != neg {
		ts.Fatalf("exit code %d: %s", code, out.String())
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

// edit PATH FIELD VALUE [TOOL OPTIONS...] sets one field of an object of the
// tree; the exit code is in $EXIT.
func cmdEdit(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	var out bytes.Buffer
	if code := s.sys.tool(&out, "settings", "get", args[0]); code != 0 {
		ts.Fatalf("%s", out.String())
	}
	var object map[string]any
	ts.Check(json.Unmarshal(out.Bytes(), &object))
	var value any
	ts.Check(json.Unmarshal([]byte(args[2]), &value))
	object[args[1]] = value
	data, err := json.Marshal(object)
	ts.Check(err)
	cmdTool(ts, neg, append([]string{"settings", "set", args[0], string(data)}, args[3:]...))
}

// race N BASE lets N operators make different changes against one revision:
// one must win and the others be shown the winner.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	codes := make([]int, n)
	outs := make([]bytes.Buffer, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			codes[i] = s.sys.tool(&outs[i], "settings", "set", "--base", args[1], "budgets/masar", fmt.Sprintf(`{"note":"operator %d"}`, i))
		})
	}
	all.Wait()
	won := 0
	for i, code := range codes {
		switch {
		case code == 0:
			won++
		case code != tool.ExitConflict || !strings.Contains(outs[i].String(), "is change"):
			ts.Fatalf("operator %d: exit %d: %s", i, code, outs[i].String())
		}
	}
	if won != 1 {
		ts.Fatalf("%d operators won: %v", won, codes)
	}
}

// changes N makes N changes of the tree, one after another.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range n {
		var out bytes.Buffer
		if code := of(ts).sys.tool(&out, "settings", "set", "budgets/masar", fmt.Sprintf(`{"note":"change %d"}`, i)); code != 0 {
			ts.Fatalf("change %d: exit %d: %s", i, code, out.String())
		}
	}
}

// until DURATION PATTERN TOOL ARGS... runs the tool until its output matches.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	var within time.Duration
	ts.Check(toDuration(&within)(args[0]))
	pattern := regexp.MustCompile(args[1])
	var out bytes.Buffer
	err := eventually(within, args[1], func() bool {
		out.Reset()
		of(ts).sys.tool(&out, args[2:]...)
		return pattern.Match(out.Bytes())
	})
	if err != nil {
		ts.Fatalf("%v: %s", err, out.String())
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

// fault SERVER JSON switches a stand-in's faults.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	p, err := of(ts).sys.resolve(args[0])
	ts.Check(err)
	resp, err := http.Post("http://"+p.http+"/admin/faults", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	_ = resp.Body.Close()
}

// same A B checks that two calls got the same whole answer.
func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	a, b := s.answers[args[0]], s.answers[args[1]]
	if !a.whole || !b.whole || a.body != b.body {
		ts.Fatalf("%s: %s\n%s\n%s: %s\n%s", args[0], a, brief(a.body), args[1], b, brief(b.body))
	}
}

// own checks that every whole answer of a model is of its own request alone.
func cmdOwn(ts *testscript.TestScript, _ bool, _ []string) {
	word := regexp.MustCompile(`clerks/([^/ ]+)/\d+#`)
	for key, a := range of(ts).answers {
		if !a.whole {
			continue
		}
		for _, m := range word.FindAllStringSubmatch(a.body, -1) {
			if m[1] != key {
				ts.Fatalf("the answer of %s holds words of %s", key, m[1])
			}
		}
	}
}

// runs PREFIX KEY N checks how often the stand-ins named PREFIX... began a
// request of the workspace; KEY may be "all".
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	all, err := of(ts).sys.record(args[0])
	ts.Check(err)
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	got := 0
	for _, r := range all {
		if args[1] == "all" || strings.HasPrefix(r.ID, "clerks/"+args[1]+"/") {
			got++
		}
	}
	if got != want {
		ts.Fatalf("%s ran %d times, want %d", args[1], got, want)
	}
}

// budget [settled] checks the budget: no violation, nothing beyond the total.
// With "settled" it waits until nothing is reserved, and compares the bill
// with what the stand-ins really made, but for the slack=N tokens given.
func cmdBudget(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	slack, bill := int64(0), int64(-1)
	rest := options(ts, args, map[string]func(string) error{"slack": toInt(&slack), "spent": toInt(&bill)})
	settled := len(rest) > 0 && rest[0] == "settled"
	if err := s.sys.checkBudget(settled, slack, bill); err != nil {
		s.dumpLogs(ts)
		ts.Fatalf("%v", err)
	}
}

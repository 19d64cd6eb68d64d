package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sumachead/internal/standin"
)

type fleetKey struct{}

func TestFleetScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/fleet",
		Setup: func(e *testscript.Env) error {
			e.Values[systemKey{}] = &script{env: e}
			e.Values[fleetKey{}] = new(*fleet)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": cmdFleet, "start": cmdStart, "shutdown": cmdShutdown, "crash": cmdFleetCrash, "freeze": cmdFreeze, "thaw": cmdThaw,
			"wipe-disk": cmdWipe, "cut": cmdCut, "heal": cmdHeal, "sleep": cmdSleep, "declare": cmdDeclare, "document": cmdDocument,
			"ask": cmdAsk, "server": cmdServer, "promises": cmdPromises, "logged": cmdLogged, "vacate": cmdVacate,
		},
	})
}

func fleetOf(ts *testscript.TestScript) *fleet { return *ts.Value(fleetKey{}).(**fleet) }

// fleet [keepers=3] [routers=2] [relays=2] [engines=2] [desks=2] [prepaid=N] starts a fleet with
// declaration 1.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	sh := fleetShape{keepers: 3, routers: 2, relays: 2, engines: 2, desks: 2, prepaid: 10_000_000}
	parseOptions(ts, args, map[string]func(string) error{
		"keepers": toInt(&sh.keepers), "routers": toInt(&sh.routers), "relays": toInt(&sh.relays),
		"engines": toInt(&sh.engines), "desks": toInt(&sh.desks), "prepaid": toInt(&sh.prepaid),
	})
	systemSlots <- struct{}{}
	ts.Defer(func() { <-systemSlots })
	f := newFleet(ts.MkAbs("."), lookPath(ts, "sumachead-node"), sh)
	*ts.Value(fleetKey{}).(**fleet) = f
	scriptOf(ts).sys = f.system
	ts.Defer(func() {
		f.close()
		if names := f.crashes(); len(names) > 0 {
			scriptOf(ts).dumpLogs(ts)
			ts.Fatalf("crashed or raced: %v", names)
		}
	})
	ts.Check(f.build())
	if err := f.startAll(); err != nil {
		scriptOf(ts).dumpLogs(ts)
		ts.Fatalf("%v", err)
	}
}

// crash NAME... kills processes: "leader" is the leading keeper, "keepers" and "all" are groups
// of processes.
func cmdFleetCrash(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var names []string
	for _, a := range args {
		switch a {
		case "leader":
			names = append(names, f.leadingKeeper())
		case "keepers", "all":
			for _, n := range f.order {
				if a == "all" || f.processes[n].role == "keeper" {
					names = append(names, n)
				}
			}
		default:
			names = append(names, a)
		}
	}
	var killed sync.WaitGroup
	for _, n := range names {
		p := f.processes[n]
		if p == nil {
			ts.Fatalf("no process %q", n)
		}
		killed.Go(p.kill)
	}
	killed.Wait()
	ts.Setenv("CRASHED", strings.Join(names, " "))
}

// declare NUMBER [prepaid=N] [routes=N] [drop=PREFIX] [bad=true] [at=KEEPER] [within=10s] sends a
// declaration. With at, it goes to that keeper only, which must answer with want=200.
func cmdDeclare(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	d := fleetDocument{prepaid: f.shape.prepaid}
	ts.Check(toInt(&d.number)(args[0]))
	at, want, timeout := "", http.StatusOK, 10*time.Second
	parseOptions(ts, args[1:], map[string]func(string) error{
		"prepaid": toInt(&d.prepaid), "routes": toInt(&d.routes), "drop": toString(&d.drop), "bad": toBool(&d.bad),
		"at": toString(&at), "want": toInt(&want), "within": toDuration(&timeout),
	})
	if at == "" {
		ts.Check(f.declare(d, timeout))
		return
	}
	var got int
	err := eventually(timeout, "a response", func() bool {
		got = f.put(fmt.Sprintf("%s:%d", f.advertisedIP(f.indexOf(at)), f.controlPort), d.encode())
		return got != 0 && got != http.StatusServiceUnavailable
	})
	ts.Check(err)
	if got != want {
		ts.Fatalf("declaration %d at %s: status %d, want %d", d.number, at, got, want)
	}
}

// document NUMBER [within=10s] waits until every running keeper returns the declaration of that
// number. Meanwhile none may return another one.
func cmdDocument(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var want int
	ts.Check(toInt(&want)(args[0]))
	timeout := 10 * time.Second
	parseOptions(ts, args[1:], map[string]func(string) error{"within": toDuration(&timeout)})
	ts.Check(eventually(timeout, fmt.Sprintf("all keepers answer with declaration %d", want), func() bool {
		for i, name := range f.order {
			p := f.processes[name]
			if p.role != "keeper" || !p.running() || p.frozen {
				continue
			}
			got := f.declarationAt(fmt.Sprintf("%s:%d", f.advertisedIP(i), f.controlPort))
			if got != 0 && got != want {
				ts.Fatalf("%s returned declaration %d, want %d", name, got, want)
			}
			if got == 0 {
				return false
			}
		}
		return true
	}))
}

// ask KIND [n=1] [at=4] [router=any] [events=5] [prompt=10] [key=k] [path=P] [leave=D]
// [want=STATUS] [whole=MIN] [within=D] sends n requests, at most at concurrently, and honors
// Retry-After. At least whole of them, by default all, must have a complete response or the
// wanted status.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	q := fleetRequest{kind: args[0], events: 5, prompt: 10}
	n, concurrency, want, minOK, maxTime := 1, 4, 0, -1, time.Duration(0)
	parseOptions(ts, args[1:], map[string]func(string) error{
		"n": toInt(&n), "at": toInt(&concurrency), "router": toString(&q.router), "events": toInt(&q.events), "prompt": toInt(&q.prompt),
		"key": toString(&q.key), "path": toString(&q.path), "leave": toDuration(&q.cancelAfter), "want": toInt(&want), "whole": toInt(&minOK),
		"within": toDuration(&maxTime),
	})
	outcomes := make(map[string]int)
	okCount, slowest := 0, time.Duration(0)
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, concurrency)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			one := q
			if one.router == "" {
				one.router = fmt.Sprintf("router-%d", i%f.shape.routers+1)
			}
			c := f.doWithRetry(one)
			mu.Lock()
			defer mu.Unlock()
			outcomes[c.String()]++
			if c.complete || (want != 0 && c.status == want) {
				okCount++
			}
			slowest = max(slowest, c.endedAt.Sub(c.sentAt))
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "%v slowest %v\n", outcomes, slowest)
	if minOK < 0 {
		minOK = n
	}
	if okCount < minOK {
		scriptOf(ts).dumpLogs(ts)
		ts.Fatalf("%d of %d requests succeeded, want at least %d: %v", okCount, n, minOK, outcomes)
	}
	if maxTime > 0 && slowest > maxTime {
		ts.Fatalf("the slowest request took %v", slowest)
	}
}

// server NAME drain|leave|cold|FAULTS-AS-JSON acts on a simulated backend server; "cold"
// restarts it cold.
func cmdServer(ts *testscript.TestScript, _ bool, args []string) {
	r := fleetOf(ts).replicas[args[0]]
	if r == nil {
		ts.Fatalf("no backend server %q", args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	switch args[1] {
	case "drain":
		if !r.Drain(ctx) {
			ts.Fatalf("no keeper acknowledged")
		}
	case "cold":
		r.RestartCold(coldDuration)
	case "leave":
		if !r.Leave(ctx) {
			ts.Fatalf("no keeper acknowledged")
		}
	default:
		var faults standin.ReplicaFaults
		ts.Check(json.Unmarshal([]byte(args[1]), &faults))
		r.SetFaults(faults)
	}
}

// promises [prepaid=N] checks the invariants of the fleet.
func cmdPromises(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	prepaid := f.shape.prepaid
	parseOptions(ts, args, map[string]func(string) error{"prepaid": toInt(&prepaid)})
	if violations := f.violations(prepaid); len(violations) > 0 {
		scriptOf(ts).dumpLogs(ts)
		ts.Fatalf("broken:\n%s", strings.Join(violations, "\n"))
	}
}

// logged NAME TEXT... checks that a process has logged a line that contains all texts.
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(eventually(3*time.Second, "a line with "+strings.Join(args[1:], ", "), func() bool {
		data, err := os.ReadFile(fleetOf(ts).path(args[0] + ".log"))
		if err != nil {
			return false
		}
		for line := range strings.Lines(string(data)) {
			found := true
			for _, text := range args[1:] {
				found = found && strings.Contains(line, text)
			}
			if found {
				return true
			}
		}
		return false
	}))
}

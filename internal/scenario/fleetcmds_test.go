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

// fleet [keepers=3] [routers=2] [relays=2] [engines=2] [desks=2] [prepaid=N]
// starts a fleet with declaration 1.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	sh := fleetShape{keepers: 3, routers: 2, relays: 2, engines: 2, desks: 2, prepaid: 10_000_000}
	options(ts, args, map[string]func(string) error{
		"keepers": toInt(&sh.keepers), "routers": toInt(&sh.routers), "relays": toInt(&sh.relays),
		"engines": toInt(&sh.engines), "desks": toInt(&sh.desks), "prepaid": toInt(&sh.prepaid),
	})
	atOnce <- struct{}{}
	ts.Defer(func() { <-atOnce })
	f := newFleet(ts.MkAbs("."), lookPath(ts, "sumachead-node"), sh)
	*ts.Value(fleetKey{}).(**fleet) = f
	of(ts).sys = f.system
	ts.Defer(func() {
		f.close()
		if names := f.crashes(); len(names) > 0 {
			of(ts).dumpLogs(ts)
			ts.Fatalf("crashed or raced: %v", names)
		}
	})
	ts.Check(f.build())
	if err := f.startAll(); err != nil {
		of(ts).dumpLogs(ts)
		ts.Fatalf("%v", err)
	}
}

// crash NAME... kills processes; "leader" is the keeper that leads, "keepers" and
// "all" are several at once.
func cmdFleetCrash(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var names []string
	for _, a := range args {
		switch a {
		case "leader":
			names = append(names, f.leaderOf())
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

// declare NUMBER [prepaid=N] [routes=N] [drop=KIND] [bad=true] [at=KEEPER]
// [within=10s] declares; with at, once, and the status must be want=200.
func cmdDeclare(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	d := fleetDocument{prepaid: f.shape.prepaid}
	ts.Check(toInt(&d.number)(args[0]))
	at, want, within := "", http.StatusOK, 10*time.Second
	options(ts, args[1:], map[string]func(string) error{
		"prepaid": toInt(&d.prepaid), "routes": toInt(&d.routes), "drop": toString(&d.drop), "bad": toBool(&d.bad),
		"at": toString(&at), "want": toInt(&want), "within": toDuration(&within),
	})
	if at == "" {
		ts.Check(f.declare(d, within))
		return
	}
	var got int
	err := eventually(within, "an answer", func() bool {
		got = f.put(fmt.Sprintf("%s:%d", f.advertised(f.indexOf(at)), f.ctl), d.encode())
		return got != 0 && got != http.StatusServiceUnavailable
	})
	ts.Check(err)
	if got != want {
		ts.Fatalf("declaration %d at %s: status %d, want %d", d.number, at, got, want)
	}
}

// document NUMBER [within=10s] waits until every running keeper answers with the
// declaration of that number. None may answer with another meanwhile.
func cmdDocument(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var want int
	ts.Check(toInt(&want)(args[0]))
	within := 10 * time.Second
	options(ts, args[1:], map[string]func(string) error{"within": toDuration(&within)})
	ts.Check(eventually(within, fmt.Sprintf("all keepers answer with declaration %d", want), func() bool {
		for i, name := range f.order {
			p := f.processes[name]
			if p.role != "keeper" || !p.running() || p.frozen {
				continue
			}
			got := f.document(fmt.Sprintf("%s:%d", f.advertised(i), f.ctl))
			if got != 0 && got != want {
				ts.Fatalf("%s answers with declaration %d, the newest is %d", name, got, want)
			}
			if got == 0 {
				return false
			}
		}
		return true
	}))
}

// ask KIND [n=1] [at=4] [router=any] [events=5] [prompt=10] [key=k] [path=P] [leave=D]
// [want=STATUS] [whole=LEAST] [within=D] sends requests, at a time as at says. Who is
// told when to come back does so, until its time is up.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	q := fleetRequest{kind: args[0], events: 5, prompt: 10}
	n, at, want, whole, within := 1, 4, 0, -1, time.Duration(0)
	options(ts, args[1:], map[string]func(string) error{
		"n": toInt(&n), "at": toInt(&at), "router": toString(&q.router), "events": toInt(&q.events), "prompt": toInt(&q.prompt),
		"key": toString(&q.key), "path": toString(&q.path), "leave": toDuration(&q.leave), "want": toInt(&want), "whole": toInt(&whole),
		"within": toDuration(&within),
	})
	outcomes := make(map[string]int)
	got, slow := 0, time.Duration(0)
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, at)
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			one := q
			if one.router == "" {
				one.router = fmt.Sprintf("router-%d", i%f.shape.routers+1)
			}
			c := f.comeBack(one)
			mu.Lock()
			defer mu.Unlock()
			outcomes[c.String()]++
			if c.whole || (want != 0 && c.status == want) {
				got++
			}
			slow = max(slow, c.ended.Sub(c.sent))
		})
	}
	all.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "%v slowest %v\n", outcomes, slow)
	if whole < 0 {
		whole = n
	}
	if got < whole {
		of(ts).dumpLogs(ts)
		ts.Fatalf("%d of %d as wanted, %d at least: %v", got, n, whole, outcomes)
	}
	if within > 0 && slow > within {
		ts.Fatalf("the slowest took %v", slow)
	}
}

// server NAME drain|leave|cold|FAULTS-AS-JSON acts on a backend server's stand-in; a cold
// one has started anew.
func cmdServer(ts *testscript.TestScript, _ bool, args []string) {
	r := fleetOf(ts).server[args[0]]
	if r == nil {
		ts.Fatalf("no backend server %q", args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	switch args[1] {
	case "drain":
		if !r.Drain(ctx) {
			ts.Fatalf("nobody acknowledged")
		}
	case "cold":
		r.StartAnew(coldTime)
	case "leave":
		if !r.Leave(ctx) {
			ts.Fatalf("nobody acknowledged")
		}
	default:
		var faults standin.ReplicaFaults
		ts.Check(json.Unmarshal([]byte(args[1]), &faults))
		r.Set(faults)
	}
}

// promises [prepaid=N] checks what must always hold.
func cmdPromises(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	prepaid := f.shape.prepaid
	options(ts, args, map[string]func(string) error{"prepaid": toInt(&prepaid)})
	if broken := f.promises(prepaid); len(broken) > 0 {
		of(ts).dumpLogs(ts)
		ts.Fatalf("broken:\n%s", strings.Join(broken, "\n"))
	}
}

// logged NAME TEXT... checks that a process has written a line with all texts.
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

package scenario

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/rpc"

	"github.com/rogpeppe/go-internal/testscript"
)

// fault SERVER JSON sets the injected faults of a simulated server.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	p, err := scriptOf(ts).sys.resolve(args[0])
	ts.Check(err)
	resp, err := http.Post("http://"+p.http+"/admin/faults", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	_ = resp.Body.Close()
}

// same A B checks that two calls got the same complete response.
func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	a, b := s.responses[args[0]], s.responses[args[1]]
	if !a.complete || !b.complete || a.body != b.body {
		ts.Fatalf("%s: %s\n%s\n%s: %s\n%s", args[0], a, truncate(a.body), args[1], b, truncate(b.body))
	}
}

// own checks that each complete model response contains output of its own request only.
func cmdOwn(ts *testscript.TestScript, _ bool, _ []string) {
	word := regexp.MustCompile(`clerks/([^/ ]+)/\d+#`)
	for key, a := range scriptOf(ts).responses {
		if !a.complete {
			continue
		}
		for _, m := range word.FindAllStringSubmatch(a.body, -1) {
			if m[1] != key {
				ts.Fatalf("the response to %s contains output of request %s", key, m[1])
			}
		}
	}
}

// runs PREFIX KEY N [within=D] checks how many times simulated servers whose names begin with
// PREFIX have started a request of the workspace with this key, or with any key for "all".
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	timeout := time.Duration(0)
	args = parseOptions(ts, args, map[string]func(string) error{"within": toDuration(&timeout)})
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	got := 0
	err = eventually(timeout, "runs", func() bool {
		all, err := scriptOf(ts).sys.runsOf(args[0])
		ts.Check(err)
		got = 0
		for _, r := range all {
			if args[1] == "all" || strings.HasPrefix(r.ID, "clerks/"+args[1]+"/") {
				got++
			}
		}
		return got == want
	})
	if err != nil {
		ts.Fatalf("%s ran %d times, want %d", args[1], got, want)
	}
}

// refusals PREFIX MAX checks that simulated servers whose names begin with PREFIX have answered at
// least one and at most MAX requests with 503.
func cmdRefusals(ts *testscript.TestScript, _ bool, args []string) {
	maxRefusals, err := strconv.Atoi(args[1])
	ts.Check(err)
	all, err := scriptOf(ts).sys.recordOf(args[0])
	ts.Check(err)
	if all.Refused == 0 || all.Refused > maxRefusals {
		ts.Fatalf("%s refused %d requests, want 1 to %d", args[0], all.Refused, maxRefusals)
	}
}

// budget [settled] [slack=N] [spent=N] checks that the ledger has no violation and no budget
// exceeds its total. With "settled" it waits until nothing is reserved and the bill matches what
// the simulated servers ran, give or take slack tokens.
func cmdBudget(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	slack, bill := int64(0), int64(-1)
	rest := parseOptions(ts, args, map[string]func(string) error{"slack": toInt(&slack), "spent": toInt(&bill)})
	settled := len(rest) > 0 && rest[0] == "settled"
	if err := s.sys.checkBudget(settled, slack, bill); err != nil {
		s.dumpLogs(ts)
		ts.Fatalf("%v", err)
	}
}

// order SERVER EPOCH WANT sends a request under an epoch directly to a server's agent, as a
// router with stale settings or on the other side of a reassignment would. WANT is "accepted" or
// the reason of the refusal. If SERVER is the backend server itself instead of its agent, WANT is
// an HTTP status.
func cmdOrder(ts *testscript.TestScript, _ bool, args []string) {
	p, err := scriptOf(ts).sys.resolve(args[0])
	ts.Check(err)
	epoch, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	got := ""
	if p.role == "standin" {
		got = orderBackend(ts, p, args[1])
	} else {
		got = orderAgent(ts, p, epoch)
	}
	if got != args[2] {
		ts.Fatalf("request to %s under epoch %d: got %s, want %s", p.name, epoch, got, args[2])
	}
}

func orderBackend(ts *testscript.TestScript, p *process, epoch string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.http+"/v1/chat/completions", strings.NewReader(`{"max_tokens":1,"messages":[]}`))
	ts.Check(err)
	r.Header.Set("Sumachead-Epoch", epoch)
	r.Header.Set("X-Request-Id", "other/order/1")
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	_ = resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}

func orderAgent(ts *testscript.TestScript, p *process, epoch uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := &rpc.Client{Address: p.rpc}
	defer c.Close()
	hello, err := rpc.Call[wire.HelloReply](ctx, c, "Agent.Hello", &wire.HelloRequest{})
	ts.Check(err)
	reply, err := rpc.Call[wire.RunReply](ctx, c, "Agent.Run", &wire.RunRequest{
		Workspace: "other", Key: fmt.Sprintf("order-%d-%d", epoch, time.Now().UnixNano()), Attempt: 1,
		Server: strings.TrimPrefix(p.name, "agent-"), Boot: hello.GetBoot(), Epoch: epoch,
		Method: http.MethodPost, Path: "/v1/chat/completions", ContentType: "application/json", Body: []byte(`{"max_tokens":1,"messages":[]}`),
		DeadlineUnixNano: time.Now().Add(5 * time.Second).UnixNano(),
	})
	ts.Check(err)
	if reply.GetCode() == wire.RunCode_RUN_CODE_ACCEPTED {
		return "accepted"
	}
	return reply.GetReason()
}

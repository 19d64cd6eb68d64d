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

// runs PREFIX KEY N [within=D] checks how often the stand-ins named PREFIX... began a
// request of the workspace; KEY may be "all".
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	within := time.Duration(0)
	args = options(ts, args, map[string]func(string) error{"within": toDuration(&within)})
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	got := 0
	err = eventually(within, "runs", func() bool {
		all, err := of(ts).sys.record(args[0])
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

// refusals PREFIX MOST checks that the stand-ins named PREFIX... have answered some, and at most
// so many, requests with 503.
func cmdRefusals(ts *testscript.TestScript, _ bool, args []string) {
	most, err := strconv.Atoi(args[1])
	ts.Check(err)
	all, err := of(ts).sys.records(args[0])
	ts.Check(err)
	if all.Refused == 0 || all.Refused > most {
		ts.Fatalf("%s refused %d requests, want one at least, and %d at most", args[0], all.Refused, most)
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

// order SERVER EPOCH WANT sends work under an epoch straight to a server's agent,
// as a router with old settings, or the other side of a move, would; WANT is
// "accepted" or the reason of the refusal. With SERVER's own name in place of its
// agent's the order goes to the backend server itself, and WANT is a status.
func cmdOrder(ts *testscript.TestScript, _ bool, args []string) {
	p, err := of(ts).sys.resolve(args[0])
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
		ts.Fatalf("order to %s under epoch %d: %s, want %s", p.name, epoch, got, args[2])
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

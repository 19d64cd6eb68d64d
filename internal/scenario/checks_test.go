package scenario

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"

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

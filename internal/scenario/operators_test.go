package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sumachead/internal/tool"
)

// tool ARGS... runs the operators' command-line tool and prints its output to stdout.
func cmdTool(ts *testscript.TestScript, neg bool, args []string) {
	var out bytes.Buffer
	code := scriptOf(ts).sys.tool(&out, args...)
	_, _ = ts.Stdout().Write(out.Bytes())
	ts.Setenv("EXIT", strconv.Itoa(code))
	if (code != 0) != neg {
		ts.Fatalf("exit code %d: %s", code, out.String())
	}
}

// edit PATH FIELD VALUE [TOOL OPTIONS...] sets one field of an object in the settings tree. The
// exit code is in $EXIT.
func cmdEdit(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
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

// race N BASE makes N different changes against one revision concurrently. One must win, and the
// others must be shown the winning change.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
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

// changes N makes N changes of the settings tree, one after another.
func cmdChanges(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range n {
		var out bytes.Buffer
		if code := scriptOf(ts).sys.tool(&out, "settings", "set", "budgets/masar", fmt.Sprintf(`{"note":"change %d"}`, i)); code != 0 {
			ts.Fatalf("change %d: exit %d: %s", i, code, out.String())
		}
	}
}

// until DURATION PATTERN TOOL ARGS... runs the tool until its output matches the pattern.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	var timeout time.Duration
	ts.Check(toDuration(&timeout)(args[0]))
	pattern := regexp.MustCompile(args[1])
	var out bytes.Buffer
	err := eventually(timeout, args[1], func() bool {
		out.Reset()
		scriptOf(ts).sys.tool(&out, args[2:]...)
		return pattern.Match(out.Bytes())
	})
	if err != nil {
		ts.Fatalf("%v: %s", err, out.String())
	}
}

// follower sets $KEEPER to a keeper that does not lead the ledger group, $HALL to its data hall
// and $ROUTER to the router there.
func cmdFollower(ts *testscript.TestScript, _ bool, _ []string) {
	leader, err := scriptOf(ts).sys.resolve("leader")
	ts.Check(err)
	for i := range 3 {
		if name := fmt.Sprintf("keeper-%d", i+1); name != leader.name {
			ts.Setenv("KEEPER", name)
			ts.Setenv("HALL", hallName(i))
			ts.Setenv("ROUTER", fmt.Sprintf("router-%d", i+1))
			return
		}
	}
}

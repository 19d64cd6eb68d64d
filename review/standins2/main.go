// Command standins2 runs the scripted cases of the second review: it starts the programs of the deploy
// file as separate processes on loopback addresses, and stand-ins of clients, replicas and the operator.
//
// It is called with the name of a case and the path of the record. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run. With TROUBLE=0 it omits the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2
)

// testCase runs a case and reports whether the rule was broken.
type testCase func(r *recorder, trouble bool) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]testCase{
	"slow-reader": slowReader,
	"crash-leak":  crashLeak,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const wanted = 2
	if len(args) != wanted || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		return exitUnplayed
	}
	out, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer func() { _ = out.Close() }()
	r := &recorder{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case    %s, with the disruption: %t", args[0], trouble)
	broken, err := cases[args[0]](r, trouble)
	switch {
	case err != nil:
		r.log("verdict not played: %v", err)
		fmt.Println("not played:", err)
		return exitUnplayed
	case broken:
		r.log("verdict the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.log("verdict the rule held")
	fmt.Println("held")
	return exitHeld
}

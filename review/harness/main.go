package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case, including the start and the end of its processes.
const maxDuration = 110 * time.Second

// brokenError says how a rule was broken.
type brokenError struct{ detail string }

// Error implements error.
func (e *brokenError) Error() string { return e.detail }

// broken returns the error of a case that saw its rule broken.
func broken(format string, args ...any) error { return &brokenError{fmt.Sprintf(format, args...)} }

// cases are the cases by name. A nil error means that the rule held.
var cases = map[string]func(ctx context.Context, r *record, trouble bool) error{
	"heartbeat": runHeartbeat,
	"snapshot":  runSnapshot,
	"surplus":   runSurplus,
}

func main() {
	recordPath := flag.String("record", "record.txt", "the file that what was sent, answered and run is written to")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintf(os.Stderr, "usage: harness [-record FILE] CASE, with a CASE of %v\n", slices.Sorted(maps.Keys(cases)))
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *recordPath))
}

// runCase runs a case and returns the exit code.
func runCase(run func(context.Context, *record, bool) error, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("start trouble=%t", trouble)
	err = run(ctx, r, trouble)
	var b *brokenError
	switch {
	case ctx.Err() != nil:
		r.announce("result: the case could not run: it was stopped or took too long")
		return exitNotRun
	case err == nil:
		r.announce("result: the rule held")
		return exitHeld
	case errors.As(err, &b):
		r.announce("result: the rule was broken: %v", err)
		return exitBroken
	}
	r.announce("result: the case could not run: %v", err)
	return exitNotRun
}

// Package scenario proves the system's promises: scripted scenarios drive real
// processes on loopback, and a soak run mixes faults at random.
//
// A scenario is a script in testdata, in the language of testscript with a few
// commands of ours: system, start, shutdown, crash, freeze, thaw, wipe-disk, cut,
// heal, apply, tool, call, calls, await, fault, budget, runs and same.
// CONTRIBUTING.md describes them. Cuts are made by a small TCP relay that
// stands before every process and tells callers apart by their local address.
package scenario

// Package scenario tests whole systems: scripted scenarios drive real processes on loopback, and
// a soak test injects random faults.
//
// A scenario is a testscript script in testdata with additional commands: system, start,
// shutdown, crash, freeze, thaw, wipe-disk, cut, heal, apply, tool, call, calls, await, fault,
// budget, runs and same. CONTRIBUTING.md describes them. Network partitions are simulated by a
// small TCP proxy in front of each process, which tells callers apart by their local address.
package scenario

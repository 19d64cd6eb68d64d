// Package capacity contains benchmarks of the costs per object from which
// docs/CAPACITY.md is computed:
// go test -bench . -benchtime 1x ./internal/capacity
package capacity

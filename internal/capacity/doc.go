// Package capacity measures the slopes that docs/CAPACITY.md is worked out
// from: go test -bench . -benchtime 1x ./internal/capacity
package capacity

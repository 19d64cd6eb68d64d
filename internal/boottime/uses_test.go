package boottime

import (
	"os"
	"strings"
	"testing"
)

// What bounds leases must not read the steady clock, which stands still while the host is
// suspended.
func TestLeasesGoByBootTime(t *testing.T) {
	tests := []struct {
		file string
		// allowed are the lines that may: they bound nothing that others were promised.
		allowed int
	}{
		{"../raft/core.go", 0},
		{"../raft/replicate.go", 0},
		{"../raft/calls.go", 0},
		{"../raft/node.go", 2}, // how long a synced write took, for a figure
		{"../follower/follower.go", 0},
		{"../backoff/backoff.go", 0},
	}
	for _, tt := range tests {
		data, err := os.ReadFile(tt.file)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "time.Now(") || strings.Contains(line, "time.Since(") || strings.Contains(line, "time.Until(") {
				n++
			}
		}
		if n != tt.allowed {
			t.Errorf("%s reads the steady clock in %d lines, %d may", tt.file, n, tt.allowed)
		}
	}
}

package boottime

import (
	"os"
	"strings"
	"testing"
)

// The code that decides on the validity of leases must not read the monotonic clock, which
// stops while the host is suspended.
func TestLeasesGoByBootTime(t *testing.T) {
	tests := []struct {
		file string
		// allowed is the number of lines that may read the clock because no lease depends on
		// them.
		allowed int
	}{
		{"../raft/core.go", 0},
		{"../raft/replicate.go", 0},
		{"../raft/calls.go", 0},
		{"../raft/node.go", 2}, // duration of a synced write, for a metric
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
			t.Errorf("%s reads the monotonic clock in %d lines, want %d", tt.file, n, tt.allowed)
		}
	}
}

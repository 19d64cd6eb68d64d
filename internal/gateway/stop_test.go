package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestSplitGracePeriod(t *testing.T) {
	tests := []struct{ grace, drain, finish time.Duration }{
		{12 * time.Second, 2500 * time.Millisecond, 7500 * time.Millisecond},
		{8 * time.Second, 2500 * time.Millisecond, 4166666667 * time.Nanosecond},
		{3 * time.Second, time.Second, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		turn, finish := SplitGracePeriod(tt.grace)
		if d := cmp.Diff([]time.Duration{tt.drain, tt.finish}, []time.Duration{turn, finish}); d != "" {
			t.Errorf("grace %v (-want +got):\n%s", tt.grace, d)
		}
	}
}

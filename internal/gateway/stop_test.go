package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPlanStop(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct{ grace, accept, send, answer, close time.Duration }{
		{12 * time.Second, 2500 * ms, 6250 * ms, 10 * time.Second, 10250 * ms},
		{8 * time.Second, 2500 * ms, 4583333333, 6666666667, 6833333333},
		{3 * time.Second, time.Second, 1750 * ms, 2500 * ms, 2562500 * time.Microsecond},
	}
	for _, tt := range tests {
		now := time.Now()
		d := PlanStop(now, tt.grace)
		got := []time.Duration{d.AcceptUntil.Sub(now), d.SendUntil.Sub(now), d.AnswerBy.Sub(now), d.CloseBy.Sub(now)}
		if diff := cmp.Diff([]time.Duration{tt.accept, tt.send, tt.answer, tt.close}, got); diff != "" {
			t.Errorf("grace %v (-want +got):\n%s", tt.grace, diff)
		}
	}
}

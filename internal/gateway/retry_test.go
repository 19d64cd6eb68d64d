package gateway

import (
	"testing"
	"time"
)

// All routers together stay within the fleet's retry limit, whatever their number, and use a good
// part of it.
func TestRetryBudgetIsShared(t *testing.T) {
	const ratio, extra = 0.2, 50
	tests := []struct {
		name              string
		routers, requests int
		// minShare is the minimum share, one part in so many, of the allowed retries that is used.
		minShare int
	}{
		{"few routers", 4, 1000, 4},
		{"as many routers as extra retries", 50, 20, 4},
		{"many routers, few requests", 410, 2, 12}, // mostly random
		{"many routers", 410, 30, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			retries := 0
			for range tt.routers {
				a := &retryBudget{ratio: ratio, extra: extra, window: 10 * time.Second}
				for i := range tt.requests {
					at := now.Add(time.Duration(i) * 10 * time.Millisecond) // one window
					a.recordRequest(at, tt.routers)
					if a.take(at, tt.routers) {
						retries++
					}
				}
			}
			maxRetries := int(ratio*float64(tt.routers*tt.requests)) + extra
			if retries > maxRetries || retries < maxRetries/tt.minShare {
				t.Fatalf("%d retries in a window, %d allowed", retries, maxRetries)
			}
		})
	}
}

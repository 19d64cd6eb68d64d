package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// An acknowledgement that comes late counts for the life that it was sent by.
func TestLeavingIsAcknowledgedToItsLife(t *testing.T) {
	tests := []struct {
		name string
		// meanwhile runs while the heartbeat is under way.
		meanwhile func(*Replica)
		acked     bool
	}{
		{"the life that leaves", func(*Replica) {}, true},
		{"another one by then", func(r *Replica) { r.StartAnew(0) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Replica{ID: "i-1", Service: "pool"}
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { tt.meanwhile(r) }))
			defer s.Close()
			r.Control = func() []string { return []string{s.Listener.Addr().String()} }
			if !r.Drain(t.Context()) {
				t.Fatal("the heartbeat was not acknowledged")
			}
			if got := !r.DrainAcked().IsZero(); got != tt.acked {
				t.Errorf("acknowledged to the life that runs: %t, want %t", got, tt.acked)
			}
		})
	}
}

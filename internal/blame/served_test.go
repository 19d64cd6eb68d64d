package blame

import (
	"fmt"
	"testing"
	"time"

	"sumachead"
)

func TestServed(t *testing.T) {
	var s Served
	start := time.UnixMilli(1_700_000_000_000)
	request := func(path string) *sumachead.CallerRequest { return &sumachead.CallerRequest{Path: path} }
	s.Note("clerks", request("/a"), start)
	s.Note("clerks", request("/b"), start.Add(successTTL/2+1))
	tests := []struct {
		name  string
		w     sumachead.WorkspaceID
		path  string
		after time.Duration
		want  bool
	}{
		{"in the same half", "clerks", "/b", successTTL/2 + 2, true},
		{"in the previous half", "clerks", "/a", successTTL/2 + 2, true},
		{"never", "clerks", "/c", successTTL/2 + 2, false},
		{"another workspace's", "nurses", "/a", successTTL/2 + 2, false},
		{"too long ago", "clerks", "/a", successTTL + 2, false},
		{"both halves too long ago", "clerks", "/b", 2 * successTTL, false},
	}
	for _, tt := range tests {
		if got := s.Has(tt.w, request(tt.path), start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: %t", tt.name, got)
		}
	}
	for i := range 3 * maxSuccesses {
		s.Note("clerks", request(fmt.Sprint(i)), start)
	}
	if n := len(s.recent) + len(s.previous); n > 2*maxSuccesses {
		t.Errorf("%d requests are remembered", n)
	}
}

// BenchmarkServed measures recording a success of a request with a body of 17 kB.
func BenchmarkServed(b *testing.B) {
	var s Served
	const bytes = 17_000
	r := &sumachead.CallerRequest{Path: "/r/x", Body: make([]byte, bytes)}
	for b.Loop() {
		s.Note("clerks", r, time.Now())
	}
}

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"sumachead"
)

func TestRecentSuccesses(t *testing.T) {
	var s RecentSuccesses
	start := time.UnixMilli(1_700_000_000_000)
	request := func(path string) *sumachead.CallerRequest { return &sumachead.CallerRequest{Path: path} }
	s.Add("clerks", request("/a"), start)
	s.Add("clerks", request("/b"), start.Add(successTTL/2+1))
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
		if got := s.Contains(tt.w, request(tt.path), start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: %t", tt.name, got)
		}
	}
	for i := range 3 * maxSuccesses {
		s.Add("clerks", request(fmt.Sprint(i)), start)
	}
	if n := len(s.set.recent) + len(s.set.previous); n > 2*maxSuccesses {
		t.Errorf("%d requests are remembered", n)
	}
}

// BenchmarkServed measures recording a success of a request with a body of 17 kB.
func BenchmarkServed(b *testing.B) {
	var s RecentSuccesses
	const bytes = 17_000
	r := &sumachead.CallerRequest{Path: "/r/x", Body: make([]byte, bytes)}
	for b.Loop() {
		s.Add("clerks", r, time.Now())
	}
}

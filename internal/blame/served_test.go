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
	s.Note("clerks", request("/b"), start.Add(servedFor/2+1))
	tests := []struct {
		name  string
		w     sumachead.WorkspaceID
		path  string
		after time.Duration
		want  bool
	}{
		{"in the same half", "clerks", "/b", servedFor/2 + 2, true},
		{"in the half before", "clerks", "/a", servedFor/2 + 2, true},
		{"never", "clerks", "/c", servedFor/2 + 2, false},
		{"another workspace's", "nurses", "/a", servedFor/2 + 2, false},
		{"too long ago", "clerks", "/a", servedFor + 2, false},
		{"all of it too long ago", "clerks", "/b", 2 * servedFor, false},
	}
	for _, tt := range tests {
		if got := s.Has(tt.w, request(tt.path), start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: %t", tt.name, got)
		}
	}
	for i := range 3 * mostServed {
		s.Note("clerks", request(fmt.Sprint(i)), start)
	}
	if n := len(s.recent) + len(s.before); n > 2*mostServed {
		t.Errorf("%d are remembered", n)
	}
}

// BenchmarkServed: 3.1 us for a body of 17 kB on the machine that the figures of
// docs/MEASUREMENTS.md are of; there was nothing before.
func BenchmarkServed(b *testing.B) {
	var s Served
	const bytes = 17_000
	r := &sumachead.CallerRequest{Path: "/r/x", Body: make([]byte, bytes)}
	for b.Loop() {
		s.Note("clerks", r, time.Now())
	}
}

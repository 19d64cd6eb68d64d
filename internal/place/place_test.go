package place

import (
	"fmt"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

func candidates(n int) []sumachead.Candidate {
	var cs []sumachead.Candidate
	for i := range n {
		cs = append(cs, sumachead.Candidate{
			Server: sumachead.ServerID(fmt.Sprintf("s%d", i)), Hall: sumachead.HallID(fmt.Sprintf("h%d", i%3)),
			Load: &wire.Load{Slots: 8, FirstTokenMicros: 20000}, LoadAt: time.Now(),
		})
	}
	return cs
}

func TestPoliciesSkipUnfitServers(t *testing.T) {
	for _, policy := range []string{PolicyWeighted, PolicyRoundRobin, PolicyLeastOutstanding} {
		t.Run(policy, func(t *testing.T) {
			p := New(policy)
			cs := candidates(4)
			cs[0].Load.Leaving = true
			cs[1].Load.Stuck = true
			r := sumachead.PlaceRequest{Hall: "h0", Tried: []sumachead.ServerID{"s2"}, Now: time.Now()}
			for i := range 100 {
				r.Prefix = uint64(i)
				if c, ok := p.Place(r, cs); !ok || c.Server != "s3" {
					t.Fatalf("placed at %v", c.Server)
				}
			}
			r.Tried = append(r.Tried, "s3")
			if c, ok := p.Place(r, cs); !ok || c.Server != "s1" {
				t.Errorf("want the stuck server, got %v", c.Server)
			}
			r.Tried = append(r.Tried, "s1")
			if _, ok := p.Place(r, cs); ok {
				t.Error("placed although no server is left")
			}
		})
	}
}

func TestPrefixStaysOnPreferredServerUntilLoaded(t *testing.T) {
	p := &Weighted{}
	cs := candidates(6)
	r := sumachead.PlaceRequest{Hall: "h0", Prefix: 42, Now: time.Now()}
	preferred, _ := p.Place(r, cs)
	for range 50 {
		if c, _ := p.Place(r, cs); c.Server != preferred.Server {
			t.Fatalf("the prefix went to %v, its preferred server is %v", c.Server, preferred.Server)
		}
	}
	for i := range cs {
		if cs[i].Server == preferred.Server {
			cs[i].Load.Running, cs[i].Load.Queued = 8, 20
		}
	}
	others := 0
	for range 50 {
		if c, _ := p.Place(r, cs); c.Server != preferred.Server {
			others++
		}
	}
	if others < 40 {
		t.Errorf("only %d of 50 left an overloaded preferred server", others)
	}
}

func TestWeightedPrefersShortQueues(t *testing.T) {
	p := &Weighted{}
	cs := candidates(2)
	cs[0].Load.Running, cs[0].Load.Queued = 8, 30
	good := 0
	for range 200 {
		if c, _ := p.Place(sumachead.PlaceRequest{Hall: "h0", Now: time.Now()}, cs); c.Server == "s1" {
			good++
		}
	}
	if good < 120 {
		t.Errorf("%d of 200 went to the idle server", good)
	}
}

// A server whose agent reports a backoff is avoided until the backoff ends, and chosen if there
// is no other.
func TestPolicyAvoidsServersInBackoff(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		told  time.Duration // before now
		count int
		rest  time.Duration
		want  sumachead.ServerID // empty for any server
	}{
		{"rests", time.Second, 2, 3 * time.Second, "s1"},
		{"backoff has ended", 4 * time.Second, 2, 3 * time.Second, ""},
		{"reported after the request arrived", -time.Millisecond, 2, 0, ""},
		{"only server", time.Second, 1, 3 * time.Second, "s0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cs := candidates(tt.count)
			cs[0].Load.RestMillis, cs[0].LoadAt = tt.rest.Milliseconds(), now.Add(-tt.told)
			got := make(map[sumachead.ServerID]int)
			for range 200 {
				if c, ok := (&Weighted{}).Place(sumachead.PlaceRequest{Hall: "h0", Now: now}, cs); ok {
					got[c.Server]++
				}
			}
			if tt.want != "" && got[tt.want] != 200 || tt.want == "" && len(got) != tt.count {
				t.Errorf("chosen: %v", got)
			}
		})
	}
}

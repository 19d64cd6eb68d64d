package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// Shared parts are fetched from the server that most likely keeps them, where that
// saves reading them again.
func TestSourceOfSharedParts(t *testing.T) {
	parts := []sumachead.PromptPart{{ID: "doc", Tokens: 10_000}, {ID: "more", Tokens: 3000}, {ID: "own", Tokens: 2000}}
	const silent = wire.ServerState_SERVER_STATE_SILENT
	tests := []struct {
		name string
		// kept are the parts that servers are known to keep here.
		kept   map[string][]string
		chosen string
		home   string
		// homeState is the home's.
		homeState wire.ServerState
		rate      int64
		want      string
	}{
		{"at home", nil, "a", "a", 0, 100, ""},
		{"away from home", nil, "b", "a", 0, 100, "a:1"},
		{"engines can't fetch", nil, "b", "a", 0, 0, ""},
		{"away, but it has them", map[string][]string{"b": {"doc", "more"}}, "b", "a", 0, 100, ""},
		{"away, and it has a part", map[string][]string{"b": {"doc"}}, "b", "a", 0, 100, "a:1"},
		{"the home is silent", nil, "b", "a", silent, 100, ""},
		{"the home is silent, another has a part", map[string][]string{"c": {"doc"}}, "b", "a", silent, 100, "c:1"},
		{"a part without those before it is of no use", map[string][]string{"c": {"more"}}, "b", "a", silent, 100, ""},
		{"a new home, the old one has them", map[string][]string{"c": {"doc", "more"}}, "a", "a", 0, 100, "c:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlacer("hall-1")
			now := time.Now()
			var servers []*wire.ServerRecord
			var chosen *wire.ServerRecord
			for _, id := range []string{"a", "b", "c"} {
				s := &wire.ServerRecord{Id: id, Address: id + ":1"}
				if id == tt.home {
					s.State = tt.homeState
				}
				if id == tt.chosen {
					chosen = s
				}
				servers = append(servers, s)
				for _, part := range tt.kept[id] {
					p.state(sumachead.ServerID(id)).parts[part] = now
				}
			}
			x := &exchange{
				request: &sumachead.CallerRequest{PromptTokens: 15_000, Parts: parts},
				service: &wire.Service{Engine: &wire.EngineLimits{FetchTokensPerSecond: tt.rate}},
			}
			if diff := cmp.Diff(tt.want, p.source(servers, chosen, x, tt.home, now)); diff != "" {
				t.Fatalf("source (-want +got):\n%s", diff)
			}
		})
	}
}

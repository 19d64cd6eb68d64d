package escrow

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"sumachead"
	"sumachead/api/wire"
)

// A report that is answered without an entry in the log must be one that changes nothing, and must
// get the same reply. Otherwise spending, returned tokens or an incarnation would be lost.
func TestUnchangedReports(t *testing.T) {
	position := func(granted, spent, returned int64) *wire.EscrowPosition {
		return &wire.EscrowPosition{Workspace: string(clerks), Granted: granted, Spent: spent, Returned: returned}
	}
	report := func(boot string, closing bool, ps ...*wire.EscrowPosition) *wire.EscrowReport {
		return &wire.EscrowReport{Node: "router-1", Boot: boot, Closing: closing, Positions: ps}
	}
	limited := func(limit int64) *wire.EscrowPosition {
		p := position(500, 200, 100)
		p.SpendLimit = proto.Int64(limit)
		return p
	}
	other := &wire.EscrowPosition{Workspace: "nurses"}
	tests := []struct {
		name   string
		report *wire.EscrowReport
		grants []int64
		want   bool
	}{
		{"the same again", report("a", false, position(500, 200, 100)), nil, true},
		{"no grant", report("a", false, position(500, 200, 100)), []int64{0}, true},
		{"late", report("a", false, position(500, 150, 0)), nil, true},
		{"a lost grant", report("a", false, position(0, 200, 100)), nil, true},
		{"more spent", report("a", false, position(500, 201, 100)), nil, false},
		{"more returned", report("a", false, position(500, 200, 101)), nil, false},
		{"a grant", report("a", false, position(500, 200, 100)), []int64{1}, false},
		{"a position that is not known", report("a", false, position(500, 200, 100), other), nil, false},
		{"the same limit", report("a", false, limited(300)), nil, true},
		{"a late limit", report("a", false, limited(299)), nil, true},
		{"a higher limit", report("a", false, limited(301)), nil, false},
		{"closing", report("a", true, position(500, 200, 100)), nil, false},
		{"a new incarnation without positions", report("b", false), nil, false},
		{"a new node without positions", &wire.EscrowReport{Node: "router-2", Boot: "c"}, nil, true},
		{"a new incarnation", report("b", false, position(0, 0, 0)), nil, false},
		{"an incarnation that is closed", report("b", false, position(500, 200, 100)), nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger()
			l.SetTotals(map[sumachead.WorkspaceID]sumachead.Tokens{clerks: 1000, "nurses": 1000})
			l.Apply(&wire.EscrowGrant{Report: report("a", false, position(0, 0, 0)), Grants: []int64{500}})
			l.Apply(&wire.EscrowGrant{Report: report("a", false, limited(300))})
			before := l.Snapshot()
			g := &wire.EscrowGrant{Report: tt.report, Grants: tt.grants}
			reply := l.Unchanged(g)
			if got := reply != nil; got != tt.want {
				t.Fatalf("unchanged: %t, want %t", got, tt.want)
			}
			if d := cmp.Diff(before, l.Snapshot(), protocmp.Transform()); d != "" {
				t.Errorf("asking changes the ledger (-before +after):\n%s", d)
			}
			if reply == nil {
				return
			}
			if d := cmp.Diff(l.Apply(g), reply, protocmp.Transform()); d != "" {
				t.Errorf("reply (-applied +unchanged):\n%s", d)
			}
			if d := cmp.Diff(before, l.Snapshot(), protocmp.Transform()); d != "" {
				t.Errorf("applying it changes the ledger (-before +after):\n%s", d)
			}
		})
	}
}

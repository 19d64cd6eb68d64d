package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// Guards against a keeper that counts all that a crashed router held as spent, although the router has
// confirmed a reply shortly before and kept within its limit.
func TestKeeperReturnsWhatACrashedRouterCouldNotSpend(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool
		address   string
		wantFree  int64
	}{
		{"within its limit", true, "10.0.0.1:7000", 1000 - 100},
		{"no reply confirmed", false, "10.0.0.1:7000", 1000 - 500},
		{"another address", true, "10.0.0.2:7000", 1000 - 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			c.declare(0, declaration(1, "one")) // a budget of 1000 tokens
			k := c.members[0].Keeper
			report := func(r *wire.EscrowReport, p *wire.EscrowPosition) *wire.EscrowReply {
				t.Helper()
				r.Node, p.Workspace, r.Positions = "router-1", "clerks", []*wire.EscrowPosition{p}
				reply := &wire.EscrowReply{}
				if err := (&service{k}).Report(r, reply); err != nil {
					t.Fatal(err)
				}
				return reply
			}
			// One that has run for a while keeps within its limit for the shortest time.
			first := func(contact uint64) *wire.EscrowReport {
				return &wire.EscrowReport{Boot: "a", Address: "10.0.0.1:7000", AgeMillis: 3_600_000, Contact: contact}
			}
			reply := report(first(0), &wire.EscrowPosition{Needed: 500, Wanted: 500, SpendLimit: proto.Int64(100)})
			if a := reply.GetAnswers()[0]; a.GetGranted() != 500 || a.GetSpendLimit() != 100 || reply.GetContact() == 0 {
				t.Fatalf("first reply %v", reply)
			}
			if !tt.confirmed {
				reply.Contact = 0
			}
			report(first(reply.GetContact()), &wire.EscrowPosition{Granted: 500, Spent: 50, SpendLimit: proto.Int64(100)})
			report(&wire.EscrowReport{Boot: "b", Address: tt.address}, &wire.EscrowPosition{SpendLimit: proto.Int64(0)})
			if free, _ := k.machine.Budget("clerks"); int64(free) != tt.wantFree {
				t.Errorf("%d of the budget is free, want %d", free, tt.wantFree)
			}
		})
	}
}

package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/escrow"
	"sumachead/internal/registry"
)

// The number of objects that a fleet declared as one document is designed for.
const (
	designRouters    = 410
	designWorkspaces = 1600
	designReplicas   = 1900
	// workspacesPerRouter is how many workspaces a router serves at a time.
	workspacesPerRouter = 64
)

func escrowReport(node int) *wire.EscrowReport {
	r := &wire.EscrowReport{Node: fmt.Sprint("router-", node), Boot: "b"}
	for i := range workspacesPerRouter {
		r.Positions = append(r.Positions, &wire.EscrowPosition{
			Workspace: fmt.Sprint("workspace-", (node*7+i*25)%designWorkspaces), Spent: 1000, Rate: 500, Reserved: 100,
		})
	}
	return r
}

// BenchmarkEscrowReport allocates escrow for the reports of all routers and
// applies the grants.
func BenchmarkEscrowReport(b *testing.B) {
	state, allocator := escrow.NewLedger(), &escrow.Allocator{}
	totals := make(map[sumachead.WorkspaceID]sumachead.Tokens)
	for i := range designWorkspaces {
		totals[sumachead.WorkspaceID(fmt.Sprint("workspace-", i))] = 1 << 40
	}
	state.SetTotals(totals)
	now := time.Now()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	report := func(i int) {
		r := escrowReport(i % designRouters)
		allocator.RecordReport(r, now)
		grants, _ := allocator.Allocate(state, r, now)
		state.Apply(&wire.EscrowGrant{Report: r, Grants: grants})
	}
	for i := range designRouters {
		report(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		report(i)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB_held")
	b.ReportMetric(float64(proto.Size(escrowReport(1))), "bytes/report")
}

// BenchmarkRegistry applies the heartbeats of all backend servers.
func BenchmarkRegistry(b *testing.B) {
	t := &registry.Table{Heartbeat: time.Second}
	record := func(i, sequence int) *wire.ServerRecord {
		return &wire.ServerRecord{
			Id: fmt.Sprint("i-", i), Service: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Hall: "hall-a",
			Slots: 64, Sequence: uint64(sequence),
		}
	}
	t.StartLeading("one", time.Now())
	for i := range designReplicas {
		if _, err := t.ApplyHeartbeat(record(i, 1), time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	snapshot, _ := t.ChangesSince("", 0)
	i := 0
	for b.Loop() {
		if _, err := t.ApplyHeartbeat(record(i%designReplicas, 2+i/designReplicas), time.Now()); err != nil {
			b.Fatal(err)
		}
		i++
	}
	b.ReportMetric(float64(proto.Size(snapshot)), "bytes/whole")
	b.ReportMetric(float64(proto.Size(record(1, 2))), "bytes/record")
}

// BenchmarkDeclaration packs and unpacks a declaration with many routes and
// workspaces, and builds a view of it.
func BenchmarkDeclaration(b *testing.B) {
	c := &wire.Catalog{Services: []*wire.Service{{Name: "pool"}}}
	for i := range 500 {
		c.Routes = append(c.Routes, &wire.Route{
			Name: fmt.Sprint("route-", i), Host: "host.example", PathPrefix: fmt.Sprintf("/path-%d/", i), TimeoutMillis: 1000,
			Shares: []*wire.ServiceShare{{Service: "pool", Weight: 1}},
		})
	}
	for i := range designWorkspaces {
		c.Workspaces = append(c.Workspaces, &wire.WorkspaceAccess{
			Name: fmt.Sprint("workspace-", i), Keys: []string{fmt.Sprintf("key-%016x", i*7919)}, Prepaid: proto.Int64(1 << 30),
		})
	}
	d := &wire.Declaration{Number: 1, Catalog: c}
	var size int
	for b.Loop() {
		p, err := catalog.Pack(d)
		if err != nil {
			b.Fatal(err)
		}
		size = proto.Size(p)
		u, err := catalog.Unpack(p)
		if err != nil {
			b.Fatal(err)
		}
		catalog.NewView(u)
	}
	b.ReportMetric(float64(size), "bytes/packed")
}

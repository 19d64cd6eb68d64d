package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/allot"
	"sumachead/internal/ledger"
	"sumachead/internal/settings"
	"sumachead/internal/strictjson"
)

// The number of objects that the system is designed for.
const (
	budgets    = 20000
	workspaces = 1600
	servers    = 1900
	models     = 24
	halls      = 6
	entries    = 200000
)

// heapBytes returns the bytes of allocated heap objects after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// designTree returns a settings tree of the size that the system is designed for.
func designTree() settings.Objects {
	o := settings.Objects{
		Branches:   map[string]settings.Branch{"root": {}},
		Workspaces: make(map[string]settings.Workspace), Budgets: make(map[string]settings.Budget),
		Topups: make(map[string]map[string]settings.Topup), Pools: make(map[string]settings.Pool), Servers: make(map[string]settings.Server),
	}
	for i := range budgets {
		id := fmt.Sprintf("budget-%05d", i)
		o.Budgets[id] = settings.Budget{Note: "prepaid"}
		o.Topups[id] = map[string]settings.Topup{"t1": {Tokens: 1_000_000}}
	}
	for i := range models {
		id := fmt.Sprintf("pool-%02d", i)
		o.Pools[id] = settings.Pool{Kind: settings.ModelPool, Models: []string{"model-" + id}}
	}
	for i := range servers {
		o.Servers[fmt.Sprintf("server-%04d", i)] = settings.Server{
			Pool: sumachead.PoolID(fmt.Sprintf("pool-%02d", i%models)), Hall: sumachead.HallID(fmt.Sprintf("hall-%d", i%halls)),
			Agent: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Slots: 32, Epoch: 1,
		}
	}
	for i := range workspaces {
		o.Workspaces[fmt.Sprintf("workspace-%04d", i)] = settings.Workspace{
			Branch: "root", Budget: sumachead.BudgetID(fmt.Sprintf("budget-%05d", i)),
			KeySHA256: []string{fmt.Sprintf("%064x", i)}, Pools: []sumachead.PoolID{"pool-00", "pool-01"},
		}
	}
	return o
}

func newSettingsMachine(b *testing.B) *settings.Machine {
	o := designTree()
	objects, err := o.ToWire()
	if err != nil {
		b.Fatal(err)
	}
	m := settings.NewMachine("s")
	applyChange(b, m, "first", 0, objects)
	return m
}

func applyChange(b *testing.B, m *settings.Machine, id string, base uint64, objects []*wire.SettingsObject) {
	data, err := proto.Marshal(&wire.ChangeRequest{ChangeId: id, BaseRevision: base, Objects: objects})
	if err != nil {
		b.Fatal(err)
	}
	if r := m.Apply(0, data).(*wire.ChangeReply); r.GetStatus() != wire.ChangeStatus_CHANGE_STATUS_COMMITTED {
		b.Fatal(r)
	}
}

// BenchmarkSettings measures a change of one backend server in a tree of the
// design size: applying it at a keeper, the bytes of its delta and of a full
// snapshot, and applying the delta at a router.
func BenchmarkSettings(b *testing.B) {
	m := newSettingsMachine(b)
	without := []string{settings.KindBudgets, settings.KindTopups}
	sync := func(session string, revision uint64, without []string) *wire.SyncReply {
		r, err := m.Sync(&wire.SyncRequest{Session: session, Revision: revision, Without: without})
		if err != nil {
			b.Fatal(err)
		}
		return r
	}
	full := sync("", 0, without)
	b.ReportMetric(float64(proto.Size(sync("", 0, nil))), "B/snapshot-all")
	b.ReportMetric(float64(proto.Size(full)), "B/snapshot-router")
	before := heapBytes()
	f := &settings.Follower{}
	view, err := f.Apply(full)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB/router-view")
	server, err := strictjson.Encode(settings.Server{Pool: "pool-01", Hall: "hall-1", Agent: "10.9.9.9:7000", Slots: 16, Epoch: 2})
	if err != nil {
		b.Fatal(err)
	}
	objects := []*wire.SettingsObject{{Path: "servers/server-0001", Json: server}}
	start := time.Now()
	applyChange(b, m, "second", 1, objects)
	b.ReportMetric(time.Since(start).Seconds()*1000, "ms/apply-change")
	delta := sync("s", 1, without)
	b.ReportMetric(float64(proto.Size(delta)), "B/delta")
	start = time.Now()
	next, err := f.Apply(delta)
	if err != nil || next.Revision <= view.Revision {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(start).Seconds()*1000, "ms/router-in-force")
	for range b.N {
	}
	runtime.KeepAlive(view)
}

func applyCommand(b *testing.B, m *ledger.Machine, c *wire.LedgerCommand) {
	data, err := proto.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	m.Apply(0, data)
}

// BenchmarkLedger measures the memory per budget and per entry, the processor
// time of a request's two commands, and the time and size of a snapshot.
func BenchmarkLedger(b *testing.B) {
	m := ledger.NewMachine()
	before := heapBytes()
	totals := &wire.SetTotals{Revision: 1}
	for i := range budgets {
		totals.Totals = append(totals.Totals, &wire.BudgetTotal{Budget: fmt.Sprintf("budget-%05d", i), Total: 1 << 40})
	}
	applyCommand(b, m, &wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: totals}})
	grants := &wire.GrantBatch{}
	for i := range budgets {
		for h := range halls {
			grants.Grants = append(grants.Grants, &wire.Grant{Budget: fmt.Sprintf("budget-%05d", i), Hall: fmt.Sprintf("hall-%d", h), KeeperIncarnation: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", Amount: 1000})
		}
	}
	applyCommand(b, m, &wire.LedgerCommand{Command: &wire.LedgerCommand_Grants{Grants: grants}})
	totals, grants = nil, nil
	b.ReportMetric(float64(heapBytes()-before)/budgets, "B/budget")
	before = heapBytes()
	start := time.Now()
	for i := range entries {
		key := fmt.Sprintf("7d444840-9dc0-11d1-b245-%012d", i)
		applyCommand(b, m, &wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: &wire.ReserveRequest{
			Workspace: "workspace-0001", Key: key, Budget: "budget-00001", Amount: 700, BodyHash: []byte("12345678"), Hall: "hall-1",
			Attempt: &wire.Attempt{Owner: "router-01/7d444840-9dc0-11d1-b245-5ffdce74fad2/zz", Server: "server-0001", Boot: "7d444840-9dc0-11d1-b245-5ffdce74fad2"},
		}}})
		applyCommand(b, m, &wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: &wire.SettleBatch{Settles: []*wire.SettleRequest{
			{Workspace: "workspace-0001", Key: key, Attempt: 1, Tokens: 300},
		}}}})
	}
	b.ReportMetric(time.Since(start).Seconds()*1e6/entries, "µs/request")
	b.ReportMetric(float64(heapBytes()-before)/entries, "B/entry")
	start = time.Now()
	encode := m.Snapshot()
	b.ReportMetric(time.Since(start).Seconds()*1000, "ms/snapshot-capture")
	data, err := encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(time.Since(start).Seconds()*1000, "ms/snapshot")
	b.ReportMetric(float64(len(data))/(1<<20), "MB/snapshot")
	for range b.N {
	}
	runtime.KeepAlive(totals)
	runtime.KeepAlive(grants)
}

// BenchmarkAllotments measures planning the allotments of all budgets once.
func BenchmarkAllotments(b *testing.B) {
	in := allot.Input{Available: 100_000}
	for h := range halls {
		in.Halls = append(in.Halls, allot.Hall{ID: sumachead.HallID(fmt.Sprint(h)), Connected: true, Held: 150_000, Demand: 10})
	}
	for range b.N {
		for range budgets {
			allot.Plan(in)
		}
	}
}

// BenchmarkIdleSync measures the bytes of a node's sync request and its reply
// when nothing has changed. A node sends about one request per second.
func BenchmarkIdleSync(b *testing.B) {
	q := &wire.SyncRequest{
		Node: "router-001", Role: "router", Hall: "hall-1", Session: "0011223344556677", Revision: 12345, WaitMillis: 1000,
		Without: []string{"budgets", "topups"}, Address: "10.0.0.1:7001", Boot: "7d444840-9dc0-11d1-b245-5ffdce74fad2",
	}
	a := &wire.SyncReply{Session: "0011223344556677", Revision: 12345, Current: true, Leader: "keeper-1"}
	b.ReportMetric(float64(proto.Size(q)+proto.Size(a)+64), "B/s")
	for range b.N {
	}
}

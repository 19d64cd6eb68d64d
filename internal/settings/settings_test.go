package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

const validTree = `{
 "branches": {"root": {"budget": "b", "pools": ["p"], "limits": {"max_time": "60s", "max_concurrent": 7}},
              "x": {"parent": "root", "limits": {"max_concurrent": 9}}},
 "workspaces": {"w": {"branch": "x", "key_sha256": ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"], "limits": {"retry_percent": 0}}},
 "budgets": {"b": {}}, "topups": {"b": {"t": {"tokens": 5}, "u": {"tokens": 6, "hall": "h"}}},
 "pools": {"p": {"kind": "model", "models": ["m"]}},
 "servers": {"s": {"pool": "p", "hall": "h", "agent": "127.0.0.1:1", "slots": 2, "epoch": 4}}
}`

func TestParseTreeReportsFieldAndReason(t *testing.T) {
	tests := []struct {
		name, old, with, want string
	}{
		{"sound", "", "", ""},
		{"unknown field", `"slots": 2`, `"slot": 2`, `servers.s.slot: `},
		{"repeated name", `"budgets": {"b": {}}`, `"budgets": {"b": {}, "b": {}}`, `budgets.b: `},
		{"wrong type", `"slots": 2`, `"slots": "2"`, `servers.s.slots: `},
		{"wrong time", `"60s"`, `"60"`, `branches.root.limits.max_time: `},
		{"missing address", `"agent": "127.0.0.1:1"`, `"agent": ""`, `servers.s.agent: missing address`},
		{"not an address", `"127.0.0.1:1"`, `"host"`, `servers.s.agent: "host" is not host:port`},
		{"negative budget", `{"tokens": 5}`, `{"tokens": -5}`, `topups.b.t.tokens: -5 is below 1`},
		{"unknown parent", `"parent": "root"`, `"parent": "y"`, `branches.x.parent: unknown parent "y"`},
		{"circle", `"parent": "root"`, `"parent": "x"`, `branches.x.parent: the parents form a circle`},
		{"unknown branch", `"branch": "x"`, `"branch": "y"`, `workspaces.w.branch: unknown parent "y"`},
		{"unknown budget", `"budget": "b"`, `"budget": "c"`, `branches.root.budget: unknown budget "c"`},
		{"unknown pool", `"pool": "p"`, `"pool": "q"`, `servers.s.pool: unknown pool "q"`},
		{"bad hash", `2c26b46b`, `2C26B46B`, `workspaces.w.key_sha256.0: not 64`},
		{"unknown state", `"epoch": 4`, `"state": "gone"`, `servers.s.state: "gone"`},
		{"no root", `"root": {`, `"rot": {`, `branches.root: missing`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseTree("tree.json", []byte(strings.Replace(validTree, tt.old, tt.with, 1)))
			switch {
			case tt.want == "" && err != nil:
				t.Error(err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), "tree.json") || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("want tree.json and %q in: %v", tt.want, err)
			}
		})
	}
}

func TestInheritance(t *testing.T) {
	tree, err := ParseTree("tree.json", []byte(validTree))
	if err != nil {
		t.Fatal(err)
	}
	v := NewView(1, tree.Objects())
	w := v.Authenticate("foo")
	if w == nil || v.Authenticate("bar") != nil {
		t.Fatal("a wrong key authenticates, or the right one does not")
	}
	want := ResolvedWorkspace{ID: "w", Budget: "b", Pools: w.Pools, Limits: defaultLimits}
	want.Limits.MaxTime, want.Limits.MaxConcurrent, want.Limits.RetryPercent = time.Minute, 9, 0
	if diff := cmp.Diff(want, *w); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	total, hall := tree.Total("b")
	if total != 11 || len(hall) != 1 || hall[0] != "u" {
		t.Errorf("total %d, hall top-ups %v", total, hall)
	}
}

func apply(t *testing.T, m *Machine, r *wire.ChangeRequest) *wire.ChangeReply {
	t.Helper()
	data, err := proto.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(0, data).(*wire.ChangeReply)
}

func TestConflictsAndRetries(t *testing.T) {
	m := NewMachine("s")
	set := func(note string) []*wire.SettingsObject {
		return []*wire.SettingsObject{{Path: "budgets/b", Json: []byte(`{"note":"` + note + `"}`)}}
	}
	const (
		committed = wire.ChangeStatus_CHANGE_STATUS_COMMITTED
		conflict  = wire.ChangeStatus_CHANGE_STATUS_CONFLICT
		invalid   = wire.ChangeStatus_CHANGE_STATUS_INVALID
	)
	steps := []struct {
		id       string
		base     uint64
		objects  []*wire.SettingsObject
		status   wire.ChangeStatus
		revision uint64
		winner   string
	}{
		{"one", 0, set("1"), committed, 1, ""},
		{"two", 0, set("2"), conflict, 1, "one"},
		{"one", 0, set("1"), committed, 1, ""},
		{"three", 1, []*wire.SettingsObject{{Path: "budgets/b", Json: []byte(`{"x":1}`)}}, invalid, 1, ""},
		{"three", 1, set("3"), committed, 2, ""},
		{"one", 2, set("other"), committed, 1, ""},
		{"ahead", 9, set("9"), conflict, 2, ""},
	}
	for i, st := range steps {
		r := apply(t, m, &wire.ChangeRequest{ChangeId: st.id, BaseRevision: st.base, Objects: st.objects})
		if r.GetStatus() != st.status || r.GetRevision() != st.revision || r.GetWinner().GetChangeId() != st.winner {
			t.Errorf("step %d: %v", i, r)
		}
	}
}

// A follower gets deltas if the history reaches back to its revision and a
// snapshot otherwise, and it rejects lower revisions.
func TestFollower(t *testing.T) {
	m := NewMachine("s")
	for i, note := range []string{"1", "2", "3"} {
		apply(t, m, &wire.ChangeRequest{ChangeId: note, BaseRevision: uint64(i), Objects: []*wire.SettingsObject{{Path: "budgets/b" + note, Json: []byte(`{}`)}}})
	}
	sync := func(session string, revision uint64) *wire.SyncReply {
		r, err := m.Sync(&wire.SyncRequest{Session: session, Revision: revision})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	tests := []struct {
		name     string
		session  string
		revision uint64
		snapshot bool
		objects  int
	}{
		{"new", "", 0, true, 4},
		{"behind", "s", 1, false, 2},
		{"current", "s", 3, false, 0},
		{"another history", "other", 3, true, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if r := sync(tt.session, tt.revision); r.GetSnapshot() != tt.snapshot || len(r.GetObjects()) != tt.objects {
				t.Errorf("snapshot %v with %d objects", r.GetSnapshot(), len(r.GetObjects()))
			}
		})
	}
	f := &Follower{}
	if v, err := f.Apply(sync("", 0)); err != nil || v.Revision != 3 {
		t.Fatal(v, err)
	}
	if _, err := f.Apply(&wire.SyncReply{Session: "s", Revision: 2, Snapshot: true}); err == nil {
		t.Error("the follower accepted a lower revision")
	}
}

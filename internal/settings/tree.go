package settings

import (
	"encoding/hex"
	"maps"
	"net"
	"slices"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
)

// hashHexLength is the length of a SHA-256 digest in hexadecimal.
const hashHexLength = 64

// Tree is a validated, immutable tree of settings.
type Tree struct {
	objects Objects
}

// EmptyTree returns the initial tree of a new system.
func EmptyTree() *Tree {
	return &Tree{Objects{Branches: map[string]Branch{RootBranch: {}}}}
}

// NewTree validates the objects and returns them as a tree.
func NewTree(o Objects) (*Tree, error) {
	t := &Tree{o}
	if err := t.check(); err != nil {
		return nil, err
	}
	return t, nil
}

// FromWire validates and returns the complete tree sent by a keeper.
func FromWire(objects []*wire.SettingsObject) (*Tree, error) {
	o, err := Objects{}.withChanges(objects)
	if err != nil {
		return nil, err
	}
	return NewTree(o)
}

// Get returns the JSON of one object.
func (t *Tree) Get(path string) ([]byte, error) {
	all, err := t.objects.ToWire()
	if err != nil {
		return nil, err
	}
	for _, o := range all {
		if o.GetPath() == path {
			return o.GetJson(), nil
		}
	}
	return nil, trace.NotFound("%s: no such object", path)
}

// Objects returns the content of the tree; callers must not modify it.
func (t *Tree) Objects() *Objects { return &t.objects }

// With returns the tree with objects set or removed, if the result is valid.
func (t *Tree) With(changes []*wire.SettingsObject) (*Tree, error) {
	o, err := t.objects.withChanges(changes)
	if err != nil {
		return nil, err
	}
	next, err := NewTree(o)
	if err != nil {
		return nil, err
	}
	return next, t.checkEpochs(next)
}

// checkEpochs rejects a change that lowers a backend server's epoch: a fenced
// owner would get access again.
func (t *Tree) checkEpochs(next *Tree) error {
	return forEachSorted(next.objects.Servers, func(id string, s Server) error {
		if old := t.objects.Servers[id].Epoch; s.Epoch < old {
			return trace.BadParameter("servers.%s.epoch: %d is below %d, which was in force", id, s.Epoch, old)
		}
		return nil
	})
}

// check reports the first error in a fixed order, as replicas must agree on it.
func (t *Tree) check() error {
	checks := []func() error{
		t.checkBranches, t.checkBudgets, t.checkPools, t.checkServers, t.checkWorkspaces,
	}
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// forEachSorted calls f for the objects of m in ascending order of their ids.
func forEachSorted[T any](m map[string]T, f func(id string, v T) error) error {
	for _, id := range slices.Sorted(maps.Keys(m)) {
		if err := f(id, m[id]); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tree) checkBranches() error {
	o := &t.objects
	if _, ok := o.Branches[RootBranch]; !ok {
		return trace.BadParameter("branches.root: missing")
	}
	return forEachSorted(o.Branches, func(id string, b Branch) error {
		at := "branches." + id
		if (id == RootBranch) != (b.Parent == "") {
			return trace.BadParameter("%s.parent: only root has no parent, and it has none", at)
		}
		if _, ok := o.Branches[b.Parent]; !ok && id != RootBranch {
			return trace.BadParameter("%s.parent: unknown parent %q", at, b.Parent)
		}
		if !t.reachesRoot(id) {
			return trace.BadParameter("%s.parent: the parents form a circle", at)
		}
		return t.checkInherited(at, b.Budget, b.Pools, b.Limits)
	})
}

func (t *Tree) reachesRoot(id string) bool {
	for range len(t.objects.Branches) {
		if id == RootBranch {
			return true
		}
		id = t.objects.Branches[id].Parent
	}
	return id == RootBranch
}

func (t *Tree) checkInherited(at string, budget sumachead.BudgetID, pools []sumachead.PoolID, l Limits) error {
	if _, ok := t.objects.Budgets[string(budget)]; !ok && budget != "" {
		return trace.BadParameter("%s.budget: unknown budget %q", at, budget)
	}
	for i, p := range pools {
		if _, ok := t.objects.Pools[string(p)]; !ok {
			return trace.BadParameter("%s.pools.%d: unknown pool %q", at, i, p)
		}
	}
	return checkLimits(at+".limits", l)
}

func checkLimits(at string, l Limits) error {
	limits := []struct {
		name  string
		value *int64
		min   int64
	}{
		{"max_body_bytes", l.MaxBodyBytes, 1},
		{"max_output_tokens", l.MaxOutputTokens, 1},
		{"default_output_tokens", l.DefaultOutputTokens, 1},
		{"max_concurrent", l.MaxConcurrent, 1},
		{"retry_percent", l.RetryPercent, 0},
	}
	for _, x := range limits {
		if x.value != nil && *x.value < x.min {
			return trace.BadParameter("%s.%s: %d is below %d", at, x.name, *x.value, x.min)
		}
	}
	if l.MaxTime != nil && l.MaxTime.Duration <= 0 {
		return trace.BadParameter("%s.max_time: must be above 0", at)
	}
	return nil
}

func (t *Tree) checkBudgets() error {
	return forEachSorted(t.objects.Topups, func(budget string, topups map[string]Topup) error {
		if _, ok := t.objects.Budgets[budget]; !ok {
			return trace.BadParameter("topups.%s: unknown budget", budget)
		}
		return forEachSorted(topups, func(id string, u Topup) error {
			if u.Tokens < 1 {
				return trace.BadParameter("topups.%s.%s.tokens: %d is below 1", budget, id, u.Tokens)
			}
			return nil
		})
	})
}

func (t *Tree) checkPools() error {
	return forEachSorted(t.objects.Pools, func(id string, p Pool) error {
		at := "pools." + id
		switch p.Kind {
		case ModelPool, ServicePool:
		default:
			return trace.BadParameter("%s.kind: %q is neither model nor service", at, p.Kind)
		}
		switch p.CutOff {
		case "", CutOffRefuse, CutOffServe:
		default:
			return trace.BadParameter("%s.cut_off: %q is neither refuse nor serve", at, p.CutOff)
		}
		if p.CallCost < 0 {
			return trace.BadParameter("%s.call_cost: %d is below 0", at, p.CallCost)
		}
		return nil
	})
}

func (t *Tree) checkServers() error {
	agents := make(map[string]string)
	return forEachSorted(t.objects.Servers, func(id string, s Server) error {
		at := "servers." + id
		if _, ok := t.objects.Pools[string(s.Pool)]; !ok {
			return trace.BadParameter("%s.pool: unknown pool %q", at, s.Pool)
		}
		if s.Hall == "" {
			return trace.BadParameter("%s.hall: missing", at)
		}
		if err := checkAddress(at+".agent", s.Agent); err != nil {
			return err
		}
		if other, ok := agents[s.Agent]; ok {
			return trace.BadParameter("%s.agent: %s is the agent of %s already", at, s.Agent, other)
		}
		agents[s.Agent] = id
		if s.Slots < 1 {
			return trace.BadParameter("%s.slots: %d is below 1", at, s.Slots)
		}
		switch s.State {
		case "", ServerActive, ServerLeaving:
		default:
			return trace.BadParameter("%s.state: %q is neither active nor leaving", at, s.State)
		}
		return nil
	})
}

// checkAddress reports an address that is missing or not host:port.
func checkAddress(at, address string) error {
	if address == "" {
		return trace.BadParameter("%s: missing address", at)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return trace.BadParameter("%s: %q is not host:port", at, address)
	}
	return nil
}

func (t *Tree) checkWorkspaces() error {
	owners := make(map[string]string)
	return forEachSorted(t.objects.Workspaces, func(id string, w Workspace) error {
		at := "workspaces." + id
		if _, ok := t.objects.Branches[w.Branch]; !ok {
			return trace.BadParameter("%s.branch: unknown parent %q", at, w.Branch)
		}
		for i, h := range w.KeySHA256 {
			if b, err := hex.DecodeString(h); err != nil || len(h) != hashHexLength || hex.EncodeToString(b) != h {
				return trace.BadParameter("%s.key_sha256.%d: not 64 lower-case hexadecimal digits", at, i)
			}
			if other, ok := owners[h]; ok {
				return trace.BadParameter("%s.key_sha256.%d: the key opens %s already", at, i, other)
			}
			owners[h] = id
		}
		return t.checkInherited(at, w.Budget, w.Pools, w.Limits)
	})
}

// Total returns the sum of a budget's top-ups, and the ids of those that a
// data hall accepted while cut off.
func (t *Tree) Total(budget string) (total sumachead.Tokens, hallTopups []string) {
	for id, u := range t.objects.Topups[budget] {
		total += u.Tokens
		if u.Hall != "" {
			hallTopups = append(hallTopups, id)
		}
	}
	slices.Sort(hallTopups)
	return total, hallTopups
}

// HallsServingCutOff lists the data halls with a backend server whose pool continues
// to serve while cut off from the keepers' quorum.
func (t *Tree) HallsServingCutOff() []sumachead.HallID {
	var halls []sumachead.HallID
	for _, s := range t.objects.Servers {
		if t.objects.Pools[string(s.Pool)].CutOff != CutOffRefuse && !slices.Contains(halls, s.Hall) {
			halls = append(halls, s.Hall)
		}
	}
	slices.Sort(halls)
	return halls
}

package settings

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
	"sumachead/internal/strictjson"
)

// ReadFile reads and validates a complete tree.
func ReadFile(path string) (*Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseTree(path, data)
}

// ParseTree parses and validates a complete tree; name is used in errors.
func ParseTree(name string, data []byte) (*Tree, error) {
	var o Objects
	if err := strictjson.Decode(name, data, &o); err != nil {
		return nil, err
	}
	t, err := NewTree(o)
	if err != nil {
		return nil, trace.Wrap(err, "%s", name)
	}
	return t, nil
}

// set decodes one object and stores it at path; empty data removes the object.
func (o *Objects) set(path string, data []byte) error {
	kind, id, _ := strings.Cut(path, "/")
	switch kind {
	case KindBranches:
		return setObject(o.Branches, path, id, data)
	case KindWorkspaces:
		return setObject(o.Workspaces, path, id, data)
	case KindBudgets:
		return setObject(o.Budgets, path, id, data)
	case KindPools:
		return setObject(o.Pools, path, id, data)
	case KindServers:
		return setObject(o.Servers, path, id, data)
	case KindTopups:
		return o.setTopup(path, id, data)
	}
	return trace.BadParameter("%s: unknown kind of object %q", path, kind)
}

func (o *Objects) setTopup(path, id string, data []byte) error {
	budget, topup, ok := strings.Cut(id, "/")
	if !ok {
		return trace.BadParameter("%s: a top-up's path is topups/BUDGET/ID", path)
	}
	topups := cloneMap(o.Topups[budget])
	if err := setObject(topups, path, topup, data); err != nil {
		return err
	}
	o.Topups[budget] = topups
	if len(topups) == 0 {
		delete(o.Topups, budget)
	}
	return nil
}

// setObject sets or removes one object of m.
func setObject[T any](m map[string]T, path, id string, data []byte) error {
	if id == "" || strings.Contains(id, "/") {
		return trace.BadParameter("%s: the id is empty or has a slash", path)
	}
	if len(data) == 0 {
		delete(m, id)
		return nil
	}
	var v T
	if err := strictjson.Decode(path, data, &v); err != nil {
		return err
	}
	m[id] = v
	return nil
}

// cloneMap returns a copy of m; it is never nil.
func cloneMap[T any](m map[string]T) map[string]T {
	if m == nil {
		return make(map[string]T)
	}
	return maps.Clone(m)
}

// withChanges returns a copy of the objects with the changes applied.
func (o Objects) withChanges(changes []*wire.SettingsObject) (Objects, error) {
	o.Branches = cloneMap(o.Branches)
	o.Workspaces = cloneMap(o.Workspaces)
	o.Budgets = cloneMap(o.Budgets)
	o.Topups = cloneMap(o.Topups)
	o.Pools = cloneMap(o.Pools)
	o.Servers = cloneMap(o.Servers)
	for _, c := range changes {
		if err := o.set(c.GetPath(), c.GetJson()); err != nil {
			return o, err
		}
	}
	return o, nil
}

// ToWire returns the objects as wire messages, sorted by path.
func (o *Objects) ToWire() ([]*wire.SettingsObject, error) {
	var out []*wire.SettingsObject
	add := func(path string, v any) error {
		data, err := strictjson.Encode(v)
		if err != nil {
			return trace.Wrap(err, "%s", path)
		}
		out = append(out, &wire.SettingsObject{Path: path, Json: data})
		return nil
	}
	err := errors.Join(
		addAll(KindBranches, o.Branches, add),
		addAll(KindBudgets, o.Budgets, add),
		addAll(KindPools, o.Pools, add),
		addAll(KindServers, o.Servers, add),
		addAll(KindWorkspaces, o.Workspaces, add),
	)
	for _, b := range slices.Sorted(maps.Keys(o.Topups)) {
		err = errors.Join(err, addAll(KindTopups+"/"+b, o.Topups[b], add))
	}
	return out, err
}

func addAll[T any](prefix string, m map[string]T, add func(string, any) error) error {
	for _, id := range slices.Sorted(maps.Keys(m)) {
		if err := add(prefix+"/"+id, m[id]); err != nil {
			return err
		}
	}
	return nil
}

// Diff returns the changes that turn from into to.
func Diff(from, to *Tree) ([]*wire.SettingsObject, error) {
	old, err := from.objects.ToWire()
	if err != nil {
		return nil, err
	}
	updated, err := to.objects.ToWire()
	if err != nil {
		return nil, err
	}
	before := make(map[string][]byte, len(old))
	for _, o := range old {
		before[o.GetPath()] = o.GetJson()
	}
	var changes []*wire.SettingsObject
	for _, o := range updated {
		if !bytes.Equal(before[o.GetPath()], o.GetJson()) {
			changes = append(changes, o)
		}
		delete(before, o.GetPath())
	}
	for _, path := range slices.Sorted(maps.Keys(before)) {
		changes = append(changes, &wire.SettingsObject{Path: path})
	}
	return changes, nil
}

package registry

import (
	"slices"
	"strings"

	"sumachead/api/wire"
)

// While a service is moved to another version, servers of the target version get requests only
// as samples; once it has moved, those of the versions before get none, and after it was rolled
// back those of the target version, until that is ordered again. Without an order all versions are used: servers may be
// replaced by those of another version without one.

// use is what servers of a version are for.
type use int

const (
	useAll use = iota
	// useSamples: they get samples only.
	useSamples
	// useNone: they get nothing new.
	useNone
)

// TakeRollouts puts roll-outs in force, and returns those that have changed. Roll-outs with a
// lower revision than the newest are passed over: what is known never goes back within a life
// of this process.
func (t *Table) TakeRollouts(s *wire.Rollouts) (changed []*wire.Rollout) {
	t.lock()
	defer t.mu.Unlock()
	if s.GetRevision() <= t.rolloutsRevision {
		return nil
	}
	if t.rollouts == nil {
		t.rollouts = make(map[string]*wire.Rollout)
	}
	for _, r := range s.GetRollouts() {
		if r.GetRevision() > t.rolloutsRevision {
			changed = append(changed, r)
		}
		t.rollouts[r.GetService()] = r
	}
	t.rolloutsRevision = s.GetRevision()
	t.lists = nil
	t.notify()
	return changed
}

// RolloutsRevision returns the revision of the newest roll-outs that were taken.
func (t *Table) RolloutsRevision() uint64 {
	t.lock()
	defer t.mu.Unlock()
	return t.rolloutsRevision
}

// useOf returns what a server is for. The caller holds mu.
func (t *Table) useOf(r *wire.ServerRecord) use {
	o := t.rollouts[r.GetService()]
	if o == nil {
		return useAll
	}
	if slices.Contains(o.GetRejected(), r.GetSoftware()) {
		return useNone
	}
	target := r.GetSoftware() == o.GetTarget()
	switch o.GetPhase() {
	case wire.RolloutPhase_ROLLOUT_PHASE_TRIAL:
		if target {
			return useSamples
		}
	case wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		if target {
			return useNone
		}
	default:
		if slices.Contains(o.GetReplaced(), r.GetSoftware()) {
			return useNone
		}
	}
	return useAll
}

// OnTrial lists the servers of a service that get samples only, like Servers.
func (t *Table) OnTrial(service string, halls []string) []*wire.ServerRecord {
	return t.list(service, halls, useSamples)
}

// listKey names a list of records.
type listKey struct {
	service string
	use     use
	// some: only servers of the halls named are listed.
	some  bool
	halls string
}

// list lists the servers of a service that are for a use.
func (t *Table) list(service string, halls []string, u use) []*wire.ServerRecord {
	t.lock()
	defer t.mu.Unlock()
	key := listKey{service, u, halls != nil, strings.Join(halls, ",")}
	if out, ok := t.lists[key]; ok {
		return out
	}
	var out []*wire.ServerRecord
	for _, e := range t.entries {
		if e.of(service, halls) && !t.halls[e.record.GetHall()].vacated && t.useOf(e.record) == u {
			out = append(out, e.record)
		}
	}
	if t.lists == nil {
		t.lists = make(map[listKey][]*wire.ServerRecord)
	}
	t.lists[key] = out
	return out
}

// Versions returns the slots of a service's servers that are ready, by their version; those of
// which nothing is known but that they are silent count with none.
func (t *Table) Versions(service string) map[string]uint32 {
	t.lock()
	defer t.mu.Unlock()
	out := make(map[string]uint32)
	for _, e := range t.entries {
		if !e.of(service, nil) {
			continue
		}
		slots := e.record.GetSlots()
		if e.record.GetState() != wire.ServerState_SERVER_STATE_READY {
			slots = 0
		}
		out[e.record.GetSoftware()] += slots
	}
	return out
}

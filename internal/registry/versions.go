package registry

import (
	"slices"
	"strings"

	"sumachead/api/wire"
)

// During a rollout of a service, servers of the target version get canary requests only; once
// the service has moved, the replaced versions get no requests, and after a rollback the target
// version gets none until it is ordered again. Without an order all versions are used, since
// servers may be replaced by those of another version without a rollout.

// traffic is the kind of requests that servers of a version get.
type traffic int

const (
	trafficAll traffic = iota
	// trafficCanary is canary requests only.
	trafficCanary
	// trafficNone is no new requests.
	trafficNone
)

// ApplyRollouts applies rollouts and returns those that have changed. Rollouts with a revision
// that is not above the newest are ignored, so that known state never goes back within an
// incarnation of this process.
func (t *Table) ApplyRollouts(s *wire.Rollouts) (changed []*wire.Rollout) {
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
	t.listCache = nil
	t.notify()
	return changed
}

// RolloutsRevision returns the revision of the newest rollouts that were applied.
func (t *Table) RolloutsRevision() uint64 {
	t.lock()
	defer t.mu.Unlock()
	return t.rolloutsRevision
}

// trafficOf returns the kind of requests that a server gets. The caller holds mu.
func (t *Table) trafficOf(r *wire.ServerRecord) traffic {
	o := t.rollouts[r.GetService()]
	if o == nil {
		return trafficAll
	}
	if slices.Contains(o.GetRejected(), r.GetSoftware()) {
		return trafficNone
	}
	target := r.GetSoftware() == o.GetTarget()
	switch o.GetPhase() {
	case wire.RolloutPhase_ROLLOUT_PHASE_TRIAL:
		if target {
			return trafficCanary
		}
	case wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		if target {
			return trafficNone
		}
	default:
		if slices.Contains(o.GetReplaced(), r.GetSoftware()) {
			return trafficNone
		}
	}
	return trafficAll
}

// CanaryServers lists the servers of a service that get canary requests only, in the same form
// as Servers.
func (t *Table) CanaryServers(service string, halls []string) []*wire.ServerRecord {
	return t.list(service, halls, trafficCanary)
}

// listKey identifies a list of records in the cache.
type listKey struct {
	service string
	traffic traffic
	// filtered is set if only servers of the given halls are listed.
	filtered bool
	halls    string
}

// list lists the servers of a service that get a kind of requests.
func (t *Table) list(service string, halls []string, k traffic) []*wire.ServerRecord {
	t.lock()
	defer t.mu.Unlock()
	key := listKey{service, k, halls != nil, strings.Join(halls, ",")}
	if out, ok := t.listCache[key]; ok {
		return out
	}
	var out []*wire.ServerRecord
	for _, e := range t.entries {
		if e.serves(service, halls) && !t.halls[e.record.GetHall()].vacated && t.trafficOf(e.record) == k {
			out = append(out, e.record)
		}
	}
	if t.listCache == nil {
		t.listCache = make(map[listKey][]*wire.ServerRecord)
	}
	t.listCache[key] = out
	return out
}

// OnlyVersion returns the software version of a service if all of its known servers have the same
// one, including those that are leaving or have left in the last minutes.
func (t *Table) OnlyVersion(service string) (software string, ok bool) {
	t.lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch r := e.record; {
		case r.GetService() != service:
		case !ok:
			software, ok = r.GetSoftware(), true
		case software != r.GetSoftware():
			return "", false
		}
	}
	return software, ok
}

// SlotsByVersion returns the slots of a service's ready servers by version. Silent servers are
// included with no slots.
func (t *Table) SlotsByVersion(service string) map[string]uint32 {
	t.lock()
	defer t.mu.Unlock()
	out := make(map[string]uint32)
	for _, e := range t.entries {
		if !e.serves(service, nil) {
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

package escrow

import (
	"slices"
	"time"

	"sumachead"
)

// When a workspace is short of tokens that other holders have available, only those holders are
// asked to return them. Notifying every follower of the ledger would cost as many messages as
// there are followers, for each workspace.

// reclaimState is what a node has been asked to return.
type reclaimState struct {
	// requestedAt is when the node was last asked, by workspace.
	requestedAt map[sumachead.WorkspaceID]time.Time
	// changed is closed when a workspace is added.
	changed chan struct{}
}

// reclaimsOf returns the node's reclaim state. The caller holds mu.
func (s *Allocator) reclaimsOf(n sumachead.NodeID) *reclaimState {
	if s.reclaims == nil {
		s.reclaims = make(map[sumachead.NodeID]*reclaimState)
	}
	if s.reclaims[n] == nil {
		s.reclaims[n] = &reclaimState{requestedAt: make(map[sumachead.WorkspaceID]time.Time), changed: make(chan struct{})}
	}
	return s.reclaims[n]
}

// reclaimFromOthers asks the holders of a workspace's tokens, except the one that is short, to
// return what they have available. The caller holds mu.
func (s *Allocator) reclaimFromOthers(b *Ledger, w sumachead.WorkspaceID, by Holder, now time.Time) {
	for h, x := range b.Holdings(w) {
		if h == by || x.Outstanding() <= x.Spent || !s.isLive(h) {
			continue
		}
		a := s.reclaimsOf(h.Node)
		if now.Sub(a.requestedAt[w]) > shortfallTimeout {
			close(a.changed)
			a.changed = make(chan struct{})
		}
		a.requestedAt[w] = now
	}
}

// ReclaimRequests lists the workspaces whose available tokens a node is asked to return because
// another holder is short, and returns a channel that is closed when a workspace is added.
func (s *Allocator) ReclaimRequests(n sumachead.NodeID, now time.Time) (ws []string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.reclaimsOf(n)
	for w, at := range a.requestedAt {
		if _, wanted := s.shortfalls[w]; !wanted || now.Sub(at) > shortfallTimeout {
			delete(a.requestedAt, w)
			continue
		}
		ws = append(ws, string(w))
	}
	slices.Sort(ws)
	return ws, a.changed
}

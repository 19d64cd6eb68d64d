package escrow

import (
	"slices"
	"time"

	"sumachead"
)

// Where a workspace lacks money that other holders have at hand, these are asked to give back, and
// nobody else: what is told of a lack to all that follow the ledger would cost as many messages
// as there are of them, for each workspace.

// asked is what a node has been asked to give back.
type asked struct {
	// of are the workspaces, by when the node was last asked.
	of map[sumachead.WorkspaceID]time.Time
	// changed is closed when there is another.
	changed chan struct{}
}

// askedOf returns what a node has been asked for. The caller holds mu.
func (s *Sizer) askedOf(n sumachead.NodeID) *asked {
	if s.asked == nil {
		s.asked = make(map[sumachead.NodeID]*asked)
	}
	if s.asked[n] == nil {
		s.asked[n] = &asked{of: make(map[sumachead.WorkspaceID]time.Time), changed: make(chan struct{})}
	}
	return s.asked[n]
}

// askOthers asks the holders of a workspace's money, but for one that lacks some, to give back
// what they have at hand. The caller holds mu.
func (s *Sizer) askOthers(b *Book, w sumachead.WorkspaceID, by Holder, now time.Time) {
	for h, x := range b.Holdings(w) {
		if h == by || x.Out() <= x.Spent || !s.live(h) {
			continue
		}
		a := s.askedOf(h.Node)
		if now.Sub(a.of[w]) > wantFor {
			close(a.changed)
			a.changed = make(chan struct{})
		}
		a.of[w] = now
	}
}

// Lacking lists the workspaces of which a node is to give back what it has at hand, since another
// holder lacks some, and returns a channel that is closed when there is another.
func (s *Sizer) Lacking(n sumachead.NodeID, now time.Time) (ws []string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.askedOf(n)
	for w, at := range a.of {
		if _, wanted := s.wants[w]; !wanted || now.Sub(at) > wantFor {
			delete(a.of, w)
			continue
		}
		ws = append(ws, string(w))
	}
	slices.Sort(ws)
	return ws, a.changed
}

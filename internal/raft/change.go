package raft

import (
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// IsMember reports whether ms hold a member's id in its incarnation.
func IsMember(ms []*wire.Member, m *wire.Member) bool {
	for _, x := range ms {
		if x.GetId() == m.GetId() {
			return x.GetIncarnation() == m.GetIncarnation()
		}
	}
	return false
}

// WithLearner returns ms with a member as a learner, for [Node.ChangeMembers]; nil
// when it is a member already. A new incarnation takes the place of its lost
// self, which loses its vote in the same step.
func WithLearner(ms *wire.Members, m *wire.Member) *wire.Members {
	if IsMember(ms.GetMembers(), m) {
		return nil
	}
	next := Without(ms, m.GetId())
	next.Members = append(next.Members, &wire.Member{
		Id: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Learner: true,
	})
	return next
}

// Without returns ms without the member of an id, for [Node.ChangeMembers].
func Without(ms *wire.Members, id string) *wire.Members {
	next := &wire.Members{}
	for _, m := range ms.GetMembers() {
		if m.GetId() != id {
			next.Members = append(next.Members, proto.CloneOf(m))
		}
	}
	return next
}

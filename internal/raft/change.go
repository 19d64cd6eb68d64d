package raft

import (
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// IsMember reports whether ms contains m with the same id and incarnation.
func IsMember(ms []*wire.Member, m *wire.Member) bool {
	for _, x := range ms {
		if x.GetId() == m.GetId() {
			return x.GetIncarnation() == m.GetIncarnation()
		}
	}
	return false
}

// WithLearner returns a copy of ms that includes m as a learner, for [Node.ChangeMembers],
// or nil if m is already a member. A new incarnation replaces the previous one, which
// loses its vote in the same change.
func WithLearner(ms *wire.Members, m *wire.Member) *wire.Members {
	if IsMember(ms.GetMembers(), m) {
		return nil
	}
	next := WithoutMember(ms, m.GetId())
	next.Members = append(next.Members, &wire.Member{
		Id: m.GetId(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Learner: true,
	})
	return next
}

// WithoutMember returns a copy of ms without the member id, for [Node.ChangeMembers].
func WithoutMember(ms *wire.Members, id string) *wire.Members {
	next := &wire.Members{}
	for _, m := range ms.GetMembers() {
		if m.GetId() != id {
			next.Members = append(next.Members, proto.CloneOf(m))
		}
	}
	return next
}

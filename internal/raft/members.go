package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// refreshMembers applies the latest configuration in the log, committed or not.
func (c *Core) refreshMembers() {
	c.members, c.memberIndex = c.snapMembers, c.snapIndex
	for _, e := range slices.Backward(c.entries) {
		if e.GetKind() != wire.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		c.members, c.memberIndex = decodeMembers(e), e.GetIndex()
		break
	}
	if c.role == Leader {
		c.trackPeers()
	}
}

func decodeMembers(e *wire.LogEntry) *wire.Members {
	m := &wire.Members{}
	if err := proto.Unmarshal(e.GetData(), m); err != nil {
		// The log has checksums and is written only by this package.
		panic("raft: decoding members entry: " + err.Error())
	}
	return m
}

func (c *Core) member(id string) *wire.Member {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// isVoter reports whether id is a voter; for this member the incarnation must match too.
func (c *Core) isVoter(id string) bool {
	m := c.member(id)
	if m == nil || m.GetLearner() {
		return false
	}
	return id != c.cfg.ID || m.GetIncarnation() == c.cfg.Incarnation
}

func (c *Core) voters() []*wire.Member {
	var vs []*wire.Member
	for _, m := range c.members.GetMembers() {
		if !m.GetLearner() {
			vs = append(vs, m)
		}
	}
	return vs
}

func (c *Core) quorum() int { return len(c.voters())/2 + 1 }

// ProposeMembers starts a membership change. The new configuration must differ from the
// current one in at most one voter. The change is rejected until the previous change and
// this leader's first entry are committed.
func (c *Core) ProposeMembers(m *wire.Members) (index uint64, ok bool) {
	if c.role != Leader || c.memberIndex > c.commit {
		return 0, false
	}
	if t, _ := c.termAt(c.commit); t != c.term {
		return 0, false
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, false
	}
	old := c.members
	index = c.append(wire.EntryKind_ENTRY_KIND_MEMBERS, data)
	for _, n := range m.GetMembers() {
		if !IsMember(old.GetMembers(), n) && c.peers[n.GetId()] != nil {
			c.peers[n.GetId()] = &progress{next: c.lastIndex() + 1, probing: true}
		}
	}
	c.broadcast()
	return index, true
}

// MembersAt returns the configuration at an index of the log.
func (c *Core) MembersAt(index uint64) *wire.Members {
	ms := c.snapMembers
	for _, e := range c.entries {
		if e.GetIndex() > index {
			break
		}
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERS {
			ms = decodeMembers(e)
		}
	}
	return ms
}

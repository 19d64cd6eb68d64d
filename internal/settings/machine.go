package settings

import (
	"fmt"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// maxHistory is the number of changes kept to deduplicate retries, to list
// for operators, and to send to followers as deltas.
const maxHistory = 4096

// StaleRevisionError reports settings older than the ones in force.
type StaleRevisionError struct{ Have, Got uint64 }

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("settings revision %d is older than %d, which is in force", e.Got, e.Have)
}

// Machine is the replicated state machine of the settings tree and its change
// history. Reads are safe for concurrent use.
type Machine struct {
	// Session identifies this history of revisions. A follower with another
	// session needs a snapshot.
	Session string

	mu       sync.RWMutex // guards the fields below
	tree     *Tree
	revision uint64
	history  []*wire.ChangeRecord
	byID     map[string]*wire.ChangeRecord
	changed  chan struct{}
}

// NewMachine returns the initial state of a new system.
func NewMachine(session string) *Machine {
	return &Machine{
		Session: session, tree: EmptyTree(),
		byID: make(map[string]*wire.ChangeRecord), changed: make(chan struct{}),
	}
}

// Apply implements sumachead.StateMachine. The command is an encoded
// ChangeRequest and the result a *wire.ChangeReply.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var r wire.ChangeRequest
	if err := proto.Unmarshal(command, &r); err != nil {
		return &wire.ChangeReply{Status: wire.ChangeStatus_CHANGE_STATUS_INVALID, Detail: err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if done := m.byID[r.GetChangeId()]; done != nil {
		return &wire.ChangeReply{Status: wire.ChangeStatus_CHANGE_STATUS_COMMITTED, Revision: done.GetRevision()}
	}
	if r.GetBaseRevision() != m.revision {
		return m.conflict(&r)
	}
	next, err := m.tree.With(r.GetObjects())
	if err != nil {
		return &wire.ChangeReply{
			Status: wire.ChangeStatus_CHANGE_STATUS_INVALID, Revision: m.revision, Detail: trace.UserMessage(err),
		}
	}
	m.commit(next, &r)
	return &wire.ChangeReply{Status: wire.ChangeStatus_CHANGE_STATUS_COMMITTED, Revision: m.revision}
}

// conflict returns the reply to a change made against an old revision. It
// includes the change that was committed in place of r.
func (m *Machine) conflict(r *wire.ChangeRequest) *wire.ChangeReply {
	reply := &wire.ChangeReply{
		Status: wire.ChangeStatus_CHANGE_STATUS_CONFLICT, Revision: m.revision,
		Detail: fmt.Sprintf("made against revision %d, but the tree is at %d", r.GetBaseRevision(), m.revision),
	}
	for _, h := range m.history {
		if h.GetRevision() == r.GetBaseRevision()+1 {
			reply.Winner = h
		}
	}
	return reply
}

func (m *Machine) commit(next *Tree, r *wire.ChangeRequest) {
	m.tree = next
	m.revision++
	m.appendHistory(&wire.ChangeRecord{
		Revision: m.revision, ChangeId: r.GetChangeId(), Author: r.GetAuthor(),
		AtUnixNano: r.GetAtUnixNano(), Objects: r.GetObjects(),
	})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) appendHistory(c *wire.ChangeRecord) {
	m.history = append(m.history, c)
	m.byID[c.GetChangeId()] = c
	if len(m.history) > maxHistory {
		delete(m.byID, m.history[0].GetChangeId())
		m.history = m.history[1:]
	}
}

// CommittedObjects returns the objects of a committed change as they were first
// received; the content of a retry is ignored.
func (m *Machine) CommittedObjects(r *wire.ChangeRequest) []*wire.SettingsObject {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if c := m.byID[r.GetChangeId()]; c != nil {
		return c.GetObjects()
	}
	return r.GetObjects()
}

// Snapshot implements sumachead.StateMachine.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	tree := m.tree
	s := &wire.SettingsSnapshot{Session: m.Session, Revision: m.revision, History: slices.Clone(m.history)}
	return func() (data []byte, err error) {
		if s.Objects, err = tree.objects.ToWire(); err != nil {
			return nil, err
		}
		data, err = proto.Marshal(s)
		return data, trace.Wrap(err)
	}
}

// Restore implements sumachead.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var s wire.SettingsSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return trace.Wrap(err)
	}
	o, err := Objects{}.withChanges(s.GetObjects())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Session, m.revision, m.tree = s.GetSession(), s.GetRevision(), &Tree{o}
	m.history, m.byID = nil, make(map[string]*wire.ChangeRecord)
	for _, c := range s.GetHistory() {
		m.appendHistory(c)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// Current returns the tree, its revision, and a channel that closes with the
// next change.
func (m *Machine) Current() (*Tree, uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tree, m.revision, m.changed
}

// Sync returns what a follower lacks: deltas if the history reaches back to its
// position, otherwise a snapshot. Objects of the kinds in r.Without are omitted.
func (m *Machine) Sync(r *wire.SyncRequest) (*wire.SyncReply, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply := &wire.SyncReply{Session: m.Session, Revision: m.revision}
	if r.GetSession() == m.Session && r.GetRevision() <= m.revision && m.hasDeltas(r.GetRevision()) {
		for _, c := range m.history {
			if c.GetRevision() > r.GetRevision() {
				reply.Objects = append(reply.Objects, excludeKinds(c.GetObjects(), r.GetWithout())...)
			}
		}
		return reply, nil
	}
	objects, err := m.tree.objects.ToWire()
	if err != nil {
		return nil, err
	}
	reply.Snapshot, reply.Objects = true, excludeKinds(objects, r.GetWithout())
	return reply, nil
}

// hasDeltas reports whether the history contains every change after revision.
func (m *Machine) hasDeltas(revision uint64) bool {
	return revision == m.revision || (len(m.history) > 0 && m.history[0].GetRevision() <= revision+1)
}

func excludeKinds(objects []*wire.SettingsObject, kinds []string) []*wire.SettingsObject {
	if len(kinds) == 0 {
		return objects
	}
	var kept []*wire.SettingsObject
	for _, o := range objects {
		if !slices.Contains(kinds, Kind(o.GetPath())) {
			kept = append(kept, o)
		}
	}
	return kept
}

// History returns the retained changes after a revision.
func (m *Machine) History(r *wire.HistoryRequest) *wire.HistoryReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply := &wire.HistoryReply{Revision: m.revision}
	for _, c := range m.history {
		if c.GetRevision() > r.GetFromRevision() && (r.GetLimit() == 0 || len(reply.GetRecords()) < int(r.GetLimit())) {
			reply.Records = append(reply.Records, c)
		}
	}
	return reply
}

package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/catalog"
	"sumachead/internal/escrow"
	"sumachead/internal/quarantine"
	"sumachead/internal/rollout"
)

// maxLeavingServers bounds the remembered incarnations of leaving servers: the restarts of a large
// fleet within some hours.
const maxLeavingServers = 4096

// StateMachine is the replicated state. It implements sumachead.StateMachine; its other methods
// may be called concurrently with Apply. Set OnLeaving before the first use.
type StateMachine struct {
	// OnLeaving is called for each server incarnation that begins to leave. It must not call the
	// state machine.
	OnLeaving func(id string)

	mu sync.Mutex // guards the fields below
	// declaration is the one in force; packed is its stored form.
	declaration *wire.Declaration
	packed      *wire.PackedDeclaration
	ledger      *escrow.Ledger
	// leaving holds the newest leaving incarnations, oldest first; leavingSet holds the same as a
	// set.
	leaving    []string
	leavingSet map[string]bool
	halls      hallStates
	suspects   quarantine.List
	rollouts   rollout.Store
	// retryServices are the services for which retries may have been granted within the last window.
	retryServices map[string]bool
	// changed is closed when a declaration comes into force, a hall order is accepted, a rollout
	// changes or the standing of a suspect changes.
	changed chan struct{}
}

// NewStateMachine returns the state before the first command.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		declaration: &wire.Declaration{}, packed: &wire.PackedDeclaration{}, ledger: escrow.NewLedger(),
		leavingSet: make(map[string]bool), retryServices: make(map[string]bool), changed: make(chan struct{}), rollouts: rollout.Store{Clock: boottime.Clock{}},
	}
}

// Apply implements sumachead.StateMachine.
func (m *StateMachine) Apply(_ uint64, command []byte) any {
	c := &wire.FleetCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		// The log is checksummed and written only by this package.
		panic("fleet: decoding a command from the log: " + err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.GetDeclare() != nil:
		return m.declare(c.GetDeclare())
	case c.GetGrants() != nil:
		var replies []*wire.EscrowReply
		for _, g := range c.GetGrants().GetGrants() {
			replies = append(replies, m.ledger.Apply(g))
		}
		return replies
	case c.GetLeaving() != nil:
		m.markLeaving(c.GetLeaving().GetId())
	case c.GetHall() != nil:
		reply := m.halls.apply(c.GetHall())
		m.notify()
		return reply
	case c.GetSuspects() != nil:
		m.suspects.Apply(c.GetSuspects())
		m.notify()
	case c.GetRollout() != nil:
		return m.applyRolloutOrder(c.GetRollout())
	case c.GetRolloutStep() != nil:
		reply := m.rollouts.Advance(c.GetRolloutStep())
		m.notify()
		return reply
	case c.GetRolloutAllowance() != nil:
		return m.rollouts.RaiseAllowance(c.GetRolloutAllowance())
	case c.GetRetryUse() != nil:
		m.applyRetryUse(c.GetRetryUse())
	}
	return nil
}

// declare puts a declaration in force if its number is the highest. The caller holds mu.
func (m *StateMachine) declare(p *wire.PackedDeclaration) *wire.DeclareReply {
	if p.GetNumber() > m.declaration.GetNumber() {
		if key := m.packed.GetFingerprintKey(); len(key) > 0 {
			p.FingerprintKey = key // the key of the first declaration is kept
		}
		d, err := catalog.Unpack(p)
		if err != nil {
			panic("fleet: unpacking a declaration: " + err.Error()) // the log is checksummed, as above
		}
		m.setDeclaration(d, p)
	}
	return &wire.DeclareReply{Number: m.declaration.GetNumber()}
}

// setDeclaration puts a declaration in force. The caller holds mu.
func (m *StateMachine) setDeclaration(d *wire.Declaration, p *wire.PackedDeclaration) {
	m.declaration, m.packed = d, p
	m.ledger.SetTotals(catalog.Budgets(d.GetCatalog()))
	m.notify()
}

// notify wakes up those who wait for a change. The caller holds mu.
func (m *StateMachine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// markLeaving records a server incarnation that leaves, and drops the oldest if there are too
// many. The caller holds mu.
func (m *StateMachine) markLeaving(id string) {
	if m.leavingSet[id] {
		return
	}
	m.leavingSet[id] = true
	m.leaving = append(m.leaving, id)
	if len(m.leaving) > maxLeavingServers {
		delete(m.leavingSet, m.leaving[0])
		m.leaving = m.leaving[1:]
	}
	if m.OnLeaving != nil {
		m.OnLeaving(id)
	}
}

// Snapshot implements sumachead.StateMachine.
func (m *StateMachine) Snapshot() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &wire.FleetSnapshot{
		Declaration: m.packed, Accounts: m.ledger.Snapshot(), Leaving: append([]string(nil), m.leaving...),
		Halls: m.halls.snapshot(), Suspects: m.suspects.Since(0), Rollouts: m.rollouts.Snapshot(),
		RetryServices: slices.Sorted(maps.Keys(m.retryServices)),
	}
	return func() ([]byte, error) {
		data, err := proto.Marshal(s)
		return data, trace.Wrap(err)
	}
}

// Restore implements sumachead.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	s := &wire.FleetSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return trace.Wrap(err, "decoding a snapshot of the fleet")
	}
	p := s.GetDeclaration()
	if p == nil {
		p = &wire.PackedDeclaration{}
	}
	d, err := catalog.Unpack(p)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Restore(s.GetAccounts())
	m.halls.restore(s.GetHalls())
	m.suspects.Restore(s.GetSuspects())
	m.rollouts.Restore(s.GetRollouts())
	clear(m.retryServices)
	for _, name := range s.GetRetryServices() {
		m.retryServices[name] = true
	}
	m.setDeclaration(d, p)
	m.leaving, m.leavingSet = nil, make(map[string]bool)
	for _, id := range s.GetLeaving() {
		m.markLeaving(id)
	}
	return nil
}

// Declaration returns the declaration in force, whose number is 0 before the first, and a channel
// that is closed when another one comes into force, a hall order is accepted, a rollout changes or
// the standing of a suspect changes.
func (m *StateMachine) Declaration() (*wire.Declaration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.declaration, m.changed
}

// PackedDeclaration returns the stored form of the declaration in force, which must not be
// changed.
func (m *StateMachine) PackedDeclaration() *wire.PackedDeclaration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.packed
}

// IsLeaving reports whether a server incarnation is known to be leaving.
func (m *StateMachine) IsLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavingSet[id]
}

// AllocateGrants returns what the allocator grants on a report, given the current escrow ledger.
func (m *StateMachine) AllocateGrants(s *escrow.Allocator, r *wire.EscrowReport, now time.Time) ([]int64, []*wire.EscrowAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.Allocate(m.ledger, r, now)
}

// EscrowIncarnation returns a node's newest incarnation that holds escrow; ok is false if there is none.
func (m *StateMachine) EscrowIncarnation(n sumachead.NodeID) (boot sumachead.BootID, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Incarnation(n)
}

// UnchangedReply returns the reply to a report that would not change the ledger, or nil.
func (m *StateMachine) UnchangedReply(g *wire.EscrowGrant) *wire.EscrowReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Unchanged(g)
}

// Budget returns the unallocated part of a workspace's budget, and its total.
func (m *StateMachine) Budget(w sumachead.WorkspaceID) (free, total sumachead.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total, _ = m.ledger.Total(w)
	return m.ledger.Unallocated(w), total
}

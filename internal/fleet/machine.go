package fleet

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/blame"
	"sumachead/internal/boottime"
	"sumachead/internal/catalog"
	"sumachead/internal/escrow"
	"sumachead/internal/rollout"
)

// keepLeaving bounds the lives of leaving servers that are remembered: the
// restarts of a large fleet within some hours.
const keepLeaving = 4096

// Machine is the replicated state. It implements sumachead.StateMachine; its
// other methods may be called beside Apply. Set OnLeaving before the first use.
type Machine struct {
	// OnLeaving is told of each life of a server that leaves. It must not call
	// the machine.
	OnLeaving func(id string)

	mu sync.Mutex // guards the fields below
	// declaration is in force, packed the same as it is stored.
	declaration *wire.Declaration
	packed      *wire.PackedDeclaration
	book        *escrow.Ledger
	// leaving are the newest lives that leave, oldest first; isLeaving holds the
	// same.
	leaving   []string
	isLeaving map[string]bool
	halls     halls
	suspects  blame.List
	rollouts  rollout.Store
	// changed is closed when another declaration is put in force, an order for a data hall
	// is taken, a roll-out changes, or a suspect stands otherwise.
	changed chan struct{}
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{
		declaration: &wire.Declaration{}, packed: &wire.PackedDeclaration{}, book: escrow.NewLedger(),
		isLeaving: make(map[string]bool), changed: make(chan struct{}), rollouts: rollout.Store{Clock: boottime.Clock{}},
	}
}

// Apply implements sumachead.StateMachine.
func (m *Machine) Apply(_ uint64, command []byte) any {
	c := &wire.FleetCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		// The log is checksummed and written by this package.
		panic("fleet: a command does not decode: " + err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.GetDeclare() != nil:
		return m.declare(c.GetDeclare())
	case c.GetGrants() != nil:
		var replies []*wire.EscrowReply
		for _, g := range c.GetGrants().GetGrants() {
			replies = append(replies, m.book.Apply(g))
		}
		return replies
	case c.GetLeaving() != nil:
		m.leave(c.GetLeaving().GetId())
	case c.GetHall() != nil:
		reply := m.halls.order(c.GetHall())
		m.notify()
		return reply
	case c.GetSuspects() != nil:
		m.suspects.Apply(c.GetSuspects())
		m.notify()
	case c.GetRollout() != nil:
		return m.orderRollout(c.GetRollout())
	case c.GetRolloutStep() != nil:
		reply := m.rollouts.Advance(c.GetRolloutStep())
		m.notify()
		return reply
	case c.GetRolloutAllowance() != nil:
		return m.rollouts.RaiseAllowance(c.GetRolloutAllowance())
	}
	return nil
}

// declare puts a declaration in force if its number is the highest. The caller
// holds mu.
func (m *Machine) declare(p *wire.PackedDeclaration) *wire.DeclareReply {
	if p.GetNumber() > m.declaration.GetNumber() {
		if key := m.packed.GetFingerprintKey(); len(key) > 0 {
			p.FingerprintKey = key // the first one holds
		}
		d, err := catalog.Unpack(p)
		if err != nil {
			panic("fleet: a declaration does not unpack: " + err.Error()) // as above
		}
		m.put(d, p)
	}
	return &wire.DeclareReply{Number: m.declaration.GetNumber()}
}

// put puts a declaration in force. The caller holds mu.
func (m *Machine) put(d *wire.Declaration, p *wire.PackedDeclaration) {
	m.declaration, m.packed = d, p
	m.book.SetTotals(catalog.Totals(d.GetCatalog()))
	m.notify()
}

// notify wakes up those who wait for a change. The caller holds mu.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// leave notes a server's life that leaves, and forgets the oldest when there are
// too many. The caller holds mu.
func (m *Machine) leave(id string) {
	if m.isLeaving[id] {
		return
	}
	m.isLeaving[id] = true
	m.leaving = append(m.leaving, id)
	if len(m.leaving) > keepLeaving {
		delete(m.isLeaving, m.leaving[0])
		m.leaving = m.leaving[1:]
	}
	if m.OnLeaving != nil {
		m.OnLeaving(id)
	}
}

// Snapshot implements sumachead.StateMachine.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &wire.FleetSnapshot{
		Declaration: m.packed, Accounts: m.book.Snapshot(), Leaving: append([]string(nil), m.leaving...),
		Halls: m.halls.snapshot(), Suspects: m.suspects.Since(0), Rollouts: m.rollouts.Snapshot(),
	}
	return func() ([]byte, error) {
		data, err := proto.Marshal(s)
		return data, trace.Wrap(err)
	}
}

// Restore implements sumachead.StateMachine.
func (m *Machine) Restore(data []byte) error {
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
	m.book.Restore(s.GetAccounts())
	m.halls.restore(s.GetHalls())
	m.suspects.Restore(s.GetSuspects())
	m.rollouts.Restore(s.GetRollouts())
	m.put(d, p)
	m.leaving, m.isLeaving = nil, make(map[string]bool)
	for _, id := range s.GetLeaving() {
		m.leave(id)
	}
	return nil
}

// Declaration returns the declaration in force, and a channel that is closed when another
// is, an order for a data hall is taken, a roll-out changes, or a suspect stands otherwise. Its number is 0
// before the first.
func (m *Machine) Declaration() (*wire.Declaration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.declaration, m.changed
}

// Packed returns the declaration in force as it is stored; it must not be
// changed.
func (m *Machine) Packed() *wire.PackedDeclaration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.packed
}

// Leaving reports whether a server's life is known to leave.
func (m *Machine) Leaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLeaving[id]
}

// Size asks a sizer what to grant on a report, by the book as it stands.
func (m *Machine) Size(s *escrow.Allocator, r *wire.EscrowReport, now time.Time) ([]int64, []*wire.EscrowAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.Allocate(m.book, r, now)
}

// Budget returns what of a workspace's budget is not granted, and its total.
func (m *Machine) Budget(w sumachead.WorkspaceID) (free, total sumachead.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total, _ = m.book.Total(w)
	return m.book.Unallocated(w), total
}

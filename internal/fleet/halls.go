package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// A data hall can be vacated (drained), for example before maintenance: its backend servers get no
// new requests until it is opened again, and requests in flight finish.
//
// Operators' orders carry no number and are retried at other keepers when an acknowledgement is
// late. The first copy may then still be in flight: in the log of a deposed leader, or in the
// buffers of a frozen keeper. Each order therefore increments the hall's revision, even one that
// changes nothing, and is accepted only against the revision that its keeper read, linearizably,
// while its operator was still waiting. A late duplicate finds a newer revision and changes
// nothing.

// hallStates holds the states of data halls. The mutex of the state machine that owns it guards
// it.
type hallStates struct {
	// revision counts the accepted orders.
	revision uint64
	// states is keyed by hall; the messages are replaced, never changed.
	states map[string]*wire.HallState
	// changedAt is when this process last saw the state of a hall change.
	changedAt map[string]time.Time
}

// apply accepts an order unless another order for the hall was accepted first.
func (h *hallStates) apply(o *wire.HallOrder) *wire.HallOrderReply {
	if h.states[o.GetHall()].GetRevision() != o.GetAgainst() {
		return &wire.HallOrderReply{}
	}
	h.revision++
	old := h.states[o.GetHall()]
	next := &wire.HallState{Hall: o.GetHall(), Vacated: o.GetVacated(), Revision: h.revision, SinceUnixMillis: o.GetAtUnixMillis()}
	if old != nil && old.GetVacated() == o.GetVacated() {
		next.SinceUnixMillis = old.GetSinceUnixMillis()
	}
	h.put(next)
	return &wire.HallOrderReply{Taken: true}
}

// put replaces the state of a hall.
func (h *hallStates) put(s *wire.HallState) {
	if h.states == nil {
		h.states = make(map[string]*wire.HallState)
		h.changedAt = make(map[string]time.Time)
	}
	if old := h.states[s.GetHall()]; old == nil || old.GetVacated() != s.GetVacated() {
		h.changedAt[s.GetHall()] = time.Now()
	}
	h.states[s.GetHall()] = s
}

// snapshot returns the state for a snapshot.
func (h *hallStates) snapshot() *wire.HallStates {
	s := &wire.HallStates{Revision: h.revision}
	for _, x := range h.states {
		s.Halls = append(s.Halls, x)
	}
	slices.SortFunc(s.Halls, func(a, b *wire.HallState) int { return cmp.Compare(a.GetHall(), b.GetHall()) })
	return s
}

// restore replaces the state by that of a snapshot.
func (h *hallStates) restore(s *wire.HallStates) {
	*h = hallStates{revision: s.GetRevision()}
	for _, x := range s.GetHalls() {
		h.put(x)
	}
}

// snapshotWithAges returns the states with their ages at the given time.
func (h *hallStates) snapshotWithAges(now time.Time) *wire.HallStates {
	s := h.snapshot()
	for i, x := range s.GetHalls() {
		s.Halls[i] = proto.CloneOf(x)
		s.Halls[i].AgeMillis = now.Sub(h.changedAt[x.GetHall()]).Milliseconds()
	}
	return s
}

// Halls returns the states of data halls with their ages.
func (m *StateMachine) Halls(now time.Time) *wire.HallStates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.halls.snapshotWithAges(now)
}

// CountVacatedHalls returns the number of vacated data halls.
func (m *StateMachine) CountVacatedHalls() int {
	n := 0
	for _, x := range m.Halls(time.Now()).GetHalls() {
		if x.GetVacated() {
			n++
		}
	}
	return n
}

// HallsRevision returns the number of accepted orders for data halls.
func (m *StateMachine) HallsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.halls.revision
}

// Halls returns the states of data halls; the read is linearizable.
func (s *service) Halls(_ *wire.Empty, reply *wire.HallStates) error {
	if err := s.keeper.requireLeadership(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.machine.Halls(time.Now()))
	return nil
}

// Order commits an order for a data hall.
func (s *service) Order(o *wire.HallOrder, reply *wire.HallOrderReply) error {
	result, err := s.keeper.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Hall{Hall: o}})
	if err != nil {
		return err
	}
	proto.Merge(reply, result.(*wire.HallOrderReply))
	return nil
}

// Vacate executes an operator's order to vacate or reopen a data hall, and returns once it is
// committed. After an error the order may or may not come into force. An order is not proposed
// once ctx has ended, which means that its operator is gone.
func (k *Keeper) Vacate(ctx context.Context, hall string, vacated bool) error {
	err := k.vacate(ctx, hall, vacated)
	k.Log.Info("Processed an order for a data hall.", "hall", hall, "vacated", vacated, "error", err)
	return err
}

func (k *Keeper) vacate(ctx context.Context, hall string, vacated bool) error {
	if !utf8.ValidString(hall) {
		return trace.BadParameter("the name of the data hall is not valid UTF-8")
	}
	for {
		states, err := k.HallStates(ctx)
		if err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		o := &wire.HallOrder{Hall: hall, Vacated: vacated, AtUnixMillis: time.Now().UnixMilli()}
		for _, x := range states.GetHalls() {
			if x.GetHall() == hall {
				o.Against = x.GetRevision()
			}
		}
		reply, err := callLeader[wire.HallOrderReply](ctx, k, "Fleet.Order", o, (&service{k}).Order)
		if err != nil || reply.GetTaken() {
			return err
		}
	}
}

// HallStates returns the states of data halls; the read is linearizable.
func (k *Keeper) HallStates(ctx context.Context) (*wire.HallStates, error) {
	return callLeader[wire.HallStates](ctx, k, "Fleet.Halls", &wire.Empty{}, (&service{k}).Halls)
}

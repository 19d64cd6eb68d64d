package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// A data hall can be vacated, as before maintenance: its backend servers get nothing new
// until it is opened again, and what runs there ends by itself.
//
// Operators' orders carry no number, are sent again to other keepers when an
// acknowledgement is late, and the first copy may still be under way then: in the log of
// a leader that was deposed, or in the buffers of a keeper that was frozen. So each order
// counts up the hall's revision, also one that changes nothing, and is taken only against
// the revision that its keeper read, linearizably, while its operator still waited. A copy
// that comes late finds that another order has been taken since, and changes nothing.

// halls are the states of data halls. The machine that holds them guards them.
type halls struct {
	// revision counts the orders that were taken.
	revision uint64
	// states are by hall; the messages are replaced, never changed.
	states map[string]*wire.HallState
	// learned is when this process took the newest order for a hall.
	learned map[string]time.Time
}

// order takes an order, unless another one for the hall came first.
func (h *halls) order(o *wire.HallOrder) *wire.HallOrderReply {
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

// put replaces a hall's state.
func (h *halls) put(s *wire.HallState) {
	if h.states == nil {
		h.states = make(map[string]*wire.HallState)
		h.learned = make(map[string]time.Time)
	}
	if old := h.states[s.GetHall()]; old == nil || old.GetVacated() != s.GetVacated() {
		h.learned[s.GetHall()] = time.Now()
	}
	h.states[s.GetHall()] = s
}

// snapshot returns what is stored.
func (h *halls) snapshot() *wire.HallStates {
	s := &wire.HallStates{Revision: h.revision}
	for _, x := range h.states {
		s.Halls = append(s.Halls, x)
	}
	slices.SortFunc(s.Halls, func(a, b *wire.HallState) int { return cmp.Compare(a.GetHall(), b.GetHall()) })
	return s
}

// restore replaces everything by what was stored.
func (h *halls) restore(s *wire.HallStates) {
	*h = halls{revision: s.GetRevision()}
	for _, x := range s.GetHalls() {
		h.put(x)
	}
}

// tell returns the states with their ages at a time.
func (h *halls) tell(now time.Time) *wire.HallStates {
	s := h.snapshot()
	for i, x := range s.GetHalls() {
		s.Halls[i] = proto.CloneOf(x)
		s.Halls[i].AgeMillis = now.Sub(h.learned[x.GetHall()]).Milliseconds()
	}
	return s
}

// Halls returns the states of data halls with their ages.
func (m *Machine) Halls(now time.Time) *wire.HallStates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.halls.tell(now)
}

// VacatedHalls counts the data halls that are vacated.
func (m *Machine) VacatedHalls() int {
	n := 0
	for _, x := range m.Halls(time.Now()).GetHalls() {
		if x.GetVacated() {
			n++
		}
	}
	return n
}

// HallsRevision returns how many orders for data halls were taken.
func (m *Machine) HallsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.halls.revision
}

// Halls returns the states of data halls; the answer is linearizable.
func (s *service) Halls(_ *wire.Empty, reply *wire.HallStates) error {
	if err := s.keeper.leading(); err != nil {
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

// Vacate takes an operator's order to vacate a data hall, or to open it again, and returns
// once it is committed. After an error it is open whether it will be in force; an order
// whose operator has gone, as ctx tells, is not proposed.
func (k *Keeper) Vacate(ctx context.Context, hall string, vacated bool) error {
	err := k.vacate(ctx, hall, vacated)
	k.Log.Info("A data hall is ordered to be vacated or open.", "hall", hall, "vacated", vacated, "error", err)
	return err
}

func (k *Keeper) vacate(ctx context.Context, hall string, vacated bool) error {
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
		reply, err := ask[wire.HallOrderReply](ctx, k, "Fleet.Order", o, (&service{k}).Order)
		if err != nil || reply.GetTaken() {
			return err
		}
	}
}

// HallStates returns the states of data halls; the answer is linearizable.
func (k *Keeper) HallStates(ctx context.Context) (*wire.HallStates, error) {
	return ask[wire.HallStates](ctx, k, "Fleet.Halls", &wire.Empty{}, (&service{k}).Halls)
}

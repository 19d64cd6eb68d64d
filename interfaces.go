package sumachead

import (
	"context"
	"time"

	"sumachead/api/wire"
)

// StateMachine is the state to which a replicated group applies its log. Apply must be
// deterministic: it uses neither a clock nor randomness. Calls do not overlap.
type StateMachine interface {
	// Apply executes one command and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot captures the whole state and returns a function that encodes it. The capture is
	// quick; the encoding may run concurrently with later calls of Apply.
	Snapshot() (encode func() ([]byte, error))
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Ledger admits and settles requests. An error that is a [*Refusal] is final; after any other
// error the outcome is unknown and the same call may be retried.
type Ledger interface {
	Reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error)
	Reassign(ctx context.Context, r *wire.ReassignRequest) (*wire.LedgerReply, error)
	// Settle settles a batch of requests and is idempotent.
	Settle(ctx context.Context, b *wire.SettleBatch) error
}

// Candidate is a backend server that could run a request.
type Candidate struct {
	Server  ServerID
	Hall    HallID
	Address string
	Epoch   Epoch
	// Load is the newest known load; nil if none is known.
	Load *wire.Load
	// LoadAt is when Load was received.
	LoadAt time.Time
	// InFlight is the number of requests that this router has in flight there.
	InFlight int
}

// PlaceRequest describes the request to be placed.
type PlaceRequest struct {
	Hall     HallID
	Pool     PoolID
	Priority Priority
	// Prefix is a hash of the prompt's start; 0 if there is none.
	Prefix uint64
	// Tried lists the servers that must not be chosen again.
	Tried []ServerID
	Now   time.Time
}

// Placer chooses a backend server. Implementations are safe for concurrent use; ok is false if
// no candidate is suitable.
type Placer interface {
	Place(r PlaceRequest, candidates []Candidate) (chosen Candidate, ok bool)
}

// Reservation is the upper bound of one request's cost, reserved until its bill is known.
type Reservation interface {
	// Settle replaces the reservation by the bill, which is capped at the bound. A second call
	// does nothing.
	Settle(bill Tokens)
}

// Estimate estimates when something that a request needs will be available.
type Estimate interface {
	// Expect returns the expected time, as known at now, or the zero time if it will never be
	// available. The estimate is sure if what is needed is known to be on its way.
	Expect(now time.Time) (at time.Time, sure bool)
}

// BootTime is a point in time on one host: the time since the host started, including the time
// for which it was suspended.
type BootTime time.Duration

// Add returns b plus d.
func (b BootTime) Add(d time.Duration) BootTime { return b + BootTime(d) }

// Sub returns the duration b - a.
func (b BootTime) Sub(a BootTime) time.Duration { return time.Duration(b - a) }

// Clock reads the time by which processes judge leases and other promises to each other: a
// lease must expire at its holder no later than at those that granted it, also if the holder's
// host was suspended. The monotonic clock read by [time.Now] stops while the host is suspended.
type Clock interface {
	Now() BootTime
}

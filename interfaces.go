package sumachead

import (
	"context"
	"time"

	"sumachead/api/wire"
)

// StateMachine is what a replicated group applies its log to. Apply must be
// deterministic: it reads no clock and no randomness. Calls do not overlap.
type StateMachine interface {
	// Apply carries out one command and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot captures the whole state and returns what encodes it. The
	// capture is quick; the encoding may run beside later calls of Apply.
	Snapshot() (encode func() ([]byte, error))
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Ledger admits and settles requests. An error that is a [*Refusal] is final;
// any other error means that the outcome is not known and that the same call
// may be repeated.
type Ledger interface {
	Reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error)
	Reassign(ctx context.Context, r *wire.ReassignRequest) (*wire.LedgerReply, error)
	// Settle takes many at once and is idempotent.
	Settle(ctx context.Context, b *wire.SettleBatch) error
}

// Candidate is a backend server that could run a request.
type Candidate struct {
	Server  ServerID
	Hall    HallID
	Address string
	Epoch   Epoch
	// Load is the newest known; nil when nothing is known.
	Load *wire.Load
	// LoadAt is when Load was received.
	LoadAt time.Time
	// Outstanding is how many requests this router has open there.
	Outstanding int
}

// PlaceRequest says what is to be placed.
type PlaceRequest struct {
	Hall     HallID
	Pool     PoolID
	Priority Priority
	// Prefix is a hash of the prompt's start; 0 when there is none.
	Prefix uint64
	// Tried lists servers not to be chosen again.
	Tried []ServerID
	Now   time.Time
}

// Placer chooses a backend server. Implementations are safe for concurrent
// use; ok is false when no candidate is fit.
type Placer interface {
	Place(r PlaceRequest, candidates []Candidate) (chosen Candidate, ok bool)
}

// Reservation is the upper bound of one request's cost, held until its bill is known.
type Reservation interface {
	// Settle puts the bill in the place of the reservation. The bill is cut to the
	// bound; a second call does nothing.
	Settle(bill Tokens)
}

// Prospect estimates when something that a request lacks will be there.
type Prospect interface {
	// Expect returns when it is expected, as known at a time; the zero time for
	// never. The estimate is sure where what is lacking is known to be under way.
	Expect(now time.Time) (at time.Time, sure bool)
}

// BootTime is a moment of one host: how long before it the host started, the times in which
// the host was suspended included.
type BootTime time.Duration

// Add returns the moment that is d later.
func (b BootTime) Add(d time.Duration) BootTime { return b + BootTime(d) }

// Sub returns how much later than a the moment is.
func (b BootTime) Sub(a BootTime) time.Duration { return time.Duration(b - a) }

// Clock tells the time for what processes promise each other: a lease must end for its holder
// no later than for those who granted it, also where the holder's host was suspended meanwhile.
// The steady clock that [time.Now] reads stands still then.
type Clock interface {
	Now() BootTime
}

package fleetclient

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/loop"
)

const (
	// reportEvery is how often a holder tells what it has spent.
	reportEvery = 700 * time.Millisecond
	// reportGap is the least time between reports that requests wait for.
	reportGap = 15 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 700 * time.Millisecond
	// closingTimeout bounds the last report of a holder that stops.
	closingTimeout = 1500 * time.Millisecond
)

// Reporter takes a wallet's reports to the ledger and its grants back. Set the
// exported fields before Run.
type Reporter struct {
	Client *Client
	Wallet *escrow.Wallet
	Log    hclog.Logger
	// Taken is told how long a report took that the ledger has taken; nil for
	// nobody.
	Taken func(time.Duration)

	boot sumachead.BootID
	kick chan struct{}
	// ledger is what is known of the ledger's answers.
	ledger ledgerTimes
}

// Prepare opens the wallet. Call it before Run.
func (r *Reporter) Prepare() {
	r.boot = sumachead.BootID(uuid.NewString())
	r.kick = make(chan struct{}, 1)
	r.Wallet.RequestReport = r.Kick
	r.ledger.heardAt = r.Client.HeardAt
	r.Wallet.EstimateGrant = r.ledger.prospect
	r.Client.OnLacking = func(ids []sumachead.WorkspaceID) {
		if r.Wallet.IncludeInReport(ids) {
			r.Kick()
		}
	}
	r.Wallet.Open(r.boot)
}

// Unreached reports whether the ledger is out of reach.
func (r *Reporter) Unreached() bool { return r.ledger.unreached(time.Now()) }

// Kick asks for a report soon; it does not block.
func (r *Reporter) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return loop.EveryOrKicked(ctx, reportEvery, r.kick, reportGap, func() { r.report(ctx) })
}

// report sends what is new.
func (r *Reporter) report(ctx context.Context) {
	report := r.Wallet.Report(time.Now(), false)
	if report == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	begun := time.Now()
	r.ledger.asked(begun)
	reply, err := Call[wire.EscrowReply](ctx, r.Client, "Fleet.Report", report)
	r.ledger.answered(time.Now(), err == nil)
	if err == nil && r.Taken != nil {
		r.Taken(time.Since(begun))
	}
	if err != nil {
		r.Wallet.MarkUnsent(report)
		r.Log.Debug("A report of escrow was not taken.", "positions", len(report.GetPositions()), "error", err)
		return
	}
	next := sumachead.BootID(uuid.NewString())
	if r.Wallet.ApplyReply(reply, r.boot, next, time.Now()) {
		r.Log.Warn("The ledger had closed this holder; it starts anew.", "boot", r.boot, "next", next)
		r.boot = next
	}
}

// Close returns what has not been spent. Call it after Run has ended and no
// request is under way.
func (r *Reporter) Close() {
	const pause = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), closingTimeout)
	defer cancel()
	report := r.Wallet.Report(time.Now(), true)
	for ctx.Err() == nil {
		_, err := Call[wire.EscrowReply](ctx, r.Client, "Fleet.Report", report)
		if err == nil {
			r.Log.Info("Escrow is returned.", "positions", len(report.GetPositions()))
			return
		}
		time.Sleep(pause)
	}
	r.Log.Warn("Escrow was not returned; the ledger counts it as spent.", "positions", len(report.GetPositions()))
}

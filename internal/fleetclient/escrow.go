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
	// reportInterval is how often a holder of escrow reports what it has spent.
	reportInterval = 700 * time.Millisecond
	// minReportInterval is the minimum interval between reports that requests wait for.
	minReportInterval = 15 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 700 * time.Millisecond
	// closingTimeout bounds the final report of a holder that stops.
	closingTimeout = 1500 * time.Millisecond
)

// Reporter sends a wallet's reports to the ledger and applies the grants in the replies. Set the
// exported fields before Run.
type Reporter struct {
	Client *Client
	Wallet *escrow.Wallet
	Log    hclog.Logger
	// Address is where this process listens while Run runs; empty if it does not. Since no other
	// process can do so meanwhile, earlier ones of the node have ended.
	Address string
	// OnReported is called with the duration of each report that the ledger accepted; may be nil.
	OnReported func(time.Duration)

	boot      sumachead.BootID
	requested chan struct{}
	// latency tracks the ledger's response times.
	latency ledgerLatency
}

// Prepare opens the wallet. Call it before Run.
func (r *Reporter) Prepare() {
	r.boot = sumachead.BootID(uuid.NewString())
	r.requested = make(chan struct{}, 1)
	r.Wallet.RequestReport = r.RequestReport
	r.latency.lastResponseAt = r.Client.LastResponseAt
	r.Wallet.EstimateGrant = r.latency.estimate
	r.Client.OnReclaim = func(ids []sumachead.WorkspaceID) {
		if r.Wallet.IncludeInReport(ids) {
			r.RequestReport()
		}
	}
	r.Wallet.Open(r.boot)
}

// LedgerUnreachable reports whether the ledger is unreachable.
func (r *Reporter) LedgerUnreachable() bool { return r.latency.isUnreachable(time.Now()) }

// RequestReport requests a report soon; it does not block.
func (r *Reporter) RequestReport() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.Wallet.Listening(r.Address, time.Now())
	r.RequestReport()
	return loop.EveryOrSignaled(ctx, reportInterval, r.requested, minReportInterval, func() { r.report(ctx) })
}

// report sends a report if there is something new.
func (r *Reporter) report(ctx context.Context) {
	report := r.Wallet.Report(time.Now(), false)
	if report == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	begun := time.Now()
	r.latency.reportSent(begun)
	reply, err := Call[wire.EscrowReply](ctx, r.Client, "Fleet.Report", report)
	r.latency.reportEnded(time.Now(), err == nil)
	if err == nil && r.OnReported != nil {
		r.OnReported(time.Since(begun))
	}
	if err != nil {
		r.Wallet.MarkUnsent(report)
		r.Log.Debug("Escrow report failed.", "positions", len(report.GetPositions()), "error", err)
		return
	}
	next := sumachead.BootID(uuid.NewString())
	if r.Wallet.ApplyReply(reply, r.boot, next, time.Now()) {
		r.Log.Warn("The ledger had closed this escrow holder; it starts again with a new incarnation.", "boot", r.boot, "next", next)
		r.boot = next
	}
}

// Close returns the unspent escrow. Call it after Run has ended and when no request is in flight.
func (r *Reporter) Close() {
	const pause = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), closingTimeout)
	defer cancel()
	report := r.Wallet.Report(time.Now(), true)
	for ctx.Err() == nil {
		_, err := Call[wire.EscrowReply](ctx, r.Client, "Fleet.Report", report)
		if err == nil {
			r.Log.Info("Returned unspent escrow.", "positions", len(report.GetPositions()))
			return
		}
		time.Sleep(pause)
	}
	r.Log.Warn("Failed to return escrow; the ledger counts it as spent.", "positions", len(report.GetPositions()))
}

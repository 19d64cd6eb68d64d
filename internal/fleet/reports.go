package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
)

const (
	// gatherEach is for how long reports are gathered into one command, for each
	// router: the log's work then does not grow with their number.
	gatherEach = 700 * time.Microsecond
	// gatherLeast and gatherMost bound that time; requests may wait for it.
	gatherLeast = 2 * time.Millisecond
	gatherMost  = 20 * time.Millisecond
	// gatherReports bounds the reports of one command.
	gatherReports = 256
)

// pendingReport is a report that waits for its command.
type pendingReport struct {
	report *wire.EscrowReport
	done   chan reportOutcome
}

// reportOutcome is the answer to a report, or why there is none.
type reportOutcome struct {
	reply *wire.EscrowReply
	err   error
}

// Report takes in what a holder of escrow spent, and grants what it should have.
func (s *service) Report(r *wire.EscrowReport, reply *wire.EscrowReply) error {
	k := s.keeper
	if !k.node.Leading() {
		return k.leading()
	}
	p := &pendingReport{r, make(chan reportOutcome, 1)}
	select {
	case k.reports <- p:
	case <-k.stopped:
		return context.Canceled
	}
	select {
	case o := <-p.done:
		if o.err != nil {
			return o.err
		}
		proto.Merge(reply, o.reply)
		return nil
	case <-k.stopped:
		return context.Canceled
	}
}

// reportsLoop makes commands of the reports that come.
func (k *Keeper) reportsLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-k.reports:
			batch := k.gather(ctx, p)
			go k.grant(batch)
		}
	}
}

// gather waits a short time for reports that come beside the first.
func (k *Keeper) gather(ctx context.Context, first *pendingReport) []*pendingReport {
	wait := gatherEach * time.Duration(k.followers.count(RoleRouter))
	t := time.NewTimer(min(max(wait, gatherLeast), gatherMost))
	defer t.Stop()
	batch := []*pendingReport{first}
	for len(batch) < gatherReports {
		select {
		case p := <-k.reports:
			batch = append(batch, p)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// grant sizes a batch, commits it, and answers its reports.
func (k *Keeper) grant(batch []*pendingReport) {
	now := time.Now()
	grants := &wire.EscrowGrants{}
	advice := make([][]*wire.EscrowAnswer, len(batch))
	for i, p := range batch {
		k.sizer.RecordReport(p.report, now)
		amounts, a := k.machine.Size(k.sizer, p.report, now)
		grants.Grants = append(grants.Grants, &wire.EscrowGrant{Report: p.report, Grants: amounts})
		advice[i] = a
	}
	result, err := k.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Grants{Grants: grants}})
	if err != nil {
		for _, p := range batch {
			p.done <- reportOutcome{err: err}
		}
		return
	}
	for i, reply := range result.([]*wire.EscrowReply) {
		k.advise(batch[i].report, reply, grants.GetGrants()[i].GetGrants(), advice[i])
		batch[i].done <- reportOutcome{reply: reply}
	}
}

// advise completes a reply by what was not logged.
func (k *Keeper) advise(r *wire.EscrowReport, reply *wire.EscrowReply, grants []int64, advice []*wire.EscrowAnswer) {
	for i, a := range reply.GetAnswers() {
		a.Keep, a.Exhausted = advice[i].GetKeep(), advice[i].GetExhausted()
		k.noteGrant(r.GetNode(), r.GetPositions()[i], grants[i], a)
		if escrow.Unmet(r.GetPositions()[i], a) {
			reply.AgainMillis = k.sizer.RetryDelay(time.Now()).Milliseconds()
		}
	}
	if reply.GetClosed() {
		k.Log.Info("A holder of escrow is closed.", "node", r.GetNode(), "boot", r.GetBoot(), "asked", r.GetClosing())
	}
}

// noteGrant logs what was decided on a position that lacks something or is to
// give back.
func (k *Keeper) noteGrant(node string, p *wire.EscrowPosition, grant int64, a *wire.EscrowAnswer) {
	if !escrow.Unmet(p, a) && a.GetKeep() < 0 {
		return
	}
	free, total := k.machine.Budget(sumachead.WorkspaceID(p.GetWorkspace()))
	k.lines.Info(k.Log, "Escrow of a holder is short or in excess.", "node", node, "workspace", p.GetWorkspace(),
		"needed", p.GetNeeded(), "spent", p.GetSpent(), "reserved", p.GetReserved(), "rate", p.GetRate(), "grant", grant,
		"granted", a.GetGranted(), "returned", p.GetReturned(), "keep", a.GetKeep(), "exhausted", a.GetExhausted(),
		"free", free, "total", total)
}

package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/escrow"
)

const (
	// reportDelayPerRouter is how long, for each router, reports are batched into one command, so
	// that the load on the log does not grow with the number of routers.
	reportDelayPerRouter = 700 * time.Microsecond
	// minReportDelay and maxReportDelay bound that time, as requests may wait for it.
	minReportDelay = 2 * time.Millisecond
	maxReportDelay = 20 * time.Millisecond
	// maxBatchReports bounds the reports in one command.
	maxBatchReports = 256
)

// pendingReport is a report that waits for its command.
type pendingReport struct {
	report *wire.EscrowReport
	done   chan reportResult
}

// reportResult is the reply to a report, or the error.
type reportResult struct {
	reply *wire.EscrowReply
	err   error
}

// Report records what a holder of escrow has spent, and grants what it should have.
func (s *service) Report(r *wire.EscrowReport, reply *wire.EscrowReply) error {
	k := s.keeper
	if !k.node.IsLeader() {
		return k.requireLeadership()
	}
	p := &pendingReport{r, make(chan reportResult, 1)}
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

// reportsLoop turns incoming reports into commands.
func (k *Keeper) reportsLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-k.reports:
			batch := k.collectBatch(ctx, p)
			go k.commitBatch(batch)
		}
	}
}

// collectBatch waits briefly for further reports after the first.
func (k *Keeper) collectBatch(ctx context.Context, first *pendingReport) []*pendingReport {
	wait := reportDelayPerRouter * time.Duration(k.followers.count(RoleRouter))
	t := time.NewTimer(min(max(wait, minReportDelay), maxReportDelay))
	defer t.Stop()
	batch := []*pendingReport{first}
	for len(batch) < maxBatchReports {
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

// commitBatch computes the grants of a batch, commits those reports that change the ledger, and
// replies to all. Idle holders report only to remain live: with hundreds of routers, the entries of
// such reports would be most of the log on a quiet day.
func (k *Keeper) commitBatch(batch []*pendingReport) {
	now, bootNow := time.Now(), boottime.Clock{}.Now()
	// Holders take an answer for the ledger's current state, so a leader that may have been replaced
	// must not answer without a commit.
	leads := k.requireLeadership() == nil
	grants := &wire.EscrowGrants{}
	var pending []*pendingReport
	var advice [][]*wire.EscrowAnswer
	var contacts []uint64
	for _, p := range batch {
		k.allocator.RecordReport(p.report, now)
		amounts, a := k.machine.AllocateGrants(k.allocator, p.report, now)
		g := &wire.EscrowGrant{Report: p.report, Grants: amounts, EndedBoot: string(k.endedBoot(p.report, bootNow))}
		contact := k.contacts.Record(p.report, bootNow)
		if reply := k.machine.UnchangedReply(g); leads && reply != nil {
			k.completeReply(p.report, reply, amounts, a, contact)
			p.done <- reportResult{reply: reply}
			continue
		}
		g.Report = loggedReport(p.report)
		grants.Grants, pending, advice = append(grants.Grants, g), append(pending, p), append(advice, a)
		contacts = append(contacts, contact)
	}
	if len(pending) == 0 {
		return
	}
	result, err := k.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Grants{Grants: grants}})
	if err != nil {
		for _, p := range pending {
			p.done <- reportResult{err: err}
		}
		return
	}
	for i, reply := range result.([]*wire.EscrowReply) {
		k.completeReply(pending[i].report, reply, grants.GetGrants()[i].GetGrants(), advice[i], contacts[i])
		pending[i].done <- reportResult{reply: reply}
	}
}

// endedBoot returns the incarnation that the reporting one follows if it is known to have ended within
// its spend limits, or "".
func (k *Keeper) endedBoot(r *wire.EscrowReport, now sumachead.BootTime) sumachead.BootID {
	previous, ok := k.machine.EscrowIncarnation(sumachead.NodeID(r.GetNode()))
	if !ok || previous == sumachead.BootID(r.GetBoot()) {
		return ""
	}
	ended := k.contacts.EndedBoot(r, previous, now)
	k.limitedLog.Info(k.Log, "Escrow holder replaced.", "node", r.GetNode(), "previous", previous, "boot", r.GetBoot(), "within_limits", ended != "",
		"age", time.Duration(r.GetAgeMillis())*time.Millisecond)
	return ended
}

// loggedReport returns a report without the demand of urgent requests, the bounds and the contact,
// which only the leader uses, so that they do not add to the log.
func loggedReport(r *wire.EscrowReport) *wire.EscrowReport {
	out := &wire.EscrowReport{Node: r.GetNode(), Boot: r.GetBoot(), Closing: r.GetClosing()}
	for _, p := range r.GetPositions() {
		p = proto.CloneOf(p)
		p.UrgentRate, p.UrgentBound, p.OtherBound, p.BoundsSettled = 0, 0, 0, 0
		p.UrgentNeeded, p.UrgentWanted = 0, 0
		out.Positions = append(out.Positions, p)
	}
	return out
}

// completeReply adds to a reply what is not part of the log.
func (k *Keeper) completeReply(r *wire.EscrowReport, reply *wire.EscrowReply, grants []int64, advice []*wire.EscrowAnswer, contact uint64) {
	reply.Contact = contact
	for i, a := range reply.GetAnswers() {
		escrow.Advise(a, advice[i])
		k.logGrant(r.GetNode(), r.GetPositions()[i], grants[i], a)
		if escrow.Unmet(r.GetPositions()[i], a) {
			reply.AgainMillis = k.allocator.RetryDelay(time.Now()).Milliseconds()
		}
	}
	if reply.GetClosed() {
		k.Log.Info("Escrow holder closed.", "node", r.GetNode(), "boot", r.GetBoot(), "asked", r.GetClosing())
	}
}

// logGrant logs the decision on a position with a shortfall or with escrow to give back.
func (k *Keeper) logGrant(node string, p *wire.EscrowPosition, grant int64, a *wire.EscrowAnswer) {
	if !escrow.Unmet(p, a) && a.GetKeep() < 0 {
		return
	}
	free, total := k.machine.Budget(sumachead.WorkspaceID(p.GetWorkspace()))
	k.limitedLog.Info(k.Log, "Escrow holder has a shortfall or an excess.", "node", node, "workspace", p.GetWorkspace(),
		"needed", p.GetNeeded(), "spent", p.GetSpent(), "reserved", p.GetReserved(), "rate", p.GetRate(), "grant", grant,
		"granted", a.GetGranted(), "returned", p.GetReturned(), "keep", a.GetKeep(), "exhausted", a.GetExhausted(),
		"exhausted_from", a.GetExhaustedFrom(), "urgent_only", a.GetUrgentOnly(), "urgent_needed", p.GetUrgentNeeded(),
		"free", free, "total", total)
}

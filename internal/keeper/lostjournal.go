package keeper

import (
	"context"
	"errors"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/ledger"
)

// errJournalNotRegistered makes the caller retry: the ledger has not yet learned
// that this journal replaces a lost one.
var errJournalNotRegistered = errors.New("the ledger does not know this journal yet")

// replyForLostJournal replies for keys that a lost journal of this hall may have
// claimed. Keys that it merged are in the ledger. Any other key may have run as
// well, so it stays unavailable until its entry would have expired. The result
// reports whether reply was filled in.
func (k *Keeper) replyForLostJournal(r *wire.ReserveRequest, reply *wire.LedgerReply, now time.Time) bool {
	if !k.identity.GetJoined() || k.journal.Entry(r.GetWorkspace(), r.GetKey()) != nil {
		return false
	}
	withinRetention := now.Before(time.Unix(0, k.identity.GetJoinedUnixNano()).Add(EntryRetention))
	e := k.ledgerEntry(r.GetWorkspace(), r.GetKey(), withinRetention)
	if e != nil && e.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		reply.Code, _ = ledger.CheckClaim(e, r)
		if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED {
			reply.Code = wire.LedgerCode_LEDGER_CODE_SETTLED
		}
		reply.Entry = e
		return true
	}
	if withinRetention {
		reply.Code, reply.Partial = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE, true
		return true
	}
	return false
}

// ledgerEntry returns the ledger's entry of a key, from the local replica or,
// if askLeader is set, from the leader, since the replica may still be catching up.
func (k *Keeper) ledgerEntry(workspace, key string, askLeader bool) *wire.Entry {
	e := k.ledger.Entry(sumachead.WorkspaceID(workspace), sumachead.RequestKey(key))
	if e != nil || !askLeader {
		return e
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimMergeTimeout)
	defer cancel()
	reply, err := keeperclient.Call[wire.LookupReply](ctx, k.clients, keeperclient.GroupLedger, "Ledger.Lookup",
		&wire.LookupRequest{Workspace: workspace, Key: key, Budget: "-"})
	if err != nil || len(reply.GetEntries()) == 0 {
		return nil
	}
	return reply.GetEntries()[0]
}

// settleLostEntries forwards settlements of entries that a lost journal may have
// held to the ledger.
func (k *Keeper) settleLostEntries(b *wire.SettleBatch, got []*wire.LedgerReply) error {
	lost := &wire.SettleBatch{}
	for i, s := range b.GetSettles() {
		if got[i].GetCode() == wire.LedgerCode_LEDGER_CODE_NO_ENTRY && s.GetOwner() == "" {
			lost.Settles = append(lost.Settles, s)
		}
	}
	if len(lost.GetSettles()) == 0 || !k.identity.GetJoined() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	replies, err := keeperclient.Call[wire.LedgerReplies](ctx, k.clients, keeperclient.GroupLedger, "Ledger.Settle", lost)
	if err != nil {
		return err
	}
	for _, r := range replies.GetReplies() {
		if r.GetCode() == wire.LedgerCode_LEDGER_CODE_EXISTS {
			return errJournalNotRegistered
		}
	}
	return nil
}

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

// errNotIntroduced has the caller try again: the ledger does not know yet that
// this journal has taken the place of a lost one.
var errNotIntroduced = errors.New("the ledger does not know this journal yet")

// answerForLostJournal answers for keys that an earlier journal of this hall
// may have claimed: those that it merged are in the ledger, and of those that
// it did not nothing is known. They may have run, until they would have been
// forgotten anyway.
func (k *Keeper) answerForLostJournal(r *wire.ReserveRequest, reply *wire.LedgerReply, now time.Time) bool {
	if !k.identity.GetJoined() || k.journal.Entry(r.GetWorkspace(), r.GetKey()) != nil {
		return false
	}
	held := now.Before(time.Unix(0, k.identity.GetJoinedUnixNano()).Add(EntryRetention))
	e := k.ledgerEntry(r.GetWorkspace(), r.GetKey(), held)
	if e != nil && e.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		reply.Code, _ = ledger.Claim(e, r)
		if reply.GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED {
			reply.Code = wire.LedgerCode_LEDGER_CODE_SETTLED
		}
		reply.Entry = e
		return true
	}
	if held {
		reply.Code, reply.Partial = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE, true
		return true
	}
	return false
}

// ledgerEntry returns a key's entry in the ledger: from this keeper's copy or,
// as that may still be catching up, from the leader.
func (k *Keeper) ledgerEntry(workspace, key string, ask bool) *wire.Entry {
	e := k.ledger.Entry(sumachead.WorkspaceID(workspace), sumachead.RequestKey(key))
	if e != nil || !ask {
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

// settleLost passes outcomes of entries that a lost journal may have had to the
// ledger.
func (k *Keeper) settleLost(b *wire.SettleBatch, got []*wire.LedgerReply) error {
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
			return errNotIntroduced
		}
	}
	return nil
}

package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/ledger"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
)

var errTopupOfOtherHall = errors.New("the top-up's id does not belong to this hall")

const (
	// cutOffDelay is how long the ledger must have had no leader before a refusal
	// by the hall's account is final. Until then a new leader may soon grant what
	// the account lacks.
	cutOffDelay = 2 * time.Second
	// grantTimeout bounds a journal's calls to the ledger, such as a request for
	// a grant.
	grantTimeout = 700 * time.Millisecond
	// claimMergeTimeout bounds how long a claim waits until it is merged into
	// the ledger.
	claimMergeTimeout = 400 * time.Millisecond
	// grantFactor is the number of requests of the current size that one grant
	// covers.
	grantFactor = 32
)

// hallService serves the journal of a hall. Only the keeper that holds the
// journal registers it.
type hallService struct{ keeper *Keeper }

// Reserve reserves tokens for a key that belongs to the hall, whether or not
// the ledger is reachable.
func (s *hallService) Reserve(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	k := s.keeper
	if keeperclient.HallOf(r.GetKey(), k.Config.Keepers) != k.Config.Hall {
		reply.Code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
		return nil
	}
	now := time.Now()
	r.NowUnixNano = now.UnixNano()
	k.demand.Record(r.GetBudget(), r.GetHall(), r.GetAmount(), now)
	if k.replyForLostJournal(r, reply, now) {
		return nil
	}
	got, err := reserveWithGrants(
		func() (*wire.LedgerReply, error) { return k.journal.Reserve(r) },
		func() (bool, error) { return k.requestGrant(r.GetBudget(), r.GetAmount()) },
		now.Add(maxGrantWait))
	if err == nil {
		got, err = k.reserveWhenTokensFree(r, got)
	}
	if err == nil && got.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		k.logShortfall(r)
	}
	if err == nil {
		err = k.mergeClaim()
	}
	return k.copyJournalReply("reserve", got, err, reply)
}

// logShortfall logs the state of a hall's account that cannot cover a
// reservation.
func (k *Keeper) logShortfall(r *wire.ReserveRequest) {
	id := sumachead.BudgetID(r.GetBudget())
	available, reserved := k.journal.Available(id)
	k.Log.Debug("The hall's account cannot cover a reservation.", "budget", id, "amount", r.GetAmount(), "available", available,
		"reserved", reserved, "granted", k.ledger.Granted(id, k.Config.Hall, k.identity.GetIncarnation()))
}

// mergeClaim merges a claim into the ledger before the caller gets a reply, so
// that no claim is lost together with a disk. An error means that the caller
// should retry, since a leader may soon be elected. If the ledger has had no
// leader for cutOffDelay, the journal alone suffices.
func (k *Keeper) mergeClaim() error {
	if k.ledgerGroup.leaderlessFor(time.Now()) >= cutOffDelay {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimMergeTimeout)
	defer cancel()
	if err := k.mergeOnce(ctx); err != nil {
		k.Log.Debug("Merging a claim failed; it is only in the journal.", "error", err)
		return keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	return nil
}

// reserveWhenTokensFree retries a reservation that the journal refused, as soon
// as requests in flight have released enough tokens.
func (k *Keeper) reserveWhenTokensFree(r *wire.ReserveRequest, got *wire.LedgerReply) (*wire.LedgerReply, error) {
	var err error
	available := func() (sumachead.Tokens, sumachead.Tokens) {
		return k.journal.Available(sumachead.BudgetID(r.GetBudget()))
	}
	for deadline := time.Now().Add(maxTokenWait); err == nil && k.awaitTokens(&k.journal.TokensFreed, r, got, deadline, available); {
		got, err = k.journal.Reserve(r)
	}
	return got, err
}

// copyJournalReply copies a reply of the journal to the caller's and counts it.
func (k *Keeper) copyJournalReply(method string, got *wire.LedgerReply, err error, reply *wire.LedgerReply) error {
	if err != nil {
		return err
	}
	reply.Code, reply.Entry, reply.RoomSoon = got.GetCode(), got.GetEntry(), got.GetRoomSoon()
	k.metrics.journalReplies.WithLabelValues(method, got.GetCode().String()).Inc()
	return nil
}

// requestGrant requests tokens from the ledger, waits until this keeper's replica
// of the ledger has applied the grant, and reports whether any were granted. An
// error means that the ledger was unreachable and the caller should retry; if it
// has had no leader for cutOffDelay, there is no error and no grant.
func (k *Keeper) requestGrant(budget string, amount int64) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	reply, err := k.clients.Grant(ctx, &wire.Grant{
		Budget: budget, Hall: string(k.Config.Hall), KeeperIncarnation: k.identity.GetIncarnation(),
		Amount: amount * grantFactor, Partial: true,
	})
	if err != nil && k.ledgerGroup.leaderlessFor(time.Now()) >= cutOffDelay {
		return false, nil
	}
	if err != nil {
		return false, keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	if reply.GetCode() != wire.LedgerCode_LEDGER_CODE_GRANTED {
		k.Log.Debug("The ledger refused to grant tokens to the hall.", "budget", budget, "code", reply.GetCode().String())
		return false, nil
	}
	// After a restart the local replica may still be replaying its log.
	total := k.grantedTotal(reply.GetBudget())
	loop.Until(ctx, pollInterval, func() bool {
		return k.ledger.Granted(sumachead.BudgetID(budget), k.Config.Hall, k.identity.GetIncarnation()) >= total
	})
	return true, trace.Wrap(ctx.Err())
}

// grantedTotal returns the total granted to this journal according to a budget's
// state.
func (k *Keeper) grantedTotal(b *wire.BudgetState) sumachead.Tokens {
	for _, a := range b.GetAllotments() {
		if a.GetHall() == string(k.Config.Hall) && a.GetKeeperIncarnation() == k.identity.GetIncarnation() {
			return sumachead.Tokens(a.GetGrantedTotal())
		}
	}
	return 0
}

// Reassign moves an entry of the journal to its next attempt.
func (s *hallService) Reassign(r *wire.ReassignRequest, reply *wire.LedgerReply) error {
	r.NowUnixNano = time.Now().UnixNano()
	got, err := s.keeper.journal.Reassign(r)
	return s.keeper.copyJournalReply("reassign", got, err, reply)
}

// Settle settles entries of the journal.
func (s *hallService) Settle(b *wire.SettleBatch, reply *wire.LedgerReplies) error {
	now := time.Now().UnixNano()
	for _, x := range b.GetSettles() {
		x.NowUnixNano = now
	}
	got, err := s.keeper.journal.Settle(b)
	if err == nil {
		err = s.keeper.settleLostEntries(b, got)
	}
	for _, r := range got {
		s.keeper.metrics.journalReplies.WithLabelValues("settle", r.GetCode().String()).Inc()
		reply.Replies = append(reply.Replies, &wire.LedgerReply{Code: r.GetCode()})
	}
	return err
}

// Topup credits tokens that were bought while the hall is cut off. The id must
// belong to the hall, so that no other partition credits it too.
func (s *hallService) Topup(r *wire.HallTopupRequest, _ *wire.Empty) error {
	k := s.keeper
	if keeperclient.HallOf(r.GetTopupId(), k.Config.Keepers) != k.Config.Hall {
		return errTopupOfOtherHall
	}
	return k.journal.Topup(sumachead.BudgetID(r.GetBudget()), r.GetTopupId(), sumachead.Tokens(r.GetTokens()))
}

// Recall returns unspent tokens and merges the record into the ledger before it
// replies.
func (s *hallService) Recall(r *wire.RecallRequest, _ *wire.Empty) error {
	k := s.keeper
	n, err := k.journal.ReturnTokens(sumachead.BudgetID(r.GetBudget()), sumachead.Tokens(r.GetAmount()))
	if err != nil || n == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	return k.mergeOnce(ctx)
}

// reserveCutOff serves a reservation from the hall's own account while the
// ledger has no leader. An error means that the caller should retry.
func (k *Keeper) reserveCutOff(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	leaderless := k.ledgerGroup.leaderlessFor(time.Now())
	noLeader := keeperclient.EncodeError(&raft.NotLeaderError{})
	if leaderless == 0 || !k.holdsJournal || r.GetHall() != string(k.Config.Hall) {
		return noLeader
	}
	reply.Partial = true
	if e := k.ledger.Entry(sumachead.WorkspaceID(r.GetWorkspace()), sumachead.RequestKey(r.GetKey())); e != nil &&
		e.GetHall() == "" && e.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		return k.replyFromLedgerEntry(e, r, leaderless, reply)
	}
	if r.GetNotRepeatable() {
		// Another partition may have claimed the key.
		if leaderless < cutOffDelay {
			return noLeader
		}
		reply.Code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
		return nil
	}
	got, err := k.journal.Reserve(r)
	if err == nil && got.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED && leaderless < cutOffDelay {
		return noLeader
	}
	if err == nil {
		got, err = k.reserveWhenTokensFree(r, got)
	}
	return k.copyJournalReply("reserve_cut_off", got, err, reply)
}

// replyFromLedgerEntry replies for a key that has an entry in the ledger. The
// entry cannot change while there is no leader, but a finished response can be
// fetched.
func (k *Keeper) replyFromLedgerEntry(e *wire.Entry, r *wire.ReserveRequest, leaderless time.Duration, reply *wire.LedgerReply) error {
	if leaderless < cutOffDelay {
		return keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	code, isNew := ledger.CheckClaim(e, r)
	if isNew {
		code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
	}
	reply.Code, reply.Entry = code, e
	return nil
}

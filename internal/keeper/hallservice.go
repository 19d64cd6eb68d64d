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

var errForeignTopup = errors.New("the top-up's id does not belong to this hall")

const (
	// cutOffAfter is how long the ledger may have no leader before the hall
	// answers for good from its own account. Until then what it can't grant
	// may soon be granted by a new leader.
	cutOffAfter = 2 * time.Second
	// grantTimeout bounds a journal's question for more tokens.
	grantTimeout = 700 * time.Millisecond
	// claimMergeTimeout bounds how long a claim waits to be in the ledger too.
	claimMergeTimeout = 400 * time.Millisecond
	// grantFactor is how many requests of the size at hand a question covers.
	grantFactor = 32
)

// hallService serves the hall's journal. Only the holder of the hall runs it.
type hallService struct{ keeper *Keeper }

// Reserve reserves for a key that belongs to the hall, connected or not.
func (s *hallService) Reserve(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	k := s.keeper
	if keeperclient.HallOf(r.GetKey(), k.Config.Keepers) != k.Config.Hall {
		reply.Code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
		return nil
	}
	now := time.Now()
	r.NowUnixNano = now.UnixNano()
	k.demand.Note(r.GetBudget(), r.GetHall(), r.GetAmount(), now)
	if k.answerForLostJournal(r, reply, now) {
		return nil
	}
	got, err := reserveWithGrants(
		func() (*wire.LedgerReply, error) { return k.journal.Reserve(r) },
		func() (bool, error) { return k.askGrant(r.GetBudget(), r.GetAmount()) },
		now.Add(grantsMost))
	if err == nil {
		got, err = k.reserveWithRoom(r, got)
	}
	if err == nil && got.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		k.noteShort(r)
	}
	if err == nil {
		err = k.mergeClaim()
	}
	return k.hallReply("reserve", got, err, reply)
}

// noteShort logs why the hall's account does not hold a reservation.
func (k *Keeper) noteShort(r *wire.ReserveRequest) {
	id := sumachead.BudgetID(r.GetBudget())
	available, reserved := k.journal.Available(id)
	k.Log.Debug("The hall's account does not hold a reservation.", "budget", id, "amount", r.GetAmount(), "available", available,
		"reserved", reserved, "granted", k.ledger.Granted(id, k.Config.Hall, k.identity.GetIncarnation()))
}

// mergeClaim brings a claim to the ledger before it is answered, so that a disk
// that is lost takes no claim with it. An error means that the caller should try
// again: a leader may soon be there. Once the hall has been cut off for long,
// the journal alone must do.
func (k *Keeper) mergeClaim() error {
	if k.money.leaderlessFor(time.Now()) >= cutOffAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimMergeTimeout)
	defer cancel()
	if err := k.mergeOnce(ctx); err != nil {
		k.Log.Debug("A claim is in the journal only, so far.", "error", err)
		return keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	return nil
}

// reserveWithRoom repeats a reservation that the journal refused, once requests
// under way have given back enough.
func (k *Keeper) reserveWithRoom(r *wire.ReserveRequest, got *wire.LedgerReply) (*wire.LedgerReply, error) {
	var err error
	available := func() (sumachead.Tokens, sumachead.Tokens) {
		return k.journal.Available(sumachead.BudgetID(r.GetBudget()))
	}
	for deadline := time.Now().Add(roomWait); err == nil && k.awaitRoom(&k.journal.Room, r, got, deadline, available); {
		got, err = k.journal.Reserve(r)
	}
	return got, err
}

// hallReply passes on what the journal answered.
func (k *Keeper) hallReply(method string, got *wire.LedgerReply, err error, reply *wire.LedgerReply) error {
	if err != nil {
		return err
	}
	reply.Code, reply.Entry, reply.RoomSoon = got.GetCode(), got.GetEntry(), got.GetRoomSoon()
	k.metrics.journalReplies.WithLabelValues(method, got.GetCode().String()).Inc()
	return nil
}

// askGrant asks the ledger for tokens and waits until this keeper's copy of
// the ledger shows them. It reports whether the ledger has granted any. An error means
// that it was not reached: the caller should try again, unless the hall has been cut off
// for long.
func (k *Keeper) askGrant(budget string, amount int64) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	reply, err := k.clients.Grant(ctx, &wire.Grant{
		Budget: budget, Hall: string(k.Config.Hall), KeeperIncarnation: k.identity.GetIncarnation(),
		Amount: amount * grantFactor, Partial: true,
	})
	if err != nil && k.money.leaderlessFor(time.Now()) >= cutOffAfter {
		return false, nil
	}
	if err != nil {
		return false, keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	if reply.GetCode() != wire.LedgerCode_LEDGER_CODE_GRANTED {
		k.Log.Debug("The ledger grants the hall nothing.", "budget", budget, "code", reply.GetCode().String())
		return false, nil
	}
	// The copy may still be replaying its log after a restart: it is waited for
	// until it shows this very grant.
	total := k.grantedIn(reply.GetBudget())
	loop.Until(ctx, pollEvery, func() bool {
		return k.ledger.Granted(sumachead.BudgetID(budget), k.Config.Hall, k.identity.GetIncarnation()) >= total
	})
	return true, trace.Wrap(ctx.Err())
}

// grantedIn returns what a budget's state says was granted to this journal.
func (k *Keeper) grantedIn(b *wire.BudgetState) sumachead.Tokens {
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
	return s.keeper.hallReply("reassign", got, err, reply)
}

// Settle ends entries of the journal.
func (s *hallService) Settle(b *wire.SettleBatch, reply *wire.LedgerReplies) error {
	now := time.Now().UnixNano()
	for _, x := range b.GetSettles() {
		x.NowUnixNano = now
	}
	got, err := s.keeper.journal.Settle(b)
	if err == nil {
		err = s.keeper.settleLost(b, got)
	}
	for _, r := range got {
		s.keeper.metrics.journalReplies.WithLabelValues("settle", r.GetCode().String()).Inc()
		reply.Replies = append(reply.Replies, &wire.LedgerReply{Code: r.GetCode()})
	}
	return err
}

// Topup takes tokens that were bought while the hall is cut off. The id must
// belong to the hall, so that no other side takes it too.
func (s *hallService) Topup(r *wire.HallTopupRequest, _ *wire.Empty) error {
	k := s.keeper
	if keeperclient.HallOf(r.GetTopupId(), k.Config.Keepers) != k.Config.Hall {
		return errForeignTopup
	}
	return k.journal.Topup(sumachead.BudgetID(r.GetBudget()), r.GetTopupId(), sumachead.Tokens(r.GetTokens()))
}

// Recall gives unspent tokens back and brings the record to the ledger before
// it answers.
func (s *hallService) Recall(r *wire.RecallRequest, _ *wire.Empty) error {
	k := s.keeper
	n, err := k.journal.Return(sumachead.BudgetID(r.GetBudget()), sumachead.Tokens(r.GetAmount()))
	if err != nil || n == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	return k.mergeOnce(ctx)
}

// reserveCutOff serves a reservation from the hall's own account while the
// ledger has no leader. An error means that the caller should try on.
func (k *Keeper) reserveCutOff(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	lost := k.money.leaderlessFor(time.Now())
	noLeader := keeperclient.EncodeError(&raft.NotLeaderError{})
	if lost == 0 || !k.holds || r.GetHall() != string(k.Config.Hall) {
		return noLeader
	}
	reply.Partial = true
	if e := k.ledger.Entry(sumachead.WorkspaceID(r.GetWorkspace()), sumachead.RequestKey(r.GetKey())); e != nil &&
		e.GetHall() == "" && e.GetState() != wire.EntryState_ENTRY_STATE_RELEASED {
		return k.knownElsewhere(e, r, lost, reply)
	}
	if r.GetNotRepeatable() {
		// The other side may have claimed the key.
		if lost < cutOffAfter {
			return noLeader
		}
		reply.Code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
		return nil
	}
	got, err := k.journal.Reserve(r)
	if err == nil && got.GetCode() == wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED && lost < cutOffAfter {
		return noLeader
	}
	if err == nil {
		got, err = k.reserveWithRoom(r, got)
	}
	return k.hallReply("reserve_cut_off", got, err, reply)
}

// knownElsewhere answers for a key whose entry is in the ledger: its state
// can't be changed now, but a finished answer can be fetched.
func (k *Keeper) knownElsewhere(e *wire.Entry, r *wire.ReserveRequest, lost time.Duration, reply *wire.LedgerReply) error {
	if lost < cutOffAfter {
		return keeperclient.EncodeError(&raft.NotLeaderError{})
	}
	code, fresh := ledger.Claim(e, r)
	if fresh {
		code = wire.LedgerCode_LEDGER_CODE_CLAIM_UNAVAILABLE
	}
	reply.Code, reply.Entry = code, e
	return nil
}

package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/ledger"
)

// maxTokenWait bounds how long one call of Reserve waits for requests in flight
// to release tokens that they reserved and did not use. It is shorter than the
// timeout after which a caller considers a keeper dead; the caller retries.
const maxTokenWait = 400 * time.Millisecond

// proposeTimeout bounds how long a command waits for a quorum.
const proposeTimeout = 2 * time.Second

// ledgerService serves the ledger to routers, agents and the command-line tool.
type ledgerService struct{ keeper *Keeper }

// propose replicates a ledger command and returns its result.
func (k *Keeper) propose(ctx context.Context, c *wire.LedgerCommand) (any, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := k.ledgerGroup.node.Propose(ctx, data)
	return result, keeperclient.EncodeError(err)
}

// proposeReply is like propose for commands whose result is a LedgerReply.
func (k *Keeper) proposeReply(c *wire.LedgerCommand, reply *wire.LedgerReply) error {
	result, err := k.propose(context.Background(), c)
	if err != nil {
		return err
	}
	r := result.(*wire.LedgerReply)
	reply.Code, reply.Entry, reply.Budget, reply.RoomSoon = r.GetCode(), r.GetEntry(), r.GetBudget(), false
	return nil
}

// Reserve reserves the maximum cost of a request and claims its key.
func (s *ledgerService) Reserve(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	k := s.keeper
	now := time.Now()
	r.NowUnixNano = now.UnixNano()
	if k.ledgerGroup.leaderlessFor(now) > 0 {
		return k.reserveCutOff(r, reply)
	}
	c := &wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: r}}
	err := k.proposeReply(c, reply)
	if err == nil {
		k.demand.Record(r.GetBudget(), r.GetHall(), r.GetAmount(), now)
	}
	if err == nil && k.recallOnShortfall(r.GetBudget(), r.GetAmount(), "", reply) {
		err = k.proposeReply(c, reply)
	}
	available := func() (sumachead.Tokens, sumachead.Tokens) {
		return k.ledger.Available(sumachead.BudgetID(r.GetBudget()))
	}
	for deadline := now.Add(maxTokenWait); err == nil && k.awaitTokens(&k.ledger.TokensFreed, r, reply, deadline, available); {
		err = k.proposeReply(c, reply)
	}
	if err == nil {
		s.keeper.metrics.ledgerReplies.WithLabelValues("reserve", reply.GetCode().String()).Inc()
	}
	return err
}

// awaitTokens waits for free tokens if the budget is short only because requests
// in flight reserve their maximum cost. It reports whether the amount is
// available now.
func (k *Keeper) awaitTokens(freed *ledger.Notifier, r *wire.ReserveRequest, reply *wire.LedgerReply, deadline time.Time, available func() (sumachead.Tokens, sumachead.Tokens)) bool {
	if reply.GetCode() != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		return false
	}
	amount := sumachead.Tokens(r.GetAmount())
	if free, reserved := available(); free+reserved < amount {
		return false
	}
	k.metrics.reserveWaits.Inc()
	reply.RoomSoon = true
	return freed.Await(deadline, func() bool {
		free, _ := available()
		return free >= amount
	})
}

// Reassign moves an entry to its next attempt.
func (s *ledgerService) Reassign(r *wire.ReassignRequest, reply *wire.LedgerReply) error {
	r.NowUnixNano = time.Now().UnixNano()
	err := s.keeper.proposeReply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Reassign{Reassign: r}}, reply)
	if err == nil {
		s.keeper.metrics.ledgerReplies.WithLabelValues("reassign", reply.GetCode().String()).Inc()
	}
	return err
}

// Settle settles entries of the ledger.
func (s *ledgerService) Settle(b *wire.SettleBatch, reply *wire.LedgerReplies) error {
	now := time.Now().UnixNano()
	for _, x := range b.GetSettles() {
		x.NowUnixNano = now
	}
	result, err := s.keeper.propose(context.Background(), &wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: b}})
	if err != nil {
		return err
	}
	for _, r := range result.(*wire.LedgerReplies).GetReplies() {
		s.keeper.metrics.ledgerReplies.WithLabelValues("settle", r.GetCode().String()).Inc()
		reply.Replies = append(reply.Replies, &wire.LedgerReply{Code: r.GetCode()})
	}
	return nil
}

// Lookup returns budgets and entries. The read is linearizable.
func (s *ledgerService) Lookup(r *wire.LookupRequest, reply *wire.LookupReply) error {
	if err := s.keeper.ledgerGroup.readBarrier(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.ledger.Lookup(r))
	return nil
}

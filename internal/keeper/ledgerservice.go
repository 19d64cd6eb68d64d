package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
)

// proposeTimeout bounds how long a caller's command waits for a quorum.
const proposeTimeout = 2 * time.Second

// ledgerService serves the ledger to routers, agents and the tool.
type ledgerService struct{ keeper *Keeper }

// propose replicates a command of the ledger and returns its result.
func (k *Keeper) propose(ctx context.Context, c *wire.LedgerCommand) (any, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := k.money.node.Propose(ctx, data)
	return result, keeperclient.EncodeError(err)
}

// proposeReply is propose for the commands that are answered by a LedgerReply.
func (k *Keeper) proposeReply(c *wire.LedgerCommand, reply *wire.LedgerReply) error {
	result, err := k.propose(context.Background(), c)
	if err != nil {
		return err
	}
	r := result.(*wire.LedgerReply)
	reply.Code, reply.Entry, reply.Budget = r.GetCode(), r.GetEntry(), r.GetBudget()
	return nil
}

// Reserve reserves a request's cost and claims its key.
func (s *ledgerService) Reserve(r *wire.ReserveRequest, reply *wire.LedgerReply) error {
	r.NowUnixNano = time.Now().UnixNano()
	err := s.keeper.proposeReply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: r}}, reply)
	if err == nil {
		s.keeper.metrics.ledgerReplies.WithLabelValues("reserve", reply.GetCode().String()).Inc()
	}
	return err
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

// Settle ends entries.
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

// Lookup shows budgets and entries; the answer is linearizable.
func (s *ledgerService) Lookup(r *wire.LookupRequest, reply *wire.LookupReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := s.keeper.money.node.ReadBarrier(ctx); err != nil {
		return keeperclient.EncodeError(err)
	}
	proto.Merge(reply, s.keeper.ledger.Lookup(r))
	return nil
}

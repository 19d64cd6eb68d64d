package fleet

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

const (
	// sweepInterval is the interval at which the leader checks for silent servers.
	sweepInterval = time.Second
	// suspectInterval is the interval at which the leader decides on suspects that have been on trial.
	suspectInterval = 100 * time.Millisecond
	// copyPollWait is how long the leader may hold a keeper's follow request.
	copyPollWait = 800 * time.Millisecond
	// copyTimeout bounds the call of such a request.
	copyTimeout = copyPollWait + callTimeout
	// copyRetryInterval is the pause after a failed request; several of them fit into an election
	// timeout.
	copyRetryInterval = 200 * time.Millisecond
	// copyFirstRetryDelay is the pause after the first failure, which may only mean that a
	// connection was lost. The retry needs a new connection: if that is refused, the leader's
	// process has most likely stopped, and the members poll each other.
	copyFirstRetryDelay = 10 * time.Millisecond
)

// Declare validates a declaration and commits it. The highest number wins; a declaration whose
// number is not above the current one changes nothing. A [trace.BadParameter] error is a permanent
// refusal; after any other error the declaration may or may not come into force.
func (k *Keeper) Declare(ctx context.Context, d *wire.Declaration) error {
	if err := catalog.Validate(d.GetCatalog()); err != nil {
		k.Log.Warn("Declaration rejected.", "number", d.GetNumber(), "error", err)
		return err
	}
	p, err := catalog.Pack(d)
	if err != nil {
		return err
	}
	reply, err := callLeader[wire.DeclareReply](ctx, k, "Fleet.Declare", p, (&service{k}).Declare)
	k.Log.Info("Processed a declaration.", "number", d.GetNumber(), "held", reply.GetNumber(), "error", err)
	return err
}

// Document returns the newest declaration's number and the document as its operator sent it; the
// read is linearizable. The number is 0 before the first declaration.
func (k *Keeper) Document(ctx context.Context) (number uint64, source []byte, err error) {
	own := k.machine.PackedDeclaration()
	reply, err := callLeader[wire.PackedDeclaration](ctx, k, "Fleet.Read", &wire.DocumentRequest{Number: own.GetNumber()}, (&service{k}).Read)
	if err != nil {
		return 0, nil, err
	}
	if reply.GetNumber() == own.GetNumber() {
		reply = own
	}
	source, err = catalog.Source(reply)
	return reply.GetNumber(), source, err
}

// callLeader runs a call at the leader: locally if this keeper leads, else by RPC. It retries
// until ctx ends while the call is refused because there is no leader, which means that it had no
// effect.
func callLeader[R any, A proto.Message](ctx context.Context, k *Keeper, method string, args A, local func(A, *R) error) (*R, error) {
	const retryInterval = 50 * time.Millisecond
	for {
		reply, err := callLeaderOnce(ctx, k, method, args, local)
		if err == nil || !keeperclient.IsNotLeader(err) {
			return reply, err
		}
		if !loop.Sleep(ctx, retryInterval) {
			return nil, err
		}
	}
}

func callLeaderOnce[R any, A proto.Message](ctx context.Context, k *Keeper, method string, args A, local func(A, *R) error) (*R, error) {
	leader, err := k.awaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	if leader == k.Address {
		reply := new(R)
		if err := local(args, reply); err != nil {
			return nil, err
		}
		return reply, nil
	}
	return rpc.Call[R](ctx, k.Pool.Get(leader), method, args)
}

// sweepLoop checks for silent servers and for suspects whose standing has expired, while this
// keeper leads. Otherwise it drops what the leader has dropped.
func (k *Keeper) sweepLoop(ctx context.Context) error {
	return loop.Every(ctx, sweepInterval, func() {
		if k.node.IsLeader() && k.requireLeadership() == nil {
			k.servers.StartLeading(k.history(), time.Now())
			k.servers.Sweep(time.Now())
			k.expireSuspects(time.Now())
			k.retries.StartLeading(k.history(), k.machine.RetryServices())
			k.retries.RecordUnused()
			return
		}
		k.servers.Prune(time.Now())
	})
}

// suspectLoop decides on suspects that have been on trial, while this keeper leads.
func (k *Keeper) suspectLoop(ctx context.Context) error {
	return loop.Every(ctx, suspectInterval, func() {
		if k.crashTracker.HasPending() && k.node.IsLeader() && k.requireLeadership() == nil {
			k.decideSuspects(time.Now())
		}
	})
}

// copyLoop keeps a copy of the leader's server records, so that this keeper can take over with
// them.
func (k *Keeper) copyLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if k.copyOnce(ctx) {
			failures = 0
			continue
		}
		pause := copyRetryInterval
		if failures == 0 {
			pause = copyFirstRetryDelay
		}
		failures++
		loop.Sleep(ctx, pause)
	}
	return nil
}

func (k *Keeper) copyOnce(ctx context.Context) bool {
	leader := k.node.Status().GetLeader()
	if leader == "" || leader == k.Address {
		return false
	}
	history, version, after := k.servers.FollowPosition()
	r := &wire.FollowRequest{
		Node: string(k.Node), Role: RoleKeeper, Hall: string(k.Hall),
		// The declaration, hall states, suspects and rollouts are replicated by the log.
		Number: math.MaxUint64, HallsRevision: math.MaxUint64, SuspectsRevision: math.MaxUint64, RolloutsRevision: math.MaxUint64,
		History: history, Version: version, After: after, TakesParts: true, WaitMillis: copyPollWait.Milliseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.FollowReply](ctx, k.Pool.Get(leader), "Fleet.Follow", r)
	if rpc.IsConnectionRefused(err) {
		k.node.ReportConnectionRefused(leader)
	}
	if err != nil || k.node.IsLeader() {
		return false
	}
	k.servers.Apply(reply, time.Now())
	k.copiedAt.Store(time.Now().UnixNano())
	return true
}

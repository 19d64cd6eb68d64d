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
	// sweepEvery is how often the leader looks for servers that went silent.
	sweepEvery = time.Second
	// copyWait is how long the leader may hold a keeper's question.
	copyWait = 800 * time.Millisecond
	// copyWithin bounds an answer to such a question.
	copyWithin = copyWait + callTimeout
	// copyPause separates questions that failed: some of them fit into an election
	// timeout.
	copyPause = 200 * time.Millisecond
	// copyAgain is the same after the first that failed, which may only mean that a
	// connection was lost. The next one needs a new connection: if that is refused,
	// the leader's process has most likely ended, and members poll each other.
	copyAgain = 10 * time.Millisecond
)

// Declare checks a declaration and commits it; the highest number holds, and one
// that is not above it changes nothing. A [trace.BadParameter] error refuses it
// for good; any other leaves open whether it will be in force.
func (k *Keeper) Declare(ctx context.Context, d *wire.Declaration) error {
	if err := catalog.Check(d.GetCatalog()); err != nil {
		k.Log.Warn("A declaration is refused.", "number", d.GetNumber(), "error", err)
		return err
	}
	p, err := catalog.Pack(d)
	if err != nil {
		return err
	}
	reply, err := ask[wire.DeclareReply](ctx, k, "Fleet.Declare", p, (&service{k}).Declare)
	k.Log.Info("A declaration was taken.", "number", d.GetNumber(), "held", reply.GetNumber(), "error", err)
	return err
}

// Document returns the newest declaration's number and the document as its
// operator sent it; the answer is linearizable. The number is 0 before the first.
func (k *Keeper) Document(ctx context.Context) (number uint64, source []byte, err error) {
	own := k.machine.Packed()
	reply, err := ask[wire.PackedDeclaration](ctx, k, "Fleet.Read", &wire.DocumentRequest{Number: own.GetNumber()}, (&service{k}).Read)
	if err != nil {
		return 0, nil, err
	}
	if reply.GetNumber() == own.GetNumber() {
		reply = own
	}
	source, err = catalog.Source(reply)
	return reply.GetNumber(), source, err
}

// ask runs a call at the leader: here, or by a call to it. It tries again while
// ctx allows and nothing was done.
func ask[R any, A proto.Message](ctx context.Context, k *Keeper, method string, args A, local func(A, *R) error) (*R, error) {
	const retryPause = 50 * time.Millisecond
	for {
		reply, err := askOnce(ctx, k, method, args, local)
		if err == nil || !keeperclient.IsNotLeader(err) {
			return reply, err
		}
		if !loop.Sleep(ctx, retryPause) {
			return nil, err
		}
	}
}

func askOnce[R any, A proto.Message](ctx context.Context, k *Keeper, method string, args A, local func(A, *R) error) (*R, error) {
	leader, err := k.leader(ctx)
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

// sweepLoop looks for servers that went silent, and for suspects that have stood as they do
// for long, where this keeper leads.
func (k *Keeper) sweepLoop(ctx context.Context) error {
	return loop.Every(ctx, sweepEvery, func() {
		if k.node.Leading() && k.leading() == nil {
			k.servers.Lead(k.history(), time.Now())
			k.servers.Sweep(time.Now())
			k.sweepSuspects(time.Now())
		}
	})
}

// copyLoop keeps a copy of the leader's server records, so that this keeper can
// take over with them.
func (k *Keeper) copyLoop(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if k.copyOnce(ctx) {
			failures = 0
			continue
		}
		pause := copyPause
		if failures == 0 {
			pause = copyAgain
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
	history, version := k.servers.Position()
	r := &wire.FollowRequest{
		Node: string(k.Node), Role: RoleKeeper, Hall: string(k.Hall),
		// The declaration, the states of data halls, suspects and roll-outs come by the log.
		Number: math.MaxUint64, HallsRevision: math.MaxUint64, SuspectsRevision: math.MaxUint64, RolloutsRevision: math.MaxUint64,
		History: history, Version: version, WaitMillis: copyWait.Milliseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, copyWithin)
	defer cancel()
	reply, err := rpc.Call[wire.FollowReply](ctx, k.Pool.Get(leader), "Fleet.Follow", r)
	if rpc.IsRefused(err) {
		k.node.PeerRefused(leader)
	}
	if err != nil || k.node.Leading() {
		return false
	}
	k.servers.Take(reply, time.Now())
	k.copiedAt.Store(time.Now().UnixNano())
	return true
}

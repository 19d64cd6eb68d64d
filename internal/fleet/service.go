package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/blame"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
	"sumachead/internal/registry"
)

const (
	// proposeTimeout bounds a command; callers wait about a second.
	proposeTimeout = 900 * time.Millisecond
	// maxFollowWait bounds how long a question of a follower is held.
	maxFollowWait = time.Second
	// leasePause separates looks at whether a new leader has its lease: a round trip
	// between data halls.
	leasePause = 3 * time.Millisecond
	// maxRelayWait is the same for relays, to which little is ever new.
	maxRelayWait = 4 * time.Second
	// gatherServer is for how long, for each backend server that is known, changes of
	// records are gathered for a follower, and gatherServers bounds that: far below
	// the seconds within which a leaving server gets nothing new.
	gatherServer  = 100 * time.Microsecond
	gatherServers = 200 * time.Millisecond
)

// service takes the calls of other processes that only the leader can answer.
type service struct{ keeper *Keeper }

// Join takes a keeper into the group.
func (s *service) Join(r *wire.JoinRequest, _ *wire.Empty) error {
	if r.GetMember().GetId() == "" || r.GetMember().GetIncarnation() == "" {
		return trace.BadParameter("a member without id or incarnation")
	}
	if err := s.keeper.leading(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	_, err := s.keeper.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members { return raft.WithLearner(ms, r.GetMember()) })
	return err
}

// Declare commits a declaration.
func (s *service) Declare(p *wire.PackedDeclaration, reply *wire.DeclareReply) error {
	p.FingerprintKey = blame.NewKey()
	result, err := s.keeper.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Declare{Declare: p}})
	if err != nil {
		return err
	}
	proto.Merge(reply, result.(*wire.DeclareReply))
	return nil
}

// Read returns the newest declaration's document, unless the asker has it; the
// answer is linearizable.
func (s *service) Read(r *wire.DocumentRequest, reply *wire.PackedDeclaration) error {
	if err := s.keeper.leading(); err != nil {
		return err
	}
	p := s.keeper.machine.Packed()
	reply.Number = p.GetNumber()
	if p.GetNumber() != r.GetNumber() {
		reply.Source = p.GetSource()
	}
	return nil
}

// Beat takes in a backend server's heartbeat. That a server leaves is committed
// before it is acknowledged.
func (s *service) Beat(r *wire.ServerRecord, _ *wire.Empty) error {
	k := s.keeper
	if err := k.leading(); err != nil {
		return err
	}
	if r.GetAddress() == "" && r.GetBornUnixMillis() == 0 {
		r.Id = k.servers.Last(registry.Name(r)) // a bare notice is of the life that is known
	}
	if r.GetState() == wire.ServerState_SERVER_STATE_LEAVING && !k.machine.Leaving(r.GetId()) {
		c := &wire.FleetCommand{Command: &wire.FleetCommand_Leaving{Leaving: &wire.ServerLeaving{Id: r.GetId()}}}
		if _, err := k.propose(c); err != nil {
			return err
		}
		k.Log.Info("A backend server leaves.", "server", r.GetId(), "sequence", r.GetSequence())
	}
	if r.GetAddress() == "" {
		return nil // a bare notice of leaving
	}
	return k.noteBeat(r, time.Now())
}

// Follow tells a node what it lacks; it is held until there is something. A node that
// only asks who leads is answered once somebody does, and a relay is told of no servers.
func (s *service) Follow(r *wire.FollowRequest, reply *wire.FollowReply) error {
	k := s.keeper
	if r.GetLocate() {
		return k.locate(r, reply)
	}
	if err := k.leading(); err != nil {
		return err
	}
	pause := k.followers.saw(r, time.Now())
	switch {
	case pause > 0:
		reply.PauseMillis = pause.Milliseconds()
	case r.GetRole() == RoleRelay:
		time.Sleep(min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxRelayWait))
	default:
		s.hold(r)
	}
	if err := k.leading(); err != nil {
		return err
	}
	k.describe(r, reply)
	if r.GetRole() == RoleRelay {
		return nil
	}
	k.servers.Lead(k.history(), time.Now())
	answer, _ := k.servers.Since(r.GetHistory(), r.GetVersion())
	// The records are shared with the table, which never changes them.
	reply.History, reply.Version, reply.Whole, reply.Servers = answer.GetHistory(), answer.GetVersion(), answer.GetWhole(), answer.GetServers()
	k.tellLog(r, reply)
	reply.Lacking, _ = k.sizer.ReclaimRequests(sumachead.NodeID(r.GetNode()), time.Now())
	return nil
}

// tellLog tells a node what it lacks of what the log holds.
func (k *Keeper) tellLog(r *wire.FollowRequest, reply *wire.FollowReply) {
	if p := k.machine.Packed(); p.GetNumber() > r.GetNumber() {
		reply.Declaration = &wire.PackedDeclaration{Number: p.GetNumber(), Catalog: p.GetCatalog(), FingerprintKey: p.GetFingerprintKey()}
	}
	if k.machine.HallsRevision() > r.GetHallsRevision() {
		reply.Halls = k.machine.Halls(time.Now())
	}
	if k.machine.SuspectsRevision() > r.GetSuspectsRevision() {
		reply.Suspects = k.machine.Suspects(r.GetSuspectsRevision())
	}
	if k.machine.RolloutsRevision() > r.GetRolloutsRevision() {
		reply.Rollouts = k.machine.Rollouts()
	}
}

// locate tells a node who leads. Where nobody does, the question is held as long as the
// node allows, so that it knows as soon as this keeper does without asking often.
func (k *Keeper) locate(r *wire.FollowRequest, reply *wire.FollowReply) error {
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxFollowWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := k.leading()
	if err != nil && k.node.AwaitLeader(ctx) == nil {
		err = k.leading()
	}
	// A leader that is new has no lease before its first heartbeats are answered.
	for err != nil && k.node.Leading() && ctx.Err() == nil {
		time.Sleep(leasePause)
		err = k.leading()
	}
	if err != nil {
		return err
	}
	k.describe(r, reply)
	return nil
}

// describe tells a node of the fleet's control: who leads, which other keepers there
// are, how many routers there are, and to a router its relays and its data hall's lenders.
func (k *Keeper) describe(r *wire.FollowRequest, reply *wire.FollowReply) {
	reply.Keepers = k.node.Status().GetMembers()
	reply.Leader = k.Address
	reply.Routers = uint32(k.followers.count(RoleRouter))
	if r.GetRole() == RoleRouter {
		reply.Relays = k.followers.relaysFor(r.GetNode())
		if lenders, digest := k.followers.lendersOf(sumachead.HallID(r.GetHall())); digest != r.GetLendersDigest() {
			reply.Lenders, reply.LendersDigest = lenders, digest
		}
	}
}

// hold waits while there is nothing new for the node, as long as it allows.
func (s *service) hold(r *wire.FollowRequest) {
	k := s.keeper
	// The channel comes first: what changes after it was taken closes it.
	_, changed := k.machine.Declaration()
	behind := k.isBehind(r)
	news, servers := k.servers.Since(r.GetHistory(), r.GetVersion())
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxFollowWait)
	if behind || news.GetWhole() || len(news.GetServers()) > 0 || wait <= 0 {
		return
	}
	_, lacking := k.sizer.ReclaimRequests(sumachead.NodeID(r.GetNode()), time.Now())
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-lacking:
	case <-changed:
	case <-servers:
		// Changes come in series; what follows at once goes along.
		time.Sleep(min(gatherServer*time.Duration(k.servers.Count()), gatherServers))
	case <-t.C:
	}
}

// isBehind reports whether a node lacks something that the log holds.
func (k *Keeper) isBehind(r *wire.FollowRequest) bool {
	m := k.machine
	return m.Packed().GetNumber() > r.GetNumber() || m.HallsRevision() > r.GetHallsRevision() ||
		m.SuspectsRevision() > r.GetSuspectsRevision() || m.RolloutsRevision() > r.GetRolloutsRevision()
}

// history names this leader's numbering of server records.
func (k *Keeper) history() string {
	return fmt.Sprintf("%s/%s/%d", k.Address, k.identity.GetIncarnation(), k.node.Status().GetTerm())
}

// leading returns nil where this keeper leads and its state is current, and
// otherwise the error to answer a caller with.
func (k *Keeper) leading() error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return keeperclient.EncodeError(k.node.ReadBarrier(ctx))
}

// propose commits a command and returns what the machine answered.
func (k *Keeper) propose(c *wire.FleetCommand) (any, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	begun := time.Now()
	result, err := k.node.Propose(ctx, data)
	if err == nil {
		k.metrics.commits.Observe(time.Since(begun).Seconds())
	}
	return result, keeperclient.EncodeError(err)
}

// leader returns the leader's address, waiting for one to be known.
func (k *Keeper) leader(ctx context.Context) (string, error) {
	const pollEvery = 20 * time.Millisecond
	for {
		if l := k.node.Status().GetLeader(); l != "" {
			return l, nil
		}
		if !loop.Sleep(ctx, pollEvery) {
			return "", sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonLedgerUnreached, "no keeper leads", time.Now())
		}
	}
}

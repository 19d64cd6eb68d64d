package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/quarantine"
	"sumachead/internal/raft"
	"sumachead/internal/registry"
)

const (
	// proposeTimeout bounds a command; callers wait about a second.
	proposeTimeout = 900 * time.Millisecond
	// maxFollowWait bounds how long a follow request is held.
	maxFollowWait = time.Second
	// leasePollInterval is how often a new leader checks whether it has its lease: a round trip
	// between data halls.
	leasePollInterval = 3 * time.Millisecond
	// maxRelayWait bounds how long a relay's follow request is held; relays are rarely sent
	// anything new.
	maxRelayWait = 4 * time.Second
	// changeDelayPerServer is how long, for each known backend server, record changes are batched
	// for a follower, up to maxChangeDelay: far below the seconds within which a leaving server
	// must stop getting requests.
	changeDelayPerServer = 100 * time.Microsecond
	maxChangeDelay       = 200 * time.Millisecond
)

// service serves the RPCs that only the leader can answer.
type service struct{ keeper *Keeper }

// Join adds a keeper to the group.
func (s *service) Join(r *wire.JoinRequest, _ *wire.Empty) error {
	if r.GetMember().GetId() == "" || r.GetMember().GetIncarnation() == "" {
		return trace.BadParameter("a member without id or incarnation")
	}
	if err := s.keeper.requireLeadership(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	_, err := s.keeper.node.ChangeMembers(ctx, func(ms *wire.Members) *wire.Members { return raft.WithLearner(ms, r.GetMember()) })
	return err
}

// Declare commits a declaration.
func (s *service) Declare(p *wire.PackedDeclaration, reply *wire.DeclareReply) error {
	if err := catalog.CheckPacked(p); err != nil {
		return keeperclient.EncodeError(err) // the log must hold nothing that a keeper cannot apply
	}
	p.FingerprintKey = quarantine.NewKey()
	result, err := s.keeper.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Declare{Declare: p}})
	if err != nil {
		return err
	}
	proto.Merge(reply, result.(*wire.DeclareReply))
	return nil
}

// Read returns the newest declaration's document, unless the caller already has it; the read is
// linearizable.
func (s *service) Read(r *wire.DocumentRequest, reply *wire.PackedDeclaration) error {
	if err := s.keeper.requireLeadership(); err != nil {
		return err
	}
	p := s.keeper.machine.PackedDeclaration()
	reply.Number = p.GetNumber()
	if p.GetNumber() != r.GetNumber() {
		reply.Source = p.GetSource()
	}
	return nil
}

// Beat handles a heartbeat of a backend server. A server's leaving is committed before it is
// acknowledged.
func (s *service) Beat(r *wire.ServerRecord, _ *wire.Empty) error {
	k := s.keeper
	if err := k.requireLeadership(); err != nil {
		return err
	}
	if r.GetAddress() == "" && r.GetBornUnixMillis() == 0 {
		r.Id = k.servers.LatestIncarnation(registry.ServerName(r)) // a notice without an address or start time refers to the known incarnation
	}
	if err := k.validate(r); err != nil {
		return err
	}
	if r.GetState() == wire.ServerState_SERVER_STATE_LEAVING && !k.machine.IsLeaving(r.GetId()) {
		c := &wire.FleetCommand{Command: &wire.FleetCommand_Leaving{Leaving: &wire.ServerLeaving{Id: r.GetId()}}}
		if _, err := k.propose(c); err != nil {
			return err
		}
		k.Log.Info("Backend server is leaving.", "server", r.GetId(), "sequence", r.GetSequence())
	}
	if r.GetAddress() == "" {
		return nil // only a notice of leaving
	}
	return k.applyRecord(r, time.Now())
}

// Follow returns what a node does not have yet, and blocks until there is something. A request
// that only locates the leader is answered once there is one, and a relay is sent no servers.
func (s *service) Follow(r *wire.FollowRequest, reply *wire.FollowReply) error {
	k := s.keeper
	if r.GetLocate() {
		return k.locate(r, reply)
	}
	if err := k.requireLeadership(); err != nil {
		return err
	}
	pause := k.followers.observe(r, time.Now())
	switch {
	case pause > 0:
		reply.PauseMillis = pause.Milliseconds()
	case r.GetRole() == RoleRelay:
		time.Sleep(min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxRelayWait))
	default:
		s.awaitChanges(r)
	}
	if err := k.requireLeadership(); err != nil {
		return err
	}
	k.fillControlInfo(r, reply)
	if r.GetRole() == RoleRelay {
		return nil
	}
	k.servers.StartLeading(k.history(), time.Now())
	k.retries.StartLeading(k.history(), k.machine.RetryServices())
	page := k.servers.ForFollower(r)
	// The records are shared with the table, which never modifies them.
	reply.History, reply.Version, reply.Whole, reply.Servers = page.GetHistory(), page.GetVersion(), page.GetWhole(), page.GetServers()
	reply.After, reply.Next = page.GetAfter(), page.GetNext()
	k.fillLoggedState(r, reply)
	reply.HallLink = k.followers.hallLink(sumachead.NodeID(r.GetNode()))
	reply.Lacking, _ = k.allocator.ReclaimRequests(sumachead.NodeID(r.GetNode()), time.Now())
	return nil
}

// fillLoggedState adds to a reply the replicated state that the node lacks.
func (k *Keeper) fillLoggedState(r *wire.FollowRequest, reply *wire.FollowReply) {
	if p := k.machine.PackedDeclaration(); p.GetNumber() > r.GetNumber() {
		reply.Declaration, reply.DeclarationOffset, reply.DeclarationBytes = catalog.ForFollower(p, r)
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

// locate tells a node which keeper leads. If none does, the request is held as long as the node
// allows, so that the node learns of the leader as soon as this keeper does, without frequent
// polls.
func (k *Keeper) locate(r *wire.FollowRequest, reply *wire.FollowReply) error {
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxFollowWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := k.requireLeadership()
	if err != nil && k.node.AwaitLeader(ctx) == nil {
		err = k.requireLeadership()
	}
	// A new leader has no lease until its first heartbeats are acknowledged.
	for err != nil && k.node.IsLeader() && ctx.Err() == nil {
		time.Sleep(leasePollInterval)
		err = k.requireLeadership()
	}
	if err != nil {
		return err
	}
	k.fillControlInfo(r, reply)
	return nil
}

// fillControlInfo tells a node which keeper leads, which others there are and how many routers
// follow; it tells a router its relays and the lenders of its data hall as well.
func (k *Keeper) fillControlInfo(r *wire.FollowRequest, reply *wire.FollowReply) {
	reply.Keepers = k.node.Status().GetMembers()
	reply.Leader = k.Address
	reply.Routers = uint32(k.followers.count(RoleRouter))
	if r.GetRole() == RoleRouter {
		reply.Relays = k.followers.relaysFor(r.GetNode())
		if lenders, digest := k.followers.lendersIn(sumachead.HallID(r.GetHall())); digest != r.GetLendersDigest() {
			reply.Lenders, reply.LendersDigest = lenders, digest
		}
	}
}

// awaitChanges blocks until there is something new for the node, as long as it allows.
func (s *service) awaitChanges(r *wire.FollowRequest) {
	k := s.keeper
	// Get the channel first, so that it is closed by any change after the checks below.
	_, changed := k.machine.Declaration()
	behind := k.isBehind(r)
	news, servers := k.servers.ChangesSince(r.GetHistory(), r.GetVersion())
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, maxFollowWait)
	if behind || r.GetAfter() != "" || news.GetWhole() || len(news.GetServers()) > 0 || wait <= 0 {
		return
	}
	_, lacking := k.allocator.ReclaimRequests(sumachead.NodeID(r.GetNode()), time.Now())
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-lacking:
	case <-changed:
	case <-servers:
		// Changes come in series; include those that follow at once.
		time.Sleep(min(changeDelayPerServer*time.Duration(k.servers.Count()), maxChangeDelay))
	case <-t.C:
	}
}

// isBehind reports whether a node lacks replicated state.
func (k *Keeper) isBehind(r *wire.FollowRequest) bool {
	m := k.machine
	return m.PackedDeclaration().GetNumber() > r.GetNumber() || m.HallsRevision() > r.GetHallsRevision() ||
		m.SuspectsRevision() > r.GetSuspectsRevision() || m.RolloutsRevision() > r.GetRolloutsRevision()
}

// history identifies this leader's sequence of server record versions.
func (k *Keeper) history() string {
	return fmt.Sprintf("%s/%s/%d", k.Address, k.identity.GetIncarnation(), k.node.Status().GetTerm())
}

// requireLeadership returns nil if this keeper leads and its state is current, or else the error
// to return to the caller.
func (k *Keeper) requireLeadership() error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return keeperclient.EncodeError(k.node.ReadBarrier(ctx))
}

// propose commits a command and returns the state machine's result.
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

// awaitLeader returns the leader's address, and waits until one is known.
func (k *Keeper) awaitLeader(ctx context.Context) (string, error) {
	const pollInterval = 20 * time.Millisecond
	for {
		if l := k.node.Status().GetLeader(); l != "" {
			return l, nil
		}
		if !loop.Sleep(ctx, pollInterval) {
			return "", sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonLedgerUnreached, "no keeper leads", time.Now())
		}
	}
}

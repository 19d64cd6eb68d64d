package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/raft"
)

// statusService serves the command-line tool and keepers that join.
type statusService struct{ keeper *Keeper }

// Status returns the groups, nodes and settings revision as this keeper knows
// them, whether or not it leads.
func (s *statusService) Status(_ *wire.Empty, reply *wire.StatusReply) error {
	k := s.keeper
	reply.Keeper, reply.Hall = string(k.Config.Node), string(k.Config.Hall)
	for _, g := range k.groups() {
		reply.Groups = append(reply.Groups, proto.CloneOf(g.node.Status()))
	}
	reply.Nodes = k.nodes.status(time.Now())
	_, reply.Revision, _ = k.settingsMachine.Current()
	return nil
}

// Join adds a keeper to a group as a learner. A keeper with a new incarnation
// replaces its previous one, which loses its vote.
func (s *statusService) Join(r *wire.JoinRequest, _ *wire.Empty) error {
	g := s.keeper.group(r.GetGroup())
	if g == nil || r.GetMember().GetId() == "" || r.GetMember().GetIncarnation() == "" {
		return trace.BadParameter("no group %q, or a member without id and incarnation", r.GetGroup())
	}
	return s.changeMembers(g, func(ms *wire.Members) *wire.Members { return raft.WithLearner(ms, r.GetMember()) })
}

// Remove removes a keeper from a group permanently.
func (s *statusService) Remove(r *wire.RemoveRequest, _ *wire.Empty) error {
	g := s.keeper.group(r.GetGroup())
	if g == nil {
		return trace.NotFound("no group %q", r.GetGroup())
	}
	return s.changeMembers(g, func(ms *wire.Members) *wire.Members {
		next := raft.WithoutMember(ms, r.GetKeeper())
		if len(next.GetMembers()) == len(ms.GetMembers()) || len(next.GetMembers()) == 0 {
			return nil
		}
		return next
	})
}

func (s *statusService) changeMembers(g *group, f func(*wire.Members) *wire.Members) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if !g.node.IsLeader() {
		return keeperclient.EncodeError(&raft.NotLeaderError{Leader: g.node.Status().GetLeader()})
	}
	_, err := g.node.ChangeMembers(ctx, f)
	return err
}

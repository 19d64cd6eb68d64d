package tool

import (
	"context"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
)

type status struct{ app *app }

// keeperStatus is the status reply of one keeper, or the error of the call.
type keeperStatus struct {
	id    string
	reply *wire.StatusReply
	err   error
}

// Execute implements flags.Commander.
func (s *status) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *status) run(ctx context.Context, c *keeperclient.Client) error {
	var statuses []keeperStatus
	reached := 0
	for _, k := range c.Keepers {
		const askTimeout = time.Second
		askCtx, stop := context.WithTimeout(ctx, askTimeout)
		reply, err := keeperclient.CallKeeper[wire.StatusReply](askCtx, c, k, "Keeper.Status", &wire.Empty{})
		stop()
		statuses = append(statuses, keeperStatus{k.ID, reply, err})
		if err == nil {
			reached++
		}
	}
	for _, a := range statuses {
		if err := s.print(a); err != nil {
			return err
		}
	}
	if reached <= len(c.Keepers)/2 {
		return exitErrorf(ExitFailed, "only %d of %d keepers respond", reached, len(c.Keepers))
	}
	return nil
}

func (s *status) print(a keeperStatus) error {
	if s.app.JSON {
		if a.err != nil {
			return s.app.printValue(map[string]string{"keeper": a.id, "error": a.err.Error()})
		}
		return s.app.printProto(a.reply)
	}
	if a.err != nil {
		s.app.printf("keeper %s: not reached: %v\n", a.id, a.err)
		return nil
	}
	s.app.printf("keeper %s in %s: settings revision %d\n", a.id, a.reply.GetHall(), a.reply.GetRevision())
	for _, g := range a.reply.GetGroups() {
		s.app.printf("  group %-10s leader %-10s term %-4d commit %-8d applied %d\n", g.GetGroup(), g.GetLeader(), g.GetTerm(), g.GetCommit(), g.GetApplied())
		for _, m := range g.GetMembers() {
			if m.GetLearner() {
				s.app.printf("    %s is catching up and has no vote\n", m.GetId())
			}
		}
	}
	for _, n := range a.reply.GetNodes() {
		s.app.printf("  %-7s %-12s in %-8s has revision %d, last seen %d ms ago\n", n.GetRole(), n.GetNode(), n.GetHall(), n.GetRevision(), n.GetAgeMillis())
	}
	return nil
}

type entriesCommand struct {
	app   *app
	Limit uint32 `long:"limit" default:"50" description:"maximum number of entries to print"`
	Args  struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
		Key       string `positional-arg-name:"KEY"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (s *entriesCommand) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *entriesCommand) run(ctx context.Context, c *keeperclient.Client) error {
	reply, err := lookupLedger(ctx, c, &wire.LookupRequest{
		Workspace: s.Args.Workspace, Key: s.Args.Key, Limit: s.Limit, Budget: "-",
	})
	if err != nil {
		return err
	}
	if s.app.JSON {
		return s.app.printProto(reply)
	}
	for _, e := range reply.GetEntries() {
		s.app.printf("%s %s reserved %d billed %d attempt %d at %s presumed %v\n", e.GetKey(), e.GetState(), e.GetReserved(), e.GetBilled(),
			e.GetAttempt().GetNumber(), e.GetAttempt().GetServer(), e.GetPresumed())
	}
	return nil
}

type keeperRemove struct {
	app  *app
	Args struct {
		Keeper string `positional-arg-name:"KEEPER" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *keeperRemove) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *keeperRemove) run(ctx context.Context, c *keeperclient.Client) error {
	for _, g := range keeperclient.Groups() {
		_, err := keeperclient.Call[wire.Empty](ctx, c, g, "Keeper.Remove", &wire.RemoveRequest{Keeper: s.Args.Keeper, Group: string(g)})
		if err != nil {
			return err
		}
	}
	return nil
}

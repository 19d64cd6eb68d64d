package tool

import (
	"context"
	"time"

	"github.com/google/uuid"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/settings"
	"sumachead/internal/strictjson"
)

// lookupLedger reads budgets or entries from the ledger.
func lookupLedger(ctx context.Context, c *keeperclient.Client, r *wire.LookupRequest) (*wire.LookupReply, error) {
	return keeperclient.Call[wire.LookupReply](ctx, c, keeperclient.GroupLedger, "Ledger.Lookup", r)
}

type budgetShow struct {
	app  *app
	Args struct {
		Budget string `positional-arg-name:"BUDGET"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (s *budgetShow) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *budgetShow) run(ctx context.Context, c *keeperclient.Client) error {
	reply, err := lookupLedger(ctx, c, &wire.LookupRequest{Budget: s.Args.Budget})
	if err != nil {
		return err
	}
	if s.app.JSON {
		return s.app.printProto(reply)
	}
	s.app.printf("%-24s %14s %14s %14s %14s %14s\n", "budget", "total", "spent", "reserved", "allotted", "available")
	for _, b := range reply.GetBudgets() {
		available := b.GetTotal() - b.GetSpent() - b.GetReserved() - b.GetAllotted()
		s.app.printf("%-24s %14d %14d %14d %14d %14d\n", b.GetBudget(), b.GetTotal(), b.GetSpent(), b.GetReserved(), b.GetAllotted(), available)
		for _, a := range b.GetAllotments() {
			s.app.printf("  data hall %-12s holds %d (journal %s)\n", a.GetHall(), a.GetHeld(), a.GetKeeperIncarnation())
		}
	}
	s.app.printf("violations: %d\n", reply.GetViolations())
	return nil
}

type budgetTopup struct {
	app  *app
	ID   string `long:"id" description:"id of the top-up, which makes it idempotent"`
	Hall string `long:"hall" description:"data hall that accepts the top-up itself, for use while it is cut off"`
	Args struct {
		Budget string           `positional-arg-name:"BUDGET" required:"true"`
		Tokens sumachead.Tokens `positional-arg-name:"TOKENS" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander. A top-up adds an object of its own to the
// tree and so can't contradict other changes: on a conflict it is retried
// against the newest revision.
func (s *budgetTopup) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *budgetTopup) run(ctx context.Context, c *keeperclient.Client) error {
	if s.ID == "" {
		s.ID = "t-" + uuid.NewString()
	}
	if s.Hall != "" {
		return s.topupHall(ctx, c)
	}
	data, err := strictjson.Encode(settings.Topup{Tokens: s.Args.Tokens})
	if err != nil {
		return err
	}
	path := settings.KindTopups + "/" + s.Args.Budget + "/" + s.ID
	r := &wire.ChangeRequest{
		ChangeId: "topup/" + s.Args.Budget + "/" + s.ID, Author: author(), AtUnixNano: time.Now().UnixNano(),
		Objects: []*wire.SettingsObject{{Path: path, Json: data}},
	}
	for {
		t, revision, err := fetchTree(ctx, c)
		if err != nil {
			return err
		}
		if have, err := t.Get(path); err == nil {
			return s.reportExisting(have, data)
		}
		r.BaseRevision = revision
		reply, err := sendChange(ctx, c, r)
		if err != nil {
			return exitErrorf(ExitFailed, "no response; retry with --id %s: %w", s.ID, err)
		}
		if reply.GetStatus() != wire.ChangeStatus_CHANGE_STATUS_CONFLICT {
			return s.app.reportOutcome(r, reply)
		}
	}
}

// topupHall sends the top-up to the journal of a data hall. The hall is part of
// the id, so that a retry reaches the same journal.
func (s *budgetTopup) topupHall(ctx context.Context, c *keeperclient.Client) error {
	h := sumachead.HallID(s.Hall)
	id := keeperclient.HallKey(h, s.ID)
	_, err := keeperclient.CallHall[wire.Empty](ctx, c, h, "Hall.Topup",
		&wire.HallTopupRequest{Budget: s.Args.Budget, TopupId: id, Tokens: int64(s.Args.Tokens)})
	if err != nil {
		return exitErrorf(ExitFailed, "retry with --id %s: %w", s.ID, err)
	}
	s.app.printf("top-up %s is in force in %s\n", id, h)
	return nil
}

type budgetWriteOff struct {
	app  *app
	Args struct {
		Budget      string `positional-arg-name:"BUDGET" required:"true"`
		Hall        string `positional-arg-name:"HALL" required:"true"`
		Incarnation string `positional-arg-name:"INCARNATION" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *budgetWriteOff) Execute([]string) error {
	return s.app.withClient(s.run)
}

func (s *budgetWriteOff) run(ctx context.Context, c *keeperclient.Client) error {
	_, err := keeperclient.Call[wire.Empty](ctx, c, keeperclient.GroupLedger, "Ledger.WriteOff",
		&wire.WriteOff{Budget: s.Args.Budget, Hall: s.Args.Hall, KeeperIncarnation: s.Args.Incarnation})
	return err
}

func (s *budgetTopup) reportExisting(have, want []byte) error {
	if string(have) != string(want) {
		return exitErrorf(ExitConflict, "top-up %s exists with other content: %s", s.ID, have)
	}
	s.app.printf("top-up %s is in force already\n", s.ID)
	return nil
}

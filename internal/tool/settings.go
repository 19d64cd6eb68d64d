package tool

import (
	"context"
	"errors"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/reference"
	"sumachead/internal/settings"
)

// fetchTree returns the newest tree and its revision.
func fetchTree(ctx context.Context, c *keeperclient.Client) (*settings.Tree, uint64, error) {
	reply, err := keeperclient.Call[wire.SyncReply](ctx, c, keeperclient.GroupSettings, "Settings.Read", &wire.Empty{})
	if err != nil {
		return nil, 0, err
	}
	t, err := settings.FromWire(reply.GetObjects())
	return t, reply.GetRevision(), err
}

// change sends a change and reports how it ended.
func (a *app) change(ctx context.Context, c *keeperclient.Client, r *wire.ChangeRequest) error {
	if r.GetChangeId() == "" {
		r.ChangeId = uuid.NewString()
	}
	r.Author, r.AtUnixNano = author(), time.Now().UnixNano()
	reply, err := sendChange(ctx, c, r)
	if err != nil {
		return exit(ExitFailed, "the answer was lost; the change may be in force. Send it again with --change-id %s: %w", r.GetChangeId(), err)
	}
	if a.JSON {
		if err := a.printProto(reply); err != nil {
			return err
		}
	}
	return a.outcome(r, reply)
}

// sendChange waits longer for one answer than other calls do: it comes when
// the change is in force everywhere.
func sendChange(ctx context.Context, c *keeperclient.Client, r *wire.ChangeRequest) (*wire.ChangeReply, error) {
	const answerTimeout = 12 * time.Second
	return keeperclient.CallWithTimeout[wire.ChangeReply](ctx, c, answerTimeout, keeperclient.GroupSettings, "Settings.Change", r)
}

func (a *app) outcome(r *wire.ChangeRequest, reply *wire.ChangeReply) error {
	switch reply.GetStatus() {
	case wire.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		if !a.JSON {
			a.printf("revision %d is in force everywhere\n", reply.GetRevision())
		}
		return nil
	case wire.ChangeStatus_CHANGE_STATUS_COMMITTED:
		return exit(ExitPending, "revision %d is committed, but not yet in force at: %v (change id %s)", reply.GetRevision(), reply.GetWaitingFor(), r.GetChangeId())
	case wire.ChangeStatus_CHANGE_STATUS_CONFLICT:
		w := reply.GetWinner()
		return exit(ExitConflict, "conflict: %s; revision %d is change %s by %s", reply.GetDetail(), w.GetRevision(), w.GetChangeId(), w.GetAuthor())
	}
	return exit(ExitUsage, "invalid: %s", reply.GetDetail())
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type settingsGet struct {
	app  *app
	Args struct {
		Path string `positional-arg-name:"PATH" description:"object, as in pools/assistant"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (s *settingsGet) Execute([]string) error {
	return s.app.with(s.run)
}

func (s *settingsGet) run(ctx context.Context, c *keeperclient.Client) error {
	t, revision, err := fetchTree(ctx, c)
	if err != nil {
		return err
	}
	if s.Args.Path == "" {
		if !s.app.JSON {
			s.app.printf("// revision %d\n", revision)
		}
		return s.app.printValue(t.Objects())
	}
	data, err := t.Get(s.Args.Path)
	if err != nil {
		return err
	}
	s.app.printf("%s\n", data)
	return nil
}

type changeOptions struct {
	ChangeID string   `long:"change-id" description:"id of the change; repeat it to send the same change again"`
	Base     *uint64  `long:"base" description:"revision that the change was made against; the newest when left out"`
	Down     []string `long:"hall-down" description:"data hall that is known to be down: do not wait for it"`
}

type settingsSet struct {
	app *app
	changeOptions
	Remove bool `long:"remove" description:"remove the object"`
	Args   struct {
		Path string `positional-arg-name:"PATH" required:"true"`
		JSON string `positional-arg-name:"JSON"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (s *settingsSet) Execute([]string) error {
	if s.Remove != (s.Args.JSON == "") {
		return exit(ExitUsage, "give either the object's JSON or --remove")
	}
	return s.app.with(s.run)
}

func (s *settingsSet) run(ctx context.Context, c *keeperclient.Client) error {
	base := s.Base
	if base == nil {
		_, revision, err := fetchTree(ctx, c)
		if err != nil {
			return err
		}
		base = &revision
	}
	return s.app.change(ctx, c, &wire.ChangeRequest{
		ChangeId: s.ChangeID, BaseRevision: *base, HallsDown: s.Down,
		Objects: []*wire.SettingsObject{{Path: s.Args.Path, Json: []byte(s.Args.JSON)}},
	})
}

type settingsApply struct {
	app *app
	changeOptions
	DryRun bool `long:"dry-run" description:"show the difference only"`
	Topups bool `long:"remove-topups" description:"also remove top-ups that the file does not have"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *settingsApply) Execute([]string) error {
	want, err := settings.ReadFile(s.Args.File)
	if err != nil {
		return err
	}
	return s.app.with(func(ctx context.Context, c *keeperclient.Client) error { return s.run(ctx, c, want) })
}

func (s *settingsApply) run(ctx context.Context, c *keeperclient.Client, want *settings.Tree) error {
	have, revision, err := fetchTree(ctx, c)
	if err != nil {
		return err
	}
	changes, err := settings.Diff(have, want)
	if err != nil {
		return err
	}
	if !s.Topups {
		changes = keepTopups(changes)
	}
	s.show(have, changes)
	if s.DryRun || len(changes) == 0 {
		return nil
	}
	if s.Base != nil {
		revision = *s.Base
	}
	return s.app.change(ctx, c, &wire.ChangeRequest{ChangeId: s.ChangeID, BaseRevision: revision, Objects: changes, HallsDown: s.Down})
}

// keepTopups drops removals of top-ups: those that operators made on the
// command line need not be in the file.
func keepTopups(changes []*wire.SettingsObject) []*wire.SettingsObject {
	var kept []*wire.SettingsObject
	for _, c := range changes {
		if len(c.GetJson()) > 0 || settings.Kind(c.GetPath()) != settings.KindTopups {
			kept = append(kept, c)
		}
	}
	return kept
}

func (s *settingsApply) show(have *settings.Tree, changes []*wire.SettingsObject) {
	if s.app.JSON {
		return
	}
	if len(changes) == 0 {
		s.app.printf("no difference\n")
	}
	for _, c := range changes {
		if old, err := have.Get(c.GetPath()); err == nil {
			s.app.printf("- %s %s\n", c.GetPath(), old)
		}
		if len(c.GetJson()) > 0 {
			s.app.printf("+ %s %s\n", c.GetPath(), c.GetJson())
		}
	}
}

type settingsHistory struct {
	app   *app
	From  uint64 `long:"from" description:"list the changes after this revision"`
	Limit uint32 `long:"limit" description:"list so many at most"`
}

// Execute implements flags.Commander.
func (s *settingsHistory) Execute([]string) error {
	return s.app.with(s.run)
}

func (s *settingsHistory) run(ctx context.Context, c *keeperclient.Client) error {
	reply, err := keeperclient.Call[wire.HistoryReply](ctx, c, keeperclient.GroupSettings, "Settings.History",
		&wire.HistoryRequest{FromRevision: s.From, Limit: s.Limit})
	if err != nil {
		return err
	}
	if s.app.JSON {
		return s.app.printProto(reply)
	}
	for _, h := range reply.GetRecords() {
		s.app.printf("%d %s %s %s\n", h.GetRevision(), time.Unix(0, h.GetAtUnixNano()).UTC().Format(time.RFC3339), h.GetAuthor(), h.GetChangeId())
		for _, o := range h.GetObjects() {
			s.app.printf("  %s %s\n", o.GetPath(), o.GetJson())
		}
	}
	return nil
}

type settingsCheck struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *settingsCheck) Execute([]string) error {
	_, err := settings.ReadFile(s.Args.File)
	if errors.Is(err, os.ErrNotExist) || trace.IsNotFound(err) {
		return exit(ExitUsage, "%s: no such file", s.Args.File)
	}
	if err == nil && !s.app.JSON {
		s.app.printf("%s is sound\n", s.Args.File)
	}
	return err
}

type settingsReference struct{ app *app }

// Execute implements flags.Commander.
func (s *settingsReference) Execute([]string) error {
	s.app.printf("%s", reference.Page())
	return nil
}

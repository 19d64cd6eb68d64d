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

// submitChange sends a change and reports its outcome.
func (a *app) submitChange(ctx context.Context, c *keeperclient.Client, r *wire.ChangeRequest) error {
	if r.GetChangeId() == "" {
		r.ChangeId = uuid.NewString()
	}
	r.Author, r.AtUnixNano = author(), time.Now().UnixNano()
	reply, err := sendChange(ctx, c, r)
	if err != nil {
		return exitErrorf(ExitFailed, "no response; the change may be in force. Retry with --change-id %s: %w", r.GetChangeId(), err)
	}
	if a.JSON {
		if err := a.printProto(reply); err != nil {
			return err
		}
	}
	return a.reportOutcome(r, reply)
}

// sendChange sends a change. Its timeout is longer than that of other calls, as
// the response arrives only when the change is in force everywhere.
func sendChange(ctx context.Context, c *keeperclient.Client, r *wire.ChangeRequest) (*wire.ChangeReply, error) {
	const answerTimeout = 12 * time.Second
	return keeperclient.CallWithTimeout[wire.ChangeReply](ctx, c, answerTimeout, keeperclient.GroupSettings, "Settings.Change", r)
}

func (a *app) reportOutcome(r *wire.ChangeRequest, reply *wire.ChangeReply) error {
	switch reply.GetStatus() {
	case wire.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		if !a.JSON {
			a.printf("revision %d is in force everywhere\n", reply.GetRevision())
		}
		return nil
	case wire.ChangeStatus_CHANGE_STATUS_COMMITTED:
		return exitErrorf(ExitPending, "revision %d is committed, but not yet in force at: %v (change id %s)", reply.GetRevision(), reply.GetWaitingFor(), r.GetChangeId())
	case wire.ChangeStatus_CHANGE_STATUS_CONFLICT:
		w := reply.GetWinner()
		return exitErrorf(ExitConflict, "conflict: %s; revision %d is change %s by %s", reply.GetDetail(), w.GetRevision(), w.GetChangeId(), w.GetAuthor())
	}
	return exitErrorf(ExitUsage, "invalid: %s", reply.GetDetail())
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
		Path string `positional-arg-name:"PATH" description:"path of an object, as in pools/assistant"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (s *settingsGet) Execute([]string) error {
	return s.app.withClient(s.run)
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
	ChangeID  string   `long:"change-id" description:"id of the change; use the same id to retry a change"`
	Base      *uint64  `long:"base" description:"revision that the change is based on; the newest if omitted"`
	HallsDown []string `long:"hall-down" description:"data hall that is known to be down and not waited for; may be repeated"`
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
		return exitErrorf(ExitUsage, "give either the object's JSON or --remove")
	}
	return s.app.withClient(s.run)
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
	return s.app.submitChange(ctx, c, &wire.ChangeRequest{
		ChangeId: s.ChangeID, BaseRevision: *base, HallsDown: s.HallsDown,
		Objects: []*wire.SettingsObject{{Path: s.Args.Path, Json: []byte(s.Args.JSON)}},
	})
}

type settingsApply struct {
	app *app
	changeOptions
	DryRun       bool `long:"dry-run" description:"only show the difference"`
	RemoveTopups bool `long:"remove-topups" description:"also remove top-ups that are not in the file"`
	Args         struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (s *settingsApply) Execute([]string) error {
	want, err := settings.ReadFile(s.Args.File)
	if err != nil {
		return err
	}
	return s.app.withClient(func(ctx context.Context, c *keeperclient.Client) error { return s.run(ctx, c, want) })
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
	if !s.RemoveTopups {
		changes = dropTopupRemovals(changes)
	}
	s.show(have, changes)
	if s.DryRun || len(changes) == 0 {
		return nil
	}
	if s.Base != nil {
		revision = *s.Base
	}
	return s.app.submitChange(ctx, c, &wire.ChangeRequest{ChangeId: s.ChangeID, BaseRevision: revision, Objects: changes, HallsDown: s.HallsDown})
}

// dropTopupRemovals filters out removals of top-ups, as top-ups made with the
// budget command need not be in the file.
func dropTopupRemovals(changes []*wire.SettingsObject) []*wire.SettingsObject {
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
	From  uint64 `long:"from" description:"list changes after this revision"`
	Limit uint32 `long:"limit" description:"maximum number of changes to list"`
}

// Execute implements flags.Commander.
func (s *settingsHistory) Execute([]string) error {
	return s.app.withClient(s.run)
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
		return exitErrorf(ExitUsage, "%s: no such file", s.Args.File)
	}
	if err == nil && !s.app.JSON {
		s.app.printf("%s is valid\n", s.Args.File)
	}
	return err
}

type settingsReference struct{ app *app }

// Execute implements flags.Commander.
func (s *settingsReference) Execute([]string) error {
	s.app.printf("%s", reference.Page())
	return nil
}

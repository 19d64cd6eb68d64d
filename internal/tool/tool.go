// Package tool implements the operators' command-line tool. It reads and changes
// the settings tree, shows budgets, ledger entries and the status of the system,
// and generates load.
package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sumachead/internal/config"
	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
	"sumachead/internal/strictjson"
	"sumachead/internal/tlsfiles"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed means that the system was unreachable or refused the request.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid; nothing was
	// changed.
	ExitUsage = 2
	// ExitConflict means that another change was committed first.
	ExitConflict = 3
	// ExitPending means that the change is committed, but not yet in force
	// everywhere.
	ExitPending = 4
	// ExitOverspend means that a load ran and overspent its budget.
	ExitOverspend = 5
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return trace.UserMessage(e.err) }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// globalOptions are the options that all commands share.
type globalOptions struct {
	Config  string        `long:"config" env:"SUMACHEAD_CONFIG" description:"settings file of the tool (JSON: keepers, tls)"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"timeout of the command"`
}

// app is the state that all commands share.
type app struct {
	globalOptions
	out io.Writer
}

// Run executes a command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	p := flags.NewParser(&a.globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "sumachead"
	if err := addCommands(p, a); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	_, err := p.ParseArgs(args)
	return reportError(err, out, errOut)
}

func reportError(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	var coded *exitError
	switch {
	case err == nil:
		return ExitOK
	case flags.WroteHelp(err):
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	case errors.As(err, &coded):
		_, _ = fmt.Fprintln(errOut, "sumachead:", coded.Error())
		return coded.code
	}
	_, _ = fmt.Fprintln(errOut, "sumachead:", trace.UserMessage(err))
	if trace.IsBadParameter(err) || trace.IsNotFound(err) {
		return ExitUsage
	}
	return ExitFailed
}

// Commands that have subcommands.
const (
	groupSettings = "settings"
	groupBudget   = "budget"
)

// command describes a command or subcommand.
type command struct {
	parent string
	name   string
	short  string
	data   any
}

func addCommands(p *flags.Parser, a *app) error {
	commands := []command{
		{"", groupSettings, "read and change the settings tree", &struct{}{}},
		{groupSettings, "get", "print the tree, or one object of it", &settingsGet{app: a}},
		{groupSettings, "set", "set or remove one object", &settingsSet{app: a}},
		{groupSettings, "apply", "change the tree to match a file", &settingsApply{app: a}},
		{groupSettings, "history", "list changes", &settingsHistory{app: a}},
		{groupSettings, "reference", "print the reference page of all settings", &settingsReference{app: a}},
		{groupSettings, "check", "validate a file with a settings tree", &settingsCheck{app: a}},
		{"", groupBudget, "show and top up budgets", &struct{}{}},
		{groupBudget, "show", "print budgets", &budgetShow{app: a}},
		{groupBudget, "topup", "add tokens to a budget", &budgetTopup{app: a}},
		{groupBudget, "write-off", "count the tokens held by a lost journal as spent", &budgetWriteOff{app: a}},
		{"", "status", "print the status of keepers, leaders and nodes", &status{app: a}},
		{"", "entries", "look up ledger entries", &entriesCommand{app: a}},
		{"", "keeper", "manage keepers", &struct{}{}},
		{"keeper", "remove", "remove a keeper permanently", &keeperRemove{app: a}},
		{"", "budgets", "print the budgets of a declared fleet and what is reserved for urgent requests", &budgetsShow{app: a}},
		{"", "halls", "print which data halls of a declared fleet are vacated", &hallsShow{app: a}},
		{"", "rollouts", "print the newest rollout of each service of a declared fleet", &rolloutsShow{app: a}},
		{"", "suspects", "print the requests of a declared fleet that crash servers, or clear one", &suspectsShow{app: a}},
		{"", "tls", "create certificates", &struct{}{}},
		{"tls", "init", "create a certificate authority and certificates for processes", &tlsInit{app: a}},
		{"", "explain", "print the timeline of a request from log files", &explainCommand{app: a}},
		{"", "load", "generate load against routers", &loadCommand{app: a}},
	}
	for _, c := range commands {
		parent := p.Command
		if c.parent != "" {
			parent = p.Find(c.parent)
		}
		if _, err := parent.AddCommand(c.name, c.short, "", c.data); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// withClient calls f with a client of the keepers and a context that ends at
// the timeout.
func (a *app) withClient(f func(context.Context, *keeperclient.Client) error) error {
	if a.Config == "" {
		return exitErrorf(ExitUsage, "no settings file: use --config or set SUMACHEAD_CONFIG")
	}
	c, err := config.ReadClientFile(a.Config)
	if err != nil {
		return err
	}
	files, err := tlsfiles.Load(c.TLS)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	pool := &rpc.Pool{TLS: files.Client()}
	defer pool.Close()
	return f(ctx, &keeperclient.Client{Keepers: c.Keepers, Pool: pool})
}

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

// printProto prints a message as JSON.
func (a *app) printProto(m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	a.printf("%s\n", data)
	return nil
}

// printValue prints a value as JSON.
func (a *app) printValue(v any) error {
	data, err := strictjson.EncodeIndented(v)
	if err != nil {
		return trace.Wrap(err)
	}
	a.printf("%s\n", data)
	return nil
}

// Package tool is the command-line tool of operators: it reads and changes the
// settings tree, shows budgets, entries and the state of the system, and runs
// loads. Each command has a file of its own.
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
	// ExitFailed: the system was not reached, or refused.
	ExitFailed = 1
	// ExitUsage: the command line or a file is at fault; nothing was changed.
	ExitUsage = 2
	// ExitConflict: another change came first.
	ExitConflict = 3
	// ExitPending: the change is committed, but not yet in force everywhere.
	ExitPending = 4
	// ExitFigures: a load ran, but a figure is off.
	ExitFigures = 5
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return trace.UserMessage(e.err) }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// globals are the options of all commands.
type globals struct {
	Config  string        `long:"config" env:"SUMACHEAD_CONFIG" description:"the tool's settings file (JSON: keepers, tls)"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"how long to try"`
}

// app is what the commands share.
type app struct {
	globals
	out io.Writer
}

// Run runs a command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	p := flags.NewParser(&a.globals, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "sumachead"
	if err := addCommands(p, a); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	_, err := p.ParseArgs(args)
	return report(err, out, errOut)
}

func report(err error, out, errOut io.Writer) int {
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

// The commands that others stand below.
const (
	groupSettings = "settings"
	groupBudget   = "budget"
)

// command is one row of the table of commands.
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
		{groupSettings, "apply", "make the tree like a file", &settingsApply{app: a}},
		{groupSettings, "history", "list the changes", &settingsHistory{app: a}},
		{groupSettings, "reference", "print the page of all settings", &settingsReference{app: a}},
		{groupSettings, "check", "check a tree's file", &settingsCheck{app: a}},
		{"", groupBudget, "show and top up budgets", &struct{}{}},
		{groupBudget, "show", "print budgets", &budgetShow{app: a}},
		{groupBudget, "topup", "add tokens to a budget", &budgetTopup{app: a}},
		{groupBudget, "write-off", "count what a lost journal held as spent", &budgetWriteOff{app: a}},
		{"", "status", "print keepers, leaders and nodes", &status{app: a}},
		{"", "entries", "look up ledger entries", &entries{app: a}},
		{"", "keeper", "manage keepers", &struct{}{}},
		{"keeper", "remove", "take a keeper out for good", &keeperRemove{app: a}},
		{"", "halls", "print which data halls of a declared fleet are vacated", &hallsShow{app: a}},
		{"", "rollouts", "print the newest roll-out of each service of a declared fleet", &rolloutsShow{app: a}},
		{"", "suspects", "print the requests of a declared fleet that end servers, or clear one", &suspectsShow{app: a}},
		{"", "tls", "make certificates", &struct{}{}},
		{"tls", "init", "make an authority, and certificates for processes", &tlsInit{app: a}},
		{"", "explain", "tell a request's story from log files", &explainCommand{app: a}},
		{"", "load", "run a load against a router", &loadCommand{app: a}},
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

// with calls f with a client of the keepers, within the time limit.
func (a *app) with(f func(context.Context, *keeperclient.Client) error) error {
	if a.Config == "" {
		return exit(ExitUsage, "no settings file: give --config or set SUMACHEAD_CONFIG")
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

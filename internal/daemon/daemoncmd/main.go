// Package daemoncmd implements the command line of the daemon.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"sumachead/internal/config"
	"sumachead/internal/daemon"
)

// Exit codes of the daemon.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Config string `long:"config" required:"true" description:"settings file of the process (JSON)"`
	Check  bool   `long:"check" description:"validate the settings file and exit"`
}

// Main runs the daemon until it is interrupted or terminated. On failure it
// exits the process with one of the exit codes.
func Main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	c, err := config.ReadFile(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sumacheadd:", trace.UserMessage(err))
		os.Exit(exitUsage)
	}
	if o.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, c, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "sumacheadd:", trace.UserMessage(err))
		os.Exit(exitFailed)
	}
}

// Package daemoncmd is the command line of the daemon.
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

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config string `long:"config" required:"true" description:"settings file of this process (JSON)"`
	Check  bool   `long:"check" description:"check the settings file and exit"`
}

// Main runs the daemon and exits.
func Main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitSettings)
	}
	c, err := config.ReadFile(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sumacheadd:", trace.UserMessage(err))
		os.Exit(exitSettings)
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

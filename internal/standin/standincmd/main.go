// Package standincmd is the command line of the simulated backend server.
package standincmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"sumachead/internal/standin"
	"sumachead/internal/telemetry"
)

type options struct {
	Listen  string        `long:"listen" required:"true" description:"address, host:port"`
	Kind    string        `long:"kind" choice:"model" choice:"service" default:"model" description:"what to play"`
	Slots   int           `long:"slots" default:"8" description:"requests run at once"`
	Prefill time.Duration `long:"prefill" default:"5ms" description:"time for 1,000 bytes of prompt"`
	Token   time.Duration `long:"token" default:"2ms" description:"time between tokens, or of a call"`
	Cache   int           `long:"cache" default:"64" description:"prompt prefixes remembered"`
	Epochs  bool          `long:"checks-epochs" description:"refuse orders with an old epoch"`
}

// Main runs the simulated backend server until it is interrupted.
func Main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	s := &standin.Server{
		Kind: standin.Kind(o.Kind), Slots: o.Slots, Prefill: o.Prefill, Token: o.Token,
		CacheEntries: o.Cache, ChecksEpoch: o.Epochs,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := &telemetry.HTTPServer{Address: o.Listen, Handler: s.Handler(), DrainTimeout: telemetry.MonitoringDrainTimeout}
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

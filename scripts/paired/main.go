// Command paired compares two source trees by benchmark runs of the same days with the same
// seeds.
//
// Each run writes an entry to the journal of its source tree. The entries are the only state,
// so that an interrupted comparison can be resumed. The table shows, by site and day, the mean
// difference of the two trees and its 95% confidence interval by Student's t-distribution.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"
)

// options are the command-line options.
type options struct {
	Bench string   `long:"bench" env:"BENCH" required:"true" description:"program of the bench"`
	Old   string   `long:"old" required:"true" description:"source tree of the baseline"`
	New   string   `long:"new" required:"true" description:"source tree to compare with the baseline"`
	Sites []string `long:"site" required:"true" description:"site file; may be repeated"`
	Days  []string `long:"day" description:"day, by name or file; may be repeated; all days of the site if omitted"`
	Seeds []uint64 `long:"seed" description:"seed; may be repeated"`
	Jobs  int      `long:"jobs" default:"6" description:"maximum number of concurrent runs"`
	Why   string   `long:"why" required:"true" description:"the hypothesis, for the journal"`
	CPU   bool     `long:"cpu" description:"charge processor time, which makes runs less reproducible"`
}

// defaultSeeds are used if no seed is given. Five is the smallest number of pairs with a useful
// confidence interval. Intermediate comparisons use these seeds, so that others remain unseen
// for the final one.
var defaultSeeds = []uint64{101, 102, 103, 104, 105}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if len(o.Seeds) == 0 {
		o.Seeds = defaultSeeds
	}
	o.Jobs = cmp.Or(max(o.Jobs, 0), 1)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	pairs, err := compare(ctx, &o)
	if err == nil {
		err = printTable(os.Stdout, pairs)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "paired:", err)
		os.Exit(1)
	}
}

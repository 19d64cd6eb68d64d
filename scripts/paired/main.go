// Command paired compares two builds on the same days with the same seeds.
//
// Each play leaves its entry in the journal of the tree that was played; the entries
// are the only state, so that a comparison that was broken off goes on where it
// stopped. The table gives, by site and day, the mean difference of the two builds
// and its 95% interval by Student's t distribution of the pairs.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"
)

// options are the command's.
type options struct {
	Bench string   `long:"bench" env:"BENCH" required:"true" description:"the bench's program"`
	Old   string   `long:"old" required:"true" description:"the tree to compare with"`
	New   string   `long:"new" required:"true" description:"the tree that is compared"`
	Sites []string `long:"site" required:"true" description:"a site file; may be given more than once"`
	Days  []string `long:"day" description:"a day by name, or a file; all days of the site if none is given"`
	Seeds []uint64 `long:"seed" description:"a seed; may be given more than once"`
	Jobs  int      `long:"jobs" default:"6" description:"how many days are played at a time"`
	Why   string   `long:"why" required:"true" description:"the hypothesis, for the journal"`
	CPU   bool     `long:"cpu" description:"charge processor time: plays then repeat less well"`
}

// defaultSeeds are played when none is named: five, the fewest that give an interval
// worth reading. Rounds use them; others are kept for the end of a piece of work.
var defaultSeeds = []uint64{101, 102, 103, 104, 105}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has said what is wrong
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

// Command account breaks down the lost goodput of a day. From the journal entry of a benchmark
// run it prints the losses by part and price, which add up to one minus the goodput. From the
// log lines of routers (--log with all lines) it prints the outcomes of requests, in total and
// by route, data hall and time.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"sumachead/internal/explain"
)

// options are the command-line options.
type options struct {
	Entry string        `long:"entry" description:"journal entry of the benchmark run"`
	Log   string        `long:"log" description:"output of the benchmark run, with the log lines of routers"`
	Step  time.Duration `long:"step" default:"5s" description:"time interval of a row in the table by time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if err := o.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

// run prints the tables of the given files.
func (o *options) run(w io.Writer) error {
	if o.Entry == "" && o.Log == "" {
		return trace.BadParameter("neither --entry nor --log is set")
	}
	if o.Entry != "" {
		days, err := readEntry(o.Entry)
		if err != nil {
			return err
		}
		for _, d := range days {
			if err := d.print(w); err != nil {
				return err
			}
		}
	}
	if o.Log == "" {
		return nil
	}
	f, err := os.Open(o.Log)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	lines, err := explain.Read(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return newAccount(lines, o.Step).print(w)
}

// Command account says where a day's worth went: from the journal's entry of a play the
// loss by part and price, which add up to one less the worth, and from the lines that
// routers logged (--log with all lines) what became of requests: by cause, by route, by data
// hall and by time.
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

// options are the command's.
type options struct {
	Entry string        `long:"entry" description:"the journal's entry of the play"`
	Log   string        `long:"log" description:"what the play printed, with the lines of routers"`
	Step  time.Duration `long:"step" default:"5s" description:"the length of a row of the table by time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has said what is wrong
	}
	if err := o.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

// run prints the tables that there are files for.
func (o *options) run(w io.Writer) error {
	if o.Entry == "" && o.Log == "" {
		return trace.BadParameter("neither an entry nor a log is named")
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

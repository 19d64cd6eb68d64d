package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// run is a benchmark run of one day of a site with one seed.
type run struct {
	site string
	day  string
	seed uint64
}

// pair is a run with the results of both trees.
type pair struct {
	run
	old *result
	new *result
}

// dayName matches the names of the days in a site file.
var dayName = regexp.MustCompile(`(?m)^\[\[day\]\]\s*\nname = "([^"]+)"`)

// runs lists the runs to compare, in the order of the table.
func (o *options) runs() ([]run, error) {
	var out []run
	for _, site := range o.Sites {
		days := o.Days
		if len(days) == 0 {
			data, err := os.ReadFile(site)
			if err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			for _, m := range dayName.FindAllSubmatch(data, -1) {
				days = append(days, string(m[1]))
			}
		}
		for _, day := range days {
			for _, seed := range o.Seeds {
				out = append(out, run{site, day, seed})
			}
		}
	}
	return out, nil
}

// compare runs all days with both trees, except for runs that a journal already has.
func compare(ctx context.Context, o *options) ([]*pair, error) {
	runs, err := o.runs()
	if err != nil {
		return nil, err
	}
	trees := []string{o.Old, o.New}
	var known []journal
	for _, tree := range trees {
		j, err := prepare(ctx, o, tree, runs[0])
		if err != nil {
			return nil, err
		}
		known = append(known, j)
	}
	pairs := make([]*pair, len(runs))
	tasks, work := errgroup.WithContext(ctx)
	tasks.SetLimit(o.Jobs)
	var done atomic.Int64
	for i, p := range runs {
		pairs[i] = &pair{run: p}
		for side, into := range []**result{&pairs[i].old, &pairs[i].new} {
			tasks.Go(func() error {
				r, err := runOnce(work, o, trees[side], known[side], p)
				*into = r
				fmt.Fprintf(os.Stderr, "\r%d of %d", done.Add(1), len(runs)*len(trees))
				return err
			})
		}
	}
	err = tasks.Wait()
	fmt.Fprintln(os.Stderr)
	return pairs, err
}

// prepare builds a tree and runs a day to find out the digest of its sources. It returns the
// runs of these sources from the journal of the tree.
func prepare(ctx context.Context, o *options, tree string, first run) (journal, error) {
	if out, err := command(ctx, o, tree, "build").CombinedOutput(); err != nil {
		return nil, trace.Wrap(err, "%s: %s", tree, out)
	}
	r, err := runOnce(ctx, o, tree, nil, first)
	if err != nil {
		return nil, err
	}
	return readJournal(tree, r.sources, o.CPU)
}

// entryID matches the id of a run's journal entry in the output of the bench.
var entryID = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]+)$`)

// runOnce runs a day unless the journal has the run. A run that writes no entry is an error.
func runOnce(ctx context.Context, o *options, tree string, known journal, p run) (*result, error) {
	if r := known[p.key()]; r != nil {
		return r, nil
	}
	args := []string{"run", p.site, p.day, "--seed", strconv.FormatUint(p.seed, 10), "--why", o.Why}
	if !o.CPU {
		args = append(args, noCPU)
	}
	out, err := command(ctx, o, tree, args...).CombinedOutput()
	m := entryID.FindSubmatch(out)
	if m == nil {
		return nil, trace.Errorf("%s, day %s, seed %d: the run wrote no journal entry (%v):\n%s", p.site, p.day, p.seed, err, out)
	}
	files, err := filepath.Glob(filepath.Join(tree, "journal", "*-"+string(m[1])+".json"))
	if err != nil || len(files) != 1 {
		return nil, trace.NotFound("entry %s: found %d files, want one (%v)", m[1], len(files), err)
	}
	_, r, err := readEntry(files[0])
	return r, err
}

// command returns a command that runs the bench in a tree.
func command(ctx context.Context, o *options, tree string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, o.Bench, args...)
	c.Dir = tree
	return c
}

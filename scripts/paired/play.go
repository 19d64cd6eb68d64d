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

// play is one day of a site with one seed.
type play struct {
	site string
	day  string
	seed uint64
}

// pair is a play by both builds.
type pair struct {
	play
	old *result
	new *result
}

// dayName finds the names of a site file's days.
var dayName = regexp.MustCompile(`(?m)^\[\[day\]\]\s*\nname = "([^"]+)"`)

// plays lists what is to be played, in the table's order.
func (o *options) plays() ([]play, error) {
	var out []play
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
				out = append(out, play{site, day, seed})
			}
		}
	}
	return out, nil
}

// compare plays all days with both builds, those that are not in a journal yet.
func compare(ctx context.Context, o *options) ([]*pair, error) {
	plays, err := o.plays()
	if err != nil {
		return nil, err
	}
	trees := []string{o.Old, o.New}
	var known []journal
	for _, tree := range trees {
		j, err := prepare(ctx, o, tree, plays[0])
		if err != nil {
			return nil, err
		}
		known = append(known, j)
	}
	pairs := make([]*pair, len(plays))
	tasks, work := errgroup.WithContext(ctx)
	tasks.SetLimit(o.Jobs)
	var done atomic.Int64
	for i, p := range plays {
		pairs[i] = &pair{play: p}
		for side, into := range []**result{&pairs[i].old, &pairs[i].new} {
			tasks.Go(func() error {
				r, err := playOnce(work, o, trees[side], known[side], p)
				*into = r
				fmt.Fprintf(os.Stderr, "\r%d of %d", done.Add(1), len(plays)*len(trees))
				return err
			})
		}
	}
	err = tasks.Wait()
	fmt.Fprintln(os.Stderr)
	return pairs, err
}

// prepare builds a tree and plays a day, which tells what its sources are; it returns the
// plays of these sources that the tree's journal has.
func prepare(ctx context.Context, o *options, tree string, first play) (journal, error) {
	if out, err := command(ctx, o, tree, "build").CombinedOutput(); err != nil {
		return nil, trace.Wrap(err, "%s: %s", tree, out)
	}
	r, err := playOnce(ctx, o, tree, nil, first)
	if err != nil {
		return nil, err
	}
	return readJournal(tree, r.sources, o.CPU)
}

// snapshot finds the id of a play's journal entry in what the bench prints.
var snapshot = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]+)$`)

// playOnce plays a day, unless the journal has it. A play without an entry is an error.
func playOnce(ctx context.Context, o *options, tree string, known journal, p play) (*result, error) {
	if r := known[p.key()]; r != nil {
		return r, nil
	}
	args := []string{"run", p.site, p.day, "--seed", strconv.FormatUint(p.seed, 10), "--why", o.Why}
	if !o.CPU {
		args = append(args, noCPU)
	}
	out, err := command(ctx, o, tree, args...).CombinedOutput()
	m := snapshot.FindSubmatch(out)
	if m == nil {
		return nil, trace.Errorf("%s, day %s, seed %d: no entry in the journal (%v):\n%s", p.site, p.day, p.seed, err, out)
	}
	files, err := filepath.Glob(filepath.Join(tree, "journal", "*-"+string(m[1])+".json"))
	if err != nil || len(files) != 1 {
		return nil, trace.NotFound("entry %s: %d files (%v)", m[1], len(files), err)
	}
	_, r, err := readEntry(files[0])
	return r, err
}

// command returns a call of the bench in a tree.
func command(ctx context.Context, o *options, tree string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, o.Bench, args...)
	c.Dir = tree
	return c
}

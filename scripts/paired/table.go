package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// columns are the figures of each day's row.
var columns = []string{"worth", "whole day", "worst windows", "worst class", "all prices", "refused", "failed"}

// least is the smallest mean difference of a price that is worth a line.
const least = 0.0005

// difference is the mean of paired differences.
type difference struct {
	old, new float64 // means
	mean     float64
	// half is half of the 95% interval; NaN with fewer than two pairs.
	half float64
}

// compareFigure returns how a figure differs over pairs. A figure that an entry lacks
// is 0: prices of nothing are left out there.
func compareFigure(pairs []*pair, name string) difference {
	var olds, news, diffs []float64
	for _, p := range pairs {
		o, n := p.old.figures[name], p.new.figures[name]
		olds, news, diffs = append(olds, o), append(news, n), append(diffs, n-o)
	}
	d := difference{old: stat.Mean(olds, nil), new: stat.Mean(news, nil), half: math.NaN()}
	mean, deviation := stat.MeanStdDev(diffs, nil)
	d.mean = mean
	if n := len(diffs); n > 1 {
		const upper = 0.975 // the upper end of a 95% interval
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		d.half = t.Quantile(upper) * deviation / math.Sqrt(float64(n))
	}
	return d
}

// String gives the new mean, and the difference with its interval.
func (d difference) String() string {
	return fmt.Sprintf("%.3f %+.3f±%.3f", d.new, d.mean, d.half)
}

// printTable prints a row for each day, for each site, and the prices that differ.
func printTable(w io.Writer, pairs []*pair) error {
	t := &bytes.Buffer{}
	fmt.Fprintln(t, "site\tday\tpairs\t"+strings.Join(columns, "\t"))
	bySite := group(pairs, func(p *pair) string { return p.site })
	for _, site := range bySite {
		name := strings.TrimSuffix(filepath.Base(site[0].site), ".toml")
		for _, day := range group(site, func(p *pair) string { return p.day }) {
			printRow(t, name, filepath.Base(day[0].day), day)
		}
		printRow(t, name, "all", site)
	}
	if len(bySite) > 1 {
		printRow(t, "all", "all", pairs)
	}
	rest := &bytes.Buffer{}
	printPrices(rest, pairs)
	printBroken(rest, pairs)
	rows := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := t.WriteTo(rows); err != nil {
		return trace.Wrap(err)
	}
	if err := rows.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, err := rest.WriteTo(w)
	return trace.Wrap(err)
}

// printRow prints the columns of some pairs.
func printRow(w *bytes.Buffer, site, day string, pairs []*pair) {
	fmt.Fprintf(w, "%s\t%s\t%d", site, day, len(pairs))
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", compareFigure(pairs, c))
	}
	fmt.Fprintln(w)
}

// printPrices prints the prices and parts beyond the columns that differ.
func printPrices(w *bytes.Buffer, pairs []*pair) {
	names := make(map[string]bool)
	for _, p := range pairs {
		for n := range p.old.figures {
			names[n] = true
		}
		for n := range p.new.figures {
			names[n] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		d := compareFigure(pairs, n)
		if !slices.Contains(columns, n) && math.Abs(d.mean) >= least {
			fmt.Fprintf(w, "%s: %.4f to %.4f, %+.4f±%.4f\n", n, d.old, d.new, d.mean, d.half)
		}
	}
}

// printBroken names each play that broke a rule.
func printBroken(w *bytes.Buffer, pairs []*pair) {
	for _, p := range pairs {
		for side, r := range map[string]*result{"old": p.old, "new": p.new} {
			if len(r.broken) > 0 {
				fmt.Fprintf(w, "RULE BROKEN, %s build, %s: %s\n", side, p.key(), strings.Join(r.broken, "; "))
			}
		}
	}
}

// group splits pairs that follow each other by a key.
func group(pairs []*pair, key func(*pair) string) [][]*pair {
	var out [][]*pair
	for i, p := range pairs {
		if i == 0 || key(p) != key(pairs[i-1]) {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], p)
	}
	return out
}

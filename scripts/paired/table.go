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

// columns are the figures printed for each day; "worth" is the goodput.
var columns = []string{"worth", "whole day", "worst windows", "worst class", "all prices", "refused", "failed"}

// minDifference is the smallest mean difference of a price that is printed.
const minDifference = 0.0005

// difference is the mean of paired differences and its confidence interval.
type difference struct {
	old, new float64 // means
	mean     float64
	// halfWidth is half of the 95% confidence interval; NaN with fewer than two pairs.
	halfWidth float64
}

// compareFigure returns the difference of a figure over pairs. A figure missing from an entry
// counts as 0, as entries omit prices of zero.
func compareFigure(pairs []*pair, name string) difference {
	var olds, news, diffs []float64
	for _, p := range pairs {
		o, n := p.old.figures[name], p.new.figures[name]
		olds, news, diffs = append(olds, o), append(news, n), append(diffs, n-o)
	}
	d := difference{old: stat.Mean(olds, nil), new: stat.Mean(news, nil), halfWidth: math.NaN()}
	mean, deviation := stat.MeanStdDev(diffs, nil)
	d.mean = mean
	if n := len(diffs); n > 1 {
		const upper = 0.975 // quantile of the upper end of a 95% interval
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		d.halfWidth = t.Quantile(upper) * deviation / math.Sqrt(float64(n))
	}
	return d
}

// String returns the new mean and the difference with its interval.
func (d difference) String() string {
	return fmt.Sprintf("%.3f %+.3f±%.3f", d.new, d.mean, d.halfWidth)
}

// printTable prints rows for each day and each site, the prices that differ and the violated
// rules.
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
	printViolations(rest, pairs)
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

// printRow prints the columns for a group of pairs.
func printRow(w *bytes.Buffer, site, day string, pairs []*pair) {
	fmt.Fprintf(w, "%s\t%s\t%d", site, day, len(pairs))
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", compareFigure(pairs, c))
	}
	fmt.Fprintln(w)
}

// printPrices prints the prices and parts that differ and are not among the columns.
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
		if !slices.Contains(columns, n) && math.Abs(d.mean) >= minDifference {
			fmt.Fprintf(w, "%s: %.4f to %.4f, %+.4f±%.4f\n", n, d.old, d.new, d.mean, d.halfWidth)
		}
	}
}

// printViolations prints the runs that violated a rule.
func printViolations(w *bytes.Buffer, pairs []*pair) {
	for _, p := range pairs {
		for side, r := range map[string]*result{"old": p.old, "new": p.new} {
			if len(r.violations) > 0 {
				fmt.Fprintf(w, "RULE VIOLATED, %s tree, %s: %s\n", side, p.key(), strings.Join(r.violations, "; "))
			}
		}
	}
}

// group splits pairs into groups of adjacent pairs with the same key.
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

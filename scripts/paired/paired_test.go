package main

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// The differences are 0.01, 0.03 and 0.05, with mean 0.03 and standard deviation 0.02. The
// t quantile with two degrees of freedom is 4.3027, so half of the interval is
// 4.3027 * 0.02 / sqrt(3) = 0.04968.
func TestCompareFigure(t *testing.T) {
	var pairs []*pair
	for _, v := range [][2]float64{{0.50, 0.51}, {0.40, 0.43}, {0.30, 0.35}} {
		pairs = append(pairs, &pair{
			old: &result{figures: map[string]float64{"worth": v[0]}},
			new: &result{figures: map[string]float64{"worth": v[1]}},
		})
	}
	want := difference{old: 0.40, new: 0.43, mean: 0.03, halfWidth: 0.04968}
	got := compareFigure(pairs, "worth")
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(difference{}), cmpopts.EquateApprox(0, 1e-5)); diff != "" {
		t.Errorf("difference (-want +got):\n%s", diff)
	}
	if one := compareFigure(pairs[:1], "worth"); !math.IsNaN(one.halfWidth) {
		t.Errorf("interval of one pair: %v, want NaN", one.halfWidth)
	}
}

func TestResultNamesFigures(t *testing.T) {
	d := entryDay{
		Goodput: 0.5, Refused: 0.02, Failed: 0.01,
		Parts:  [][]any{{"whole day", 0.35, 0.8}, {"worst windows", 0.5, 0.4}},
		Prices: [][]any{{"machine-seconds", 1100.0, 0.017}, {"probes", 3.0, 0.001}},
		Rules:  map[string]any{"LOST": 4},
	}
	want := &result{
		figures: map[string]float64{
			"worth": 0.5, "refused": 0.02, "failed": 0.01, "whole day": 0.8, "worst windows": 0.4,
			"machine-seconds": 0.017, "probes": 0.001, "all prices": 0.018,
		},
		violations: []string{"LOST 4"},
	}
	if diff := cmp.Diff(want, d.result(), cmp.AllowUnexported(result{}), cmpopts.EquateApprox(0, 1e-12)); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

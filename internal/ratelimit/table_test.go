package ratelimit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sumachead"
)

// second returns the time s seconds after boot.
func second(s float64) sumachead.BootTime {
	return sumachead.BootTime(s * float64(time.Second))
}

func TestTable(t *testing.T) {
	type response struct {
		sent, received float64
		limit          sumachead.RequestRate
	}
	tests := []struct {
		name      string
		responses []response
		want      sumachead.RequestRate
	}{
		{"no limit specified", []response{{0, 1, 0}}, 0},
		{"named", []response{{0, 1, 2.5}}, 2.5},
		{"lowered", []response{{0, 1, 2.5}, {1, 2, 1}}, 1},
		{"raised", []response{{0, 1, 2.5}, {1, 2, 5}}, 5},
		{"not specified once, soon after", []response{{0, 1, 2.5}, {1.5, 2, 0}}, 2.5},
		{"specified in every other response", []response{{0, 1, 2.5}, {1.5, 2, 0}, {2, 2.5, 2.5}, {3, 3.4, 0}}, 2.5},
		{"no longer specified", []response{{0, 1, 2.5}, {2, 2.5, 0}}, 0},
		{"the response to an earlier request does not end the limit", []response{{0, 1, 2.5}, {0.5, 9, 0}}, 2.5},
		{"specified again", []response{{0, 1, 2.5}, {2, 2.5, 0}, {3, 4, 7}}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			for _, a := range tt.responses {
				if a.limit > 0 {
					table.Set("a", a.limit, second(a.received))
				} else {
					table.Clear("a", second(a.sent))
				}
			}
			if d := cmp.Diff(tt.want, table.Get("a").Rate); d != "" {
				t.Errorf("limit (-want +got):\n%s", d)
			}
			want := 0
			if tt.want > 0 {
				want = 1
			}
			if n := table.Count(); n != want {
				t.Errorf("%d limited servers, want %d", n, want)
			}
			if r := table.Get("b").Rate; r != 0 {
				t.Errorf("another server has a limit of %v", r)
			}
			table.Expire(func(id sumachead.ServerID, _ Observation) bool { return id == "a" })
			if r := table.Get("a").Rate; r != 0 {
				t.Errorf("an expired server has a limit of %v", r)
			}
		})
	}
}

// Tables that exchange observations agree, in whichever order the observations arrive.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var seen []Observation
		for i := range rapid.IntRange(1, 8).Draw(t, "observations") {
			rate := sumachead.RequestRate(rapid.IntRange(0, 3).Draw(t, "rate"))
			seen = append(seen, Observation{rate, second(float64(i + 1))})
		}
		newest := seen[len(seen)-1].Rate
		for range 3 {
			var table Table
			for _, o := range rapid.Permutation(seen).Draw(t, "order") {
				table.Merge("a", o)
			}
			if r := table.Get("a").Rate; r != newest {
				t.Fatalf("limit %v, want %v", r, newest)
			}
		}
	})
}

package allot

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlan(t *testing.T) {
	tests := []struct {
		name string
		in   Input
		want []Adjustment
	}{
		{
			"no demand: equal shares of 90 percent",
			Input{Available: 1000, Halls: []Hall{{ID: "a", Connected: true}, {ID: "b", Connected: true}, {ID: "c", Connected: true}}},
			[]Adjustment{{"a", 300}, {"b", 300}, {"c", 300}},
		},
		{
			"half by demand, half equally",
			Input{Available: 1000, Halls: []Hall{{ID: "a", Connected: true, Demand: 9}, {ID: "b", Connected: true, Demand: 1}}},
			[]Adjustment{{"a", 630}, {"b", 270}},
		},
		{"disconnected hall gets no grant or recall", Input{Available: 100, Halls: []Hall{{ID: "a", Connected: true, Held: 300}, {ID: "b", Held: 1000}}}, nil},
		{
			"recall when the budget runs low",
			Input{Available: 0, Halls: []Hall{{ID: "a", Connected: true, Held: 100}, {ID: "b", Connected: true, Held: 1}}},
			[]Adjustment{{"a", -55}, {"b", 44}},
		},
		{"close to the target", Input{Available: 200, Halls: []Hall{{ID: "a", Connected: true, Held: 400}, {ID: "b", Connected: true, Held: 390}}}, nil},
		{"bounded by the demand horizon", Input{Available: 100_000_000, Halls: []Hall{{ID: "a", Connected: true, Demand: 100}}}, []Adjustment{{"a", 360_000}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, Plan(tt.in)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

package allot

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlan(t *testing.T) {
	tests := []struct {
		name string
		in   Input
		want []Step
	}{
		{
			"nothing known: equal shares of nine tenths",
			Input{Available: 1000, Halls: []Hall{{ID: "a", Live: true}, {ID: "b", Live: true}, {ID: "c", Live: true}}},
			[]Step{{"a", 300}, {"b", 300}, {"c", 300}},
		},
		{
			"by demand, half of it equally",
			Input{Available: 1000, Halls: []Hall{{ID: "a", Live: true, Demand: 9}, {ID: "b", Live: true, Demand: 1}}},
			[]Step{{"a", 630}, {"b", 270}},
		},
		{"none to a hall out of contact, none from it", Input{Available: 100, Halls: []Hall{{ID: "a", Live: true, Held: 300}, {ID: "b", Held: 1000}}}, nil},
		{
			"shrinks as the budget runs low",
			Input{Available: 0, Halls: []Hall{{ID: "a", Live: true, Held: 100}, {ID: "b", Live: true, Held: 1}}},
			[]Step{{"a", -55}, {"b", 44}},
		},
		{"close enough is left alone", Input{Available: 200, Halls: []Hall{{ID: "a", Live: true, Held: 400}, {ID: "b", Live: true, Held: 390}}}, nil},
		{"bounded by the horizon", Input{Available: 100_000_000, Halls: []Hall{{ID: "a", Live: true, Demand: 100}}}, []Step{{"a", 360_000}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, Plan(tt.in)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

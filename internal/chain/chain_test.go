package chain

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFirstFilterIsTheOutermost(t *testing.T) {
	named := func(name string) Filter[*[]string] {
		return func(next Handler[*[]string]) Handler[*[]string] {
			return func(seen *[]string) error {
				*seen = append(*seen, name)
				return next(seen)
			}
		}
	}
	last := func(seen *[]string) error {
		*seen = append(*seen, "handler")
		return nil
	}
	var seen []string
	if err := Wrap(last, named("first"), named("second"))(&seen); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"first", "second", "handler"}, seen); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
}

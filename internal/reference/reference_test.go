package reference

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPageIsCurrent(t *testing.T) {
	have, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(have), Page()); diff != "" {
		t.Errorf("docs/SETTINGS.md differs from the code; run `bin/sumachead settings reference > docs/SETTINGS.md` (-page +code):\n%s", diff)
	}
}

func TestEveryFieldHasText(t *testing.T) {
	for _, s := range sections() {
		for _, line := range emptyFields(s) {
			t.Errorf("%s: field %s has no doc tag", s.title, line)
		}
	}
}

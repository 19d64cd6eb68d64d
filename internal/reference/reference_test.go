package reference

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sumachead"
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
		for _, line := range undocumentedFields(s) {
			t.Errorf("%s: field %s has no doc tag", s.title, line)
		}
	}
}

func TestEveryReasonIsExplained(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range sumachead.Reasons() {
		if !strings.Contains(string(page), string(r)) {
			t.Errorf("docs/OPERATIONS.md does not explain %s", r)
		}
	}
}

package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sumachead/internal/explain"
)

// The losses in testdata/entry.json sum to 0.75 * 0.1 + 0.25 * 0.2 + 0.05 + 0.02 = 0.195.
func TestLossesAddUp(t *testing.T) {
	days, err := readEntry("testdata/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := days[0].losses()
	if err != nil {
		t.Fatal(err)
	}
	want := []loss{
		{"lost in whole day", 0.075},
		{"lost in worst windows", 0.05},
		{"price of machine-seconds", 0.05},
		{"price of worth refused again", 0.02},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(loss{}), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Errorf("losses (-want +got):\n%s", diff)
	}
	days[0].Goodput = 0.9
	if _, err := days[0].losses(); err == nil {
		t.Error("no error for losses that do not add up")
	}
}

func TestRequestsAreCounted(t *testing.T) {
	f, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	lines, err := explain.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := newAccount(lines, 5*time.Second).print(&b); err != nil {
		t.Fatal(err)
	}
	want := `all
                    4  failed: server_failed 1 (25.0%)  in_time 1 (25.0%)  late_first 1 (25.0%)  refused: ledger_unreached 1 (25.0%)
by route
  check             2  failed: server_failed 1 (50.0%)  refused: ledger_unreached 1 (50.0%)
  plan              2  in_time 1 (50.0%)  late_first 1 (50.0%)
by data hall
  hall-1            2  failed: server_failed 1 (50.0%)  in_time 1 (50.0%)
  hall-2            2  late_first 1 (50.0%)  refused: ledger_unreached 1 (50.0%)
by time
     0 s            2  in_time 1 (50.0%)  late_first 1 (50.0%)
     5 s            2  failed: server_failed 1 (50.0%)  refused: ledger_unreached 1 (50.0%)
refused at budget admission, by workspace
                    1  nurses ledger_unreached 1 (100.0%)
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("tables (-want +got):\n%s", diff)
	}
}

package journal

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

func open(t *testing.T, dir string, granted sumachead.Tokens) (*Journal, func()) {
	t.Helper()
	j := &Journal{Dir: dir, Hall: "h", Incarnation: "i", Granted: func(sumachead.BudgetID) sumachead.Tokens { return granted }}
	if err := j.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- j.Run(ctx) }()
	return j, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func reserve(t *testing.T, j *Journal, key string, amount int64) wire.LedgerCode {
	t.Helper()
	r, err := j.Reserve(&wire.ReserveRequest{
		Workspace: "w", Key: key, Budget: "b", Amount: amount, Attempt: &wire.Attempt{Owner: key}, DeadlineUnixNano: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r.GetCode()
}

func settle(t *testing.T, j *Journal, key string, tokens int64) {
	t.Helper()
	if _, err := j.Settle(&wire.SettleBatch{Settles: []*wire.SettleRequest{{Workspace: "w", Key: key, Attempt: 1, Tokens: tokens}}}); err != nil {
		t.Fatal(err)
	}
}

// A crash at any byte of the log must not lose an update that was replied to, nor
// let the hall spend more than it was granted.
func TestCrashAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	j, stop := open(t, dir, 100)
	path := j.store.log.Path()
	type checkpoint struct {
		size int64
		want int64
	}
	var checkpoints []checkpoint
	do := func(f func()) {
		f()
		available, _ := j.Available("b")
		checkpoints = append(checkpoints, checkpoint{j.store.log.Size(), int64(available)})
	}
	do(func() { reserve(t, j, "k1", 40) })
	do(func() { settle(t, j, "k1", 10) })
	do(func() {
		if err := j.Topup("b", "h~1", 7); err != nil {
			t.Fatal(err)
		}
	})
	do(func() {
		if n, err := j.ReturnTokens("b", 30); err != nil || n != 30 {
			t.Fatal(n, err)
		}
	})
	do(func() { reserve(t, j, "k2", 67) })
	if code := reserve(t, j, "k3", 1); code != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
		t.Fatalf("reserved more than granted: %v", code)
	}
	stop()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := int64(0); size <= int64(len(data)); size++ {
		want := int64(100)
		for _, m := range checkpoints {
			if m.size <= size {
				want = m.want
			}
		}
		truncated := filepath.Join(t.TempDir(), "j")
		if err := os.MkdirAll(truncated, 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(truncated, filepath.Base(path)), data[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		k := &Journal{Dir: truncated, Hall: "h", Incarnation: "i", Granted: j.Granted}
		if err := k.Open(); err != nil {
			t.Fatal(err)
		}
		if got, _ := k.Available("b"); int64(got) != want {
			t.Fatalf("after a crash at byte %d: available %d, want %d", size, got, want)
		}
	}
}

// A snapshot must contain the whole state, including the unmerged records.
func TestCompaction(t *testing.T) {
	dir := t.TempDir()
	j, stop := open(t, dir, 1000)
	for i := range 20 {
		reserve(t, j, fmt.Sprintf("k%d", i), 10)
		settle(t, j, fmt.Sprintf("k%d", i), 5)
	}
	j.MarkMerged(30)
	want := j.Unmerged(0, 100)
	available, reserved := j.Available("b")
	j.mu.Lock()
	data, err := j.snapshot()
	if err == nil {
		err = j.store.compact(data)
	}
	j.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	reserve(t, j, "last", 1)
	stop()
	k, stop := open(t, dir, 1000)
	defer stop()
	got, gotReserved := k.Available("b")
	if got != available-1 || gotReserved != reserved+1 {
		t.Errorf("available %d, reserved %d; want %d, %d", got, gotReserved, available-1, reserved+1)
	}
	records := k.Unmerged(0, 100)
	if len(records) != len(want)+1 {
		t.Fatalf("%d unmerged records, want %d", len(records), len(want)+1)
	}
	if diff := cmp.Diff(want, records[:len(want)], cmp.Comparer(proto.Equal)); diff != "" {
		t.Errorf("unmerged (-want +got):\n%s", diff)
	}
	if code := reserve(t, k, "k3", 10); code != wire.LedgerCode_LEDGER_CODE_SETTLED {
		t.Errorf("a settled key returned %v", code)
	}
}

func TestOpenRejectsOtherIncarnation(t *testing.T) {
	dir := t.TempDir()
	j, stop := open(t, dir, 10)
	j.mu.Lock()
	data, err := j.snapshot()
	if err == nil {
		err = j.store.compact(data)
	}
	j.mu.Unlock()
	stop()
	if err != nil {
		t.Fatal(err)
	}
	other := &Journal{Dir: dir, Hall: "h", Incarnation: "other", Granted: j.Granted}
	if err := other.Open(); err == nil {
		t.Error("journal of another incarnation was opened")
	}
}

package fleetclient

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/escrow"
	"sumachead/internal/patience"
)

// fakeLedger grants what is needed, but for workspaces whose money others hold.
type fakeLedger struct {
	fakeKeeper
	routers uint32
	// short begins the names of workspaces that get nothing before a time.
	short   string
	shortTo time.Time
	asked   atomic.Int64
}

// oneLacks is after what time a holder asks again that alone lacks something.
const oneLacks = 45 * time.Millisecond

// Follow answers a question.
func (k *fakeLedger) Follow(q *wire.FollowRequest, reply *wire.FollowReply) error {
	err := k.fakeKeeper.Follow(q, reply)
	reply.Routers = k.routers
	return err
}

// Report answers a report.
func (k *fakeLedger) Report(r *wire.EscrowReport, reply *wire.EscrowReply) error {
	k.asked.Add(1)
	for _, p := range r.GetPositions() {
		a := &wire.EscrowAnswer{Workspace: p.GetWorkspace(), Granted: p.GetGranted(), Keep: escrow.KeepAll}
		if !strings.HasPrefix(p.GetWorkspace(), k.short) || time.Now().After(k.shortTo) {
			a.Granted += p.GetNeeded()
		} else if p.GetNeeded() > 0 {
			reply.AgainMillis = oneLacks.Milliseconds()
		}
		reply.Answers = append(reply.Answers, a)
	}
	return nil
}

// newReporter returns a wallet whose reports go to a ledger.
func newReporter(t *testing.T, k *fakeLedger) *escrow.Wallet {
	t.Helper()
	k.address = freeAddress(t)
	k.leader = k.address
	serveAs(t, k.address, k)
	c := newClient(t, k.address)
	eventually(t, "the leader is known", func() bool { return c.Routers() == int(k.routers) })
	w := &escrow.Wallet{Node: "router-1"}
	r := &Reporter{Client: c, Wallet: w, Log: hclog.NewNullLogger()}
	r.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// reserve asks for money for a request that is of use for some seconds, and returns how long that
// took; negative where it was refused.
func reserve(w *escrow.Wallet, id sumachead.WorkspaceID, u time.Duration) time.Duration {
	begun := time.Now()
	use := patience.Deadlines{Soft: begun.Add(u), Hard: begun.Add(2 * u)}
	if _, err := w.Reserve(context.Background(), id, 1000, use, 0); err != nil {
		return -time.Since(begun)
	}
	return time.Since(begun)
}

// A lender of a large fleet has the money of many workspaces. That one of them is at its end, so
// that its requests wait for what others give back, holds up the requests of no other.
func TestAWorkspaceThatLacksHoldsUpNoOther(t *testing.T) {
	for _, routers := range []uint32{4, 102, 384, 1000} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			w := newReporter(t, &fakeLedger{routers: routers, short: "ended", shortTo: time.Now().Add(time.Hour)})
			stop := time.Now().Add(2 * time.Second)
			go func() {
				for time.Now().Before(stop) {
					reserve(w, "ended", 500*time.Millisecond)
				}
			}()
			const most = 100 * time.Millisecond
			for i := 0; time.Now().Before(stop); i++ {
				if took := reserve(w, sumachead.WorkspaceID(fmt.Sprint("ample-", i)), 500*time.Millisecond); took < 0 || took > most {
					t.Errorf("the money of workspace %d took %v", i, took)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// Money that others give back reaches a request that waits for it soon, in a fleet of any size: few
// holders lack at a time, however many there are.
func TestWhatIsGivenBackIsUsedSoon(t *testing.T) {
	for _, routers := range []uint32{4, 384, 1000} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			k := &fakeLedger{routers: routers, short: "ended", shortTo: time.Now().Add(1500 * time.Millisecond)}
			w := newReporter(t, k)
			begun := time.Now()
			took := reserve(w, "ended", 4*time.Second)
			const soon = 250 * time.Millisecond
			if late := begun.Add(took).Sub(k.shortTo); took < 0 || late > soon {
				t.Errorf("taken %v after it was there, in all %v", late, took)
			}
			const mostAsked = 60
			if n := k.asked.Load(); n > mostAsked {
				t.Errorf("the ledger was asked %d times within %v", n, took)
			}
		})
	}
}

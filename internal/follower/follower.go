// Package follower keeps a router's or an agent's settings in force.
//
// A [Follower] asks the leader of the settings group for what it lacks, holds
// the newest [settings.View], and knows for how long it is proved current: an
// answer that a leader gives under its quorum lease proves that the node had
// the newest settings when it asked. A node never goes back to an older
// revision.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/boottime"
	"sumachead/internal/config"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
)

const (
	// holdFor is how long a keeper may hold a question when nothing is new.
	holdFor = time.Second
	// askTimeout bounds a question beyond its hold.
	askTimeout = 700 * time.Millisecond
	retryPause = 100 * time.Millisecond
)

// Follower follows the settings tree. Set the exported fields before Run.
type Follower struct {
	Config *config.Config
	Boot   sumachead.BootID
	Pool   *rpc.Pool
	Log    hclog.Logger
	// Clock bounds the currency lease; nil for the host's.
	Clock sumachead.Clock
	// Without lists the kinds of objects that this node has no use for.
	Without []string

	view  atomic.Pointer[settings.View]
	state settings.Follower // used by Run only
	next  int               // used by Run only
	// steady: the last answer came from the leader. Used by Run only.
	steady bool

	mu sync.Mutex // guards the fields below
	// currentAsOf is the latest time for which currency is proved.
	currentAsOf sumachead.BootTime
	// cutOffAsOf is the latest time for which the own hall's keeper has said
	// that it has no leader.
	cutOffAsOf sumachead.BootTime
}

// View returns the settings in force; nil before the first sync.
func (f *Follower) View() *settings.View { return f.view.Load() }

// now returns the time by which leases go.
func (f *Follower) now() sumachead.BootTime {
	if f.Clock == nil {
		return boottime.Clock{}.Now()
	}
	return f.Clock.Now()
}

// holds reports whether a lease that was granted at a time goes on; zero for none.
func (f *Follower) holds(since sumachead.BootTime) bool {
	return since != 0 && f.now() < since.Add(settings.CurrencyLease)
}

// Current reports whether the settings are proved current. A tree in which nothing was ever
// set counts as none.
func (f *Follower) Current() bool {
	if v := f.View(); v == nil || v.Revision == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds(f.currentAsOf)
}

// MayServe reports whether new work of a pool may start: the settings are current,
// or the hall is wholly cut off and the pool serves then.
func (f *Follower) MayServe(p *settings.ResolvedPool) bool {
	return f.Current() || (p.CutOff == settings.CutOffServe && f.cutOff())
}

// cutOff reports whether the whole data hall is known to be cut off: its own
// keeper has said lately that it has no leader. A node that reaches no keeper
// at all knows nothing and must not work.
func (f *Follower) cutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds(f.cutOffAsOf)
}

// MayServeAny reports whether new work of some pool may start.
func (f *Follower) MayServeAny() bool { return f.Current() || f.cutOff() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.steady = f.ask(ctx); f.steady {
			continue
		}
		f.next++
		loop.Sleep(ctx, retryPause)
	}
	return nil
}

// ask sends one question to one keeper; it reports whether the answer came
// from the leader.
func (f *Follower) ask(ctx context.Context) bool {
	k := f.Config.Keepers[f.next%len(f.Config.Keepers)]
	r := f.request()
	asked := f.now()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond+askTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.SyncReply](callCtx, f.Pool.Get(k.Address), "Settings.Sync", r)
	if err != nil {
		f.Log.Debug("A keeper did not answer.", "keeper", k.ID, "error", err)
		return false
	}
	taken := f.take(reply)
	if !reply.GetCurrent() {
		// What a cut-off keeper says of its state counts also when its copy of
		// the tree is older than this node's.
		f.noteCutOff(reply, k, asked)
		f.aimAt(reply.GetLeader(), k.ID)
		return false
	}
	if !taken {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAsOf = asked
	f.cutOffAsOf = 0
	return true
}

// noteCutOff takes in what a keeper without a quorum says: that of the own hall
// counts.
func (f *Follower) noteCutOff(reply *wire.SyncReply, k config.Keeper, asked sumachead.BootTime) {
	if k.Hall != f.Config.Hall || !reply.GetCutOff() || reply.GetRevision() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOffAsOf = asked
}

func (f *Follower) request() *wire.SyncRequest {
	session, revision := f.state.Position()
	r := &wire.SyncRequest{
		Node: string(f.Config.Node), Role: string(f.Config.Role), Hall: string(f.Config.Hall),
		Session: session, Revision: revision, Without: f.Without,
		Address: f.Config.HTTP, Boot: string(f.Boot),
	}
	if f.steady {
		r.WaitMillis = holdFor.Milliseconds()
	}
	return r
}

// take puts a reply in force; false means that it was of no use.
func (f *Follower) take(reply *wire.SyncReply) bool {
	v, err := f.state.Take(reply)
	if err != nil {
		f.Log.Debug("Settings were not taken.", "error", err)
		return false
	}
	if v != nil {
		f.view.Store(v)
		f.Log.Debug("Settings are in force.", "revision", v.Revision)
	}
	return true
}

// aimAt makes the leader the next keeper to ask. Run steps on by one after an
// answer that was not the leader's.
func (f *Follower) aimAt(leader, asked string) {
	if leader == "" || leader == asked {
		return
	}
	for i, k := range f.Config.Keepers {
		if k.ID == leader {
			f.next = i + len(f.Config.Keepers) - 1
		}
	}
}

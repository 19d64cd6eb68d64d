// Package follower keeps the settings of a router or an agent up to date.
//
// A [Follower] requests updates from the leader of the settings group, holds the
// newest [settings.View], and tracks until when it is known to be current: a
// response that the leader gives under its quorum lease proves that the node had
// the newest settings when it sent the request. A node never goes back to an
// older revision.
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
	// longPollWait is the maximum long poll time at a keeper without news.
	longPollWait = time.Second
	// callTimeout is the timeout of a request on top of its long poll time.
	callTimeout = 700 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
)

// Follower follows the settings tree. Set the exported fields before Run.
type Follower struct {
	Config *config.Config
	Boot   sumachead.BootID
	Pool   *rpc.Pool
	Log    hclog.Logger
	// Clock is the clock of the freshness lease; nil for the host's boot time clock.
	Clock sumachead.Clock
	// ExcludedKinds lists the kinds of objects that this node does not need.
	ExcludedKinds []string

	view       atomic.Pointer[settings.View]
	state      settings.Follower // used by Run only
	nextKeeper int               // used by Run only
	// leaderFound is set if the last response came from the leader. Used by Run only.
	leaderFound bool

	mu sync.Mutex // guards the fields below
	// currentAsOf is the latest time at which the settings are known to have been
	// current.
	currentAsOf sumachead.BootTime
	// cutOffAsOf is the latest time at which the keeper of the node's own hall had
	// no leader.
	cutOffAsOf sumachead.BootTime
}

// View returns the current settings; nil before the first sync.
func (f *Follower) View() *settings.View { return f.view.Load() }

// now returns the time on the clock of the leases.
func (f *Follower) now() sumachead.BootTime {
	if f.Clock == nil {
		return boottime.Clock{}.Now()
	}
	return f.Clock.Now()
}

// isLeaseValid reports whether a lease that was granted at since is still valid. A zero since
// means no lease.
func (f *Follower) isLeaseValid(since sumachead.BootTime) bool {
	return since != 0 && f.now() < since.Add(settings.FreshnessLease)
}

// Current reports whether the settings are known to be current. It returns false for a tree
// in which nothing has ever been set.
func (f *Follower) Current() bool {
	if v := f.View(); v == nil || v.Revision == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeaseValid(f.currentAsOf)
}

// MayServe reports whether new requests of a pool may start: the settings are current, or
// the whole hall is cut off and the pool is configured to serve even then.
func (f *Follower) MayServe(p *settings.ResolvedPool) bool {
	return f.Current() || (p.CutOff == settings.CutOffServe && f.cutOff())
}

// cutOff reports whether the whole data hall is known to be cut off: its own keeper
// has recently reported that it has no leader. A node that reaches no keeper at all
// can't tell and must not serve.
func (f *Follower) cutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeaseValid(f.cutOffAsOf)
}

// MayServeAny reports whether new requests of some pool may start.
func (f *Follower) MayServeAny() bool { return f.Current() || f.cutOff() }

// Run requests updates until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.leaderFound = f.sync(ctx); f.leaderFound {
			continue
		}
		f.nextKeeper++
		loop.Sleep(ctx, retryDelay)
	}
	return nil
}

// sync sends one request to one keeper. It reports whether the response came from the
// leader and was applied.
func (f *Follower) sync(ctx context.Context) bool {
	k := f.Config.Keepers[f.nextKeeper%len(f.Config.Keepers)]
	r := f.request()
	sentAt := f.now()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond+callTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.SyncReply](callCtx, f.Pool.Get(k.Address), "Settings.Sync", r)
	if err != nil {
		f.Log.Debug("Keeper did not respond.", "keeper", k.ID, "error", err)
		return false
	}
	applied := f.apply(reply)
	if !reply.GetCurrent() {
		// A report that the keeper is cut off counts even if its copy of the tree
		// is older than this node's.
		f.recordCutOff(reply, k, sentAt)
		f.tryLeaderNext(reply.GetLeader(), k.ID)
		return false
	}
	if !applied {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAsOf = sentAt
	f.cutOffAsOf = 0
	return true
}

// recordCutOff records that a keeper reports itself as cut off. Only the keeper of the
// node's own hall counts.
func (f *Follower) recordCutOff(reply *wire.SyncReply, k config.Keeper, sentAt sumachead.BootTime) {
	if k.Hall != f.Config.Hall || !reply.GetCutOff() || reply.GetRevision() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOffAsOf = sentAt
}

func (f *Follower) request() *wire.SyncRequest {
	session, revision := f.state.Position()
	r := &wire.SyncRequest{
		Node: string(f.Config.Node), Role: string(f.Config.Role), Hall: string(f.Config.Hall),
		Session: session, Revision: revision, Without: f.ExcludedKinds,
		Address: f.Config.HTTP, Boot: string(f.Boot),
	}
	if f.leaderFound {
		r.WaitMillis = longPollWait.Milliseconds()
	}
	return r
}

// apply applies a reply. It returns false if the reply could not be applied.
func (f *Follower) apply(reply *wire.SyncReply) bool {
	v, err := f.state.Apply(reply)
	if err != nil {
		f.Log.Debug("Failed to apply settings.", "error", err)
		return false
	}
	if v != nil {
		f.view.Store(v)
		f.Log.Debug("Settings applied.", "revision", v.Revision)
	}
	return true
}

// tryLeaderNext makes the leader the next keeper to ask. It sets nextKeeper to the one before the
// leader, because Run advances nextKeeper after a response that was not the leader's.
func (f *Follower) tryLeaderNext(leader, current string) {
	if leader == "" || leader == current {
		return
	}
	for i, k := range f.Config.Keepers {
		if k.ID == leader {
			f.nextKeeper = i + len(f.Config.Keepers) - 1
		}
	}
}

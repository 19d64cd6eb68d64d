// Package fleetclient connects a node without a disk to the keepers of a fleet.
//
// A [Client] finds the leading keeper from a few seeds, directly or, where this
// node is cut off from the keepers, through relays (search.go); follows the
// declaration in force and the server records (client.go); and carries calls
// (call.go), escrow reports among them (escrow.go), to the leader the same way.
package fleetclient

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/blame"
	"sumachead/internal/catalog"
	"sumachead/internal/fleet"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
	"sumachead/internal/registry"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
)

const (
	// holdFor is how long the leader may hold a question when nothing is new.
	// It bounds how late a dead leader or a cut is noticed.
	holdFor = 600 * time.Millisecond
	// relayHoldFor is the same for a relay, which only learns of keepers.
	relayHoldFor = 3 * time.Second
	// adoptGap is the least time between declarations that a node puts in force:
	// preparing one takes a small host some ten milliseconds, and a series of
	// changes must not starve callers. It is far below the seconds in which an
	// accepted declaration has to be in force.
	adoptGap = 400 * time.Millisecond
	// answerWithin bounds an answer beyond its hold.
	answerWithin = 600 * time.Millisecond
	// searchPause separates searches in which nobody led: keepers that run hold the
	// question, so that only those that start just now are asked again so soon.
	searchPause = 40 * time.Millisecond
	// searchEach is added to that for each router, so that the searches of a large
	// fleet do not keep its keepers from electing a leader.
	searchEach = 2 * time.Millisecond
)

// Way is how the leading keeper is reached.
type Way struct {
	// Relay is the address of the relay to go through; empty for a direct
	// connection.
	Relay string
	// Address is the keeper's.
	Address string
}

// Client follows the leading keeper. Set the exported fields before Run.
type Client struct {
	Node sumachead.NodeID
	// Role is one of the fleet package's roles; it decides what the leader tells.
	Role string
	Hall sumachead.HallID
	// RelayAddress is where this node relays connections; empty for none.
	RelayAddress string
	// LendingAddress returns where this node lends escrow to routers of its data hall;
	// empty while it does not. Nil for a node that never does.
	LendingAddress func() string
	// Seeds returns addresses of some keepers.
	Seeds func() []string
	Pool  *rpc.Pool
	// Servers takes in the server records that the leader tells.
	Servers *registry.Table
	// Suspects takes in how requests stand that end servers; nil for a node that sends
	// none.
	Suspects *blame.Table
	// Rollouts takes in the roll-outs that the leader tells; nil for a node that sends none.
	Rollouts *rollout.Sampler
	Log      hclog.Logger
	// OnLacking is told of workspaces of which another node lacks escrow; nil
	// for a node that holds none.
	OnLacking func([]sumachead.WorkspaceID)

	// view is replaced under mu, and never by one with a lower number.
	view atomic.Pointer[catalog.View]
	// routers is how many routers the leader last counted.
	routers atomic.Uint32
	// known is open once there is a declaration.
	known loop.Gate
	// lines bounds what is logged of suspects.
	lines telemetry.Lines
	// searching makes one of searches that are wanted at the same time.
	searching singleflight.Group

	mu sync.Mutex // guards the fields below
	// way is the last way that worked; empty when lost.
	way Way
	// keepers and relays are the addresses that the leader last named.
	keepers []string
	relays  []string
	// lenders are the addresses of the data hall's lenders of escrow, and lendersDigest
	// the leader's digest of them.
	lenders       []string
	lendersDigest uint64
	// heardAt is when the leader last answered.
	heardAt time.Time
	// adoptedAt is when the declaration in force was put in force.
	adoptedAt time.Time
	// searches counts searches, so that each asks other keepers through relays.
	searches int
	// directAt is when the direct way is to be tried again.
	directAt time.Time
}

// View returns the declaration in force; nil before the first.
func (c *Client) View() *catalog.View { return c.view.Load() }

// Known returns a channel that is closed once there is a declaration.
func (c *Client) Known() <-chan struct{} { return c.known.Wait() }

// Routers returns how many routers there are, at least 1.
func (c *Client) Routers() int { return max(int(c.routers.Load()), 1) }

// Way returns the way to the leader; ok is false while there is none.
func (c *Client) Way() (w Way, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.way, c.way.Address != ""
}

// HeardAt returns when the leader last answered.
func (c *Client) HeardAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heardAt
}

// Keepers lists the addresses of the keepers that are known.
func (c *Client) Keepers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.keepers)
	all = append(all, c.Seeds()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Lenders lists the addresses of the data hall's lenders of escrow, as the leader last
// named them. The list is not to be changed.
func (c *Client) Lenders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lenders
}

// Run follows until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w, ok := c.Way()
		if ok && c.follow(ctx, w) {
			c.tryDirect(ctx, w)
			continue
		}
		if c.search(ctx) {
			continue
		}
		loop.Sleep(ctx, searchPause+searchEach*time.Duration(c.Routers()))
	}
	return nil
}

// request is the question that tells what this node has.
func (c *Client) request(wait time.Duration) *wire.FollowRequest {
	history, version := c.Servers.Position()
	r := &wire.FollowRequest{
		Node: string(c.Node), Role: c.Role, Hall: string(c.Hall), RelayAddress: c.RelayAddress,
		History: history, Version: version, WaitMillis: wait.Milliseconds(),
	}
	r.HallsRevision = c.Servers.HallsRevision()
	r.RolloutsRevision = c.Servers.RolloutsRevision()
	if c.Suspects != nil {
		r.SuspectsRevision = c.Suspects.Revision()
	}
	if v := c.View(); v != nil {
		r.Number = v.Number
	}
	if c.LendingAddress != nil {
		r.LendingAddress = c.LendingAddress()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.LendersDigest = c.lendersDigest
	if left := adoptGap - time.Since(c.adoptedAt); left > 0 {
		// Whatever is newer is asked for once the time has passed.
		r.Number = math.MaxUint64
		r.WaitMillis = min(wait, left).Milliseconds()
	}
	return r
}

// through returns the connection to a keeper over a way.
func (c *Client) through(w Way) *rpc.Client { return c.Pool.GetThrough(w.Relay, w.Address) }

// ask puts a question to the keeper at the end of a way.
func (c *Client) ask(ctx context.Context, w Way, r *wire.FollowRequest) (*wire.FollowReply, error) {
	return rpc.Call[wire.FollowReply](ctx, c.through(w), "Fleet.Follow", r)
}

// follow asks the leader once; false means that the way is lost.
func (c *Client) follow(ctx context.Context, w Way) bool {
	hold := holdFor
	if c.Role == fleet.RoleRelay {
		hold = relayHoldFor
	}
	callCtx, cancel := context.WithTimeout(ctx, hold+answerWithin)
	defer cancel()
	reply, err := c.ask(callCtx, w, c.request(hold))
	if err == nil {
		c.take(reply)
		c.heard(w, reply)
		loop.Sleep(ctx, time.Duration(reply.GetPauseMillis())*time.Millisecond)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if leader := keeperclient.Leader(err); leader != "" && leader != w.Address {
		c.leave(w, Way{w.Relay, leader})
		return true
	}
	c.Log.Info("The way to the leading keeper is lost.", "address", w.Address, "relay", w.Relay, "error", err)
	c.leave(w, Way{})
	return false
}

// Refresh asks the leader for what is new, without waiting for something to be.
func (c *Client) Refresh(ctx context.Context) error {
	w, err := c.knownWay()
	if err != nil {
		return err
	}
	reply, err := c.ask(ctx, w, c.request(0))
	if err != nil {
		return err
	}
	c.take(reply)
	c.heard(w, reply)
	return nil
}

// leave gives a way up for another, unless a better one was found while it was
// asked.
func (c *Client) leave(w, next Way) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.way == w {
		c.way = next
	}
}

// found keeps a way over which the leader has answered a search.
func (c *Client) found(w Way, r *wire.FollowReply) {
	c.mu.Lock()
	if c.way != w {
		c.Log.Info("The leading keeper is found.", "address", w.Address, "relay", w.Relay)
	}
	c.way = w
	c.mu.Unlock()
	c.heard(w, r)
}

// heard keeps what the leader has told of the ways to it, unless another way has
// been taken since it was asked.
func (c *Client) heard(w Way, r *wire.FollowReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.way != w {
		return
	}
	c.heardAt = time.Now()
	c.keepers = c.keepers[:0]
	for _, m := range r.GetKeepers() {
		c.keepers = append(c.keepers, m.GetAddress())
	}
	if len(r.GetRelays()) > 0 {
		c.relays = r.GetRelays()
	}
	if len(r.GetLenders()) > 0 {
		c.lenders, c.lendersDigest = r.GetLenders(), r.GetLendersDigest()
	}
}

// isNew reports whether a declaration's number is above that of the one in force.
func (c *Client) isNew(number uint64) bool {
	v := c.View()
	return v == nil || number > v.Number
}

// unpack puts a declaration in force that is new to this node.
func (c *Client) unpack(p *wire.PackedDeclaration) {
	if !c.isNew(p.GetNumber()) {
		return
	}
	d, err := catalog.Unpack(p)
	if err != nil {
		c.Log.Error("A declaration can't be read.", "number", p.GetNumber(), "error", err)
		return
	}
	c.Adopt(d)
}

// Adopt puts a declaration in force unless one with a higher number is.
func (c *Client) Adopt(d *wire.Declaration) {
	v := catalog.NewView(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isNew(v.Number) {
		return // one that came beside it is newer
	}
	c.view.Store(v)
	c.known.Set(true)
	c.adoptedAt = time.Now()
	c.Log.Info("A declaration is in force.", "number", d.GetNumber(), "routes", len(d.GetCatalog().GetRoutes()))
}

// Package fleetclient connects a node without a disk to the keepers of a fleet.
//
// A [Client] finds the leading keeper from a few seeds, directly or, if a network partition
// separates this node from the keepers, through relays (search.go). It follows the declaration in
// force and the server records (client.go), and carries calls (call.go), such as escrow reports
// (escrow.go), to the leader over the same path.
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
	"sumachead/internal/catalog"
	"sumachead/internal/fleet"
	"sumachead/internal/keeperclient"
	"sumachead/internal/linkload"
	"sumachead/internal/loop"
	"sumachead/internal/quarantine"
	"sumachead/internal/registry"
	"sumachead/internal/rollout"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
)

const (
	// pollWait is how long the leader may hold a follow request while nothing is new. It bounds
	// how late a dead leader or a network partition is noticed.
	pollWait = 600 * time.Millisecond
	// relayPollWait is the same for a relay, which only follows the set of keepers.
	relayPollWait = 3 * time.Second
	// minApplyInterval is the minimum interval between declarations that a node applies: preparing
	// one takes a small host some ten milliseconds, and a series of changes must not starve
	// callers. It is far below the seconds within which an accepted declaration has to be in
	// force.
	minApplyInterval = 400 * time.Millisecond
	// responseTimeout bounds a response, in addition to the time for which the request may be
	// held.
	responseTimeout = 600 * time.Millisecond
	// searchRetryInterval separates searches that found no leader. Running keepers hold the
	// request, so only those that have just started are asked again this soon.
	searchRetryInterval = 40 * time.Millisecond
	// searchDelayPerRouter is added to that for each router, so that the searches of a large fleet
	// do not keep its keepers from electing a leader.
	searchDelayPerRouter = 2 * time.Millisecond
)

// Path is how the leading keeper is reached.
type Path struct {
	// Relay is the address of the relay to connect through; empty for a direct connection.
	Relay string
	// Address is the address of the keeper.
	Address string
}

// Client follows the leading keeper. Set the exported fields before Run.
type Client struct {
	Node sumachead.NodeID
	// Role is one of the roles in package fleet; it determines what the leader sends.
	Role string
	Hall sumachead.HallID
	// RelayAddress is where this node relays connections; empty if it does not.
	RelayAddress string
	// LendingAddress returns where this node lends escrow to routers of its data hall, or an empty
	// string while it does not; nil for a node that never lends.
	LendingAddress func() string
	// Seeds returns addresses of some keepers.
	Seeds func() []string
	Pool  *rpc.Pool
	// Servers is updated with the server records that the leader sends.
	Servers *registry.Table
	// Suspects is updated with the standings of requests that crash servers; nil for a node that
	// sends no requests.
	Suspects *quarantine.Table
	// OnSuspects is called with the suspects whose standing has changed; nil for none.
	OnSuspects func(changed []*wire.Suspect)
	// Rollouts is updated with the rollouts that the leader sends; nil for a node that sends no
	// requests.
	Rollouts *rollout.Sampler
	Log      hclog.Logger
	// OnReclaim is called with the workspaces for which another node is short of escrow; nil for a
	// node that holds none.
	OnReclaim func([]sumachead.WorkspaceID)
	// LinkPercent returns how much of a router's link callers use, 0 if unknown, and OnHallLink is
	// called with the use of the links of the other routers of the data hall; nil for other nodes.
	LinkPercent func() linkload.Percent
	OnHallLink  func(*wire.HallLink)

	// view is replaced under mu, and never by one with a lower number.
	view atomic.Pointer[catalog.View]
	// routers is the number of routers by what leaders have reported.
	routers routerCount
	// declarations assembles declarations that arrive in parts.
	declarations catalog.Assembler
	// declared is open once there is a declaration.
	declared loop.Gate
	// limitedLog limits the rate of log lines on suspects.
	limitedLog telemetry.LogLimiter
	// searchGroup merges concurrent searches into one.
	searchGroup singleflight.Group

	mu sync.Mutex // guards the fields below
	// path is the last path that worked; empty if it was lost.
	path Path
	// keepers and relays are the addresses that the leader sent last.
	keepers []string
	relays  []string
	// lenders are the addresses of the lenders of escrow in this data hall, and lendersDigest is
	// the leader's digest of them.
	lenders       []string
	lendersDigest uint64
	// lastResponseAt is when the leader last responded.
	lastResponseAt time.Time
	// appliedAt is when the declaration in force was applied.
	appliedAt time.Time
	// searches counts searches, so that each asks different keepers through relays.
	searches int
	// nextDirectAttempt is when the direct path is to be tried next.
	nextDirectAttempt time.Time
}

// View returns the declaration in force; nil before the first.
func (c *Client) View() *catalog.View { return c.view.Load() }

// Declared returns a channel that is closed once there is a declaration.
func (c *Client) Declared() <-chan struct{} { return c.declared.Wait() }

// Routers returns the number of routers, at least 1.
func (c *Client) Routers() int { return c.routers.get() }

// Path returns the path to the leader; ok is false while there is none.
func (c *Client) Path() (w Path, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.path, c.path.Address != ""
}

// LastResponseAt returns when the leader last responded.
func (c *Client) LastResponseAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponseAt
}

// Keepers returns the addresses of the known keepers.
func (c *Client) Keepers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(c.keepers)
	all = append(all, c.Seeds()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Lenders returns the addresses of the lenders of escrow in this data hall, as the leader sent
// them last. The caller must not change the list.
func (c *Client) Lenders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lenders
}

// Run follows the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w, ok := c.Path()
		if ok && c.follow(ctx, w) {
			c.tryDirect(ctx, w)
			continue
		}
		if c.search(ctx) {
			continue
		}
		loop.Sleep(ctx, searchRetryInterval+searchDelayPerRouter*time.Duration(c.Routers()))
	}
	return nil
}

// followRequest returns a request that says what this node already has.
func (c *Client) followRequest(wait time.Duration) *wire.FollowRequest {
	history, version, after := c.Servers.FollowPosition()
	r := &wire.FollowRequest{
		Node: string(c.Node), Role: c.Role, Hall: string(c.Hall), RelayAddress: c.RelayAddress,
		History: history, Version: version, After: after, TakesParts: true, WaitMillis: wait.Milliseconds(),
	}
	r.HallsRevision = c.Servers.HallsRevision()
	r.RolloutsRevision = c.Servers.RolloutsRevision()
	if c.Suspects != nil {
		r.SuspectsRevision = c.Suspects.Revision()
	}
	if v := c.View(); v != nil {
		r.Number = v.Number
	}
	r.PartialNumber, r.PartialBytes = c.declarations.Position()
	if c.LendingAddress != nil {
		r.LendingAddress = c.LendingAddress()
	}
	if c.LinkPercent != nil {
		r.LinkPercent = uint32(c.LinkPercent())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.LendersDigest = c.lendersDigest
	if left := minApplyInterval - time.Since(c.appliedAt); left > 0 {
		// Ask for no declaration until the interval has passed.
		r.Number = math.MaxUint64
		r.WaitMillis = min(wait, left).Milliseconds()
	}
	return r
}

// connection returns the connection to a keeper over a path.
func (c *Client) connection(w Path) *rpc.Client { return c.Pool.GetVia(w.Relay, w.Address) }

// sendFollow sends a follow request to the keeper at the end of a path.
func (c *Client) sendFollow(ctx context.Context, w Path, r *wire.FollowRequest) (*wire.FollowReply, error) {
	return rpc.Call[wire.FollowReply](ctx, c.connection(w), "Fleet.Follow", r)
}

// follow sends one follow request to the leader; false means that the path is lost.
func (c *Client) follow(ctx context.Context, w Path) bool {
	wait := pollWait
	if c.Role == fleet.RoleRelay {
		wait = relayPollWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	reply, err := c.sendFollow(callCtx, w, c.followRequest(wait))
	if err == nil {
		c.applyReply(reply)
		c.updateFromLeader(w, reply)
		loop.Sleep(ctx, time.Duration(reply.GetPauseMillis())*time.Millisecond)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if leader := keeperclient.LeaderHint(err); leader != "" && leader != w.Address {
		c.replacePath(w, Path{w.Relay, leader})
		return true
	}
	c.Log.Info("Lost the path to the leading keeper.", "address", w.Address, "relay", w.Relay, "error", err)
	c.replacePath(w, Path{})
	return false
}

// Refresh requests what is new from the leader, without waiting for changes.
func (c *Client) Refresh(ctx context.Context) error {
	w, err := c.currentPath()
	if err != nil {
		return err
	}
	reply, err := c.sendFollow(ctx, w, c.followRequest(0))
	if err != nil {
		return err
	}
	c.applyReply(reply)
	c.updateFromLeader(w, reply)
	return nil
}

// replacePath replaces the path w by next, unless another path has been found in the meantime.
func (c *Client) replacePath(w, next Path) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.path == w {
		c.path = next
	}
}

// setPath stores a path over which the leader has answered a search.
func (c *Client) setPath(w Path, r *wire.FollowReply) {
	c.mu.Lock()
	if c.path != w {
		c.Log.Info("Found the leading keeper.", "address", w.Address, "relay", w.Relay)
	}
	c.path = w
	c.mu.Unlock()
	c.updateFromLeader(w, r)
}

// updateFromLeader stores the addresses in the leader's reply, unless the path has changed since
// the request.
func (c *Client) updateFromLeader(w Path, r *wire.FollowReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.path != w {
		return
	}
	c.lastResponseAt = time.Now()
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

// applyPacked unpacks and applies a declaration if it is new to this node.
func (c *Client) applyPacked(p *wire.PackedDeclaration) {
	if !c.isNew(p.GetNumber()) {
		return
	}
	d, err := catalog.Unpack(p)
	if err != nil {
		c.Log.Error("Failed to unpack a declaration.", "number", p.GetNumber(), "error", err)
		return
	}
	c.ApplyDeclaration(d)
}

// ApplyDeclaration puts a declaration in force unless one with the same or a higher number is in
// force.
func (c *Client) ApplyDeclaration(d *wire.Declaration) {
	v := catalog.NewView(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isNew(v.Number) {
		return // a concurrent call applied a newer one
	}
	c.view.Store(v)
	c.declared.Set(true)
	c.appliedAt = time.Now()
	c.Log.Info("Declaration in force.", "number", d.GetNumber(), "routes", len(d.GetCatalog().GetRoutes()))
}

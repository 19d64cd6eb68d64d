// Package fleetclient connects a node without a disk to the keepers of a fleet.
//
// A [Client] finds the leading keeper from a few seeds, directly or, where this
// node is cut off from the keepers, through relays; follows the declaration in
// force and the server records; and carries calls to the leader the same way.
package fleetclient

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/fleet"
	"sumachead/internal/keeperclient"
	"sumachead/internal/registry"
	"sumachead/internal/rpc"
)

const (
	// holdFor is how long the leader may hold a question when nothing is new.
	// It bounds how late a dead leader or a cut is noticed.
	holdFor = 600 * time.Millisecond
	// relayHoldFor is the same for a relay, which only learns of keepers.
	relayHoldFor = 3 * time.Second
	// answerWithin bounds an answer beyond its hold.
	answerWithin = 600 * time.Millisecond
	// searchTimeout bounds the question to all keepers at once.
	searchTimeout = 700 * time.Millisecond
	// relayDelay is the head start that direct ways have in a search: some round
	// trips between data halls.
	relayDelay = 20 * time.Millisecond
	// throughEach is how many keepers a search asks through each relay.
	throughEach = 2
	// hedgeAfter is how long a call may take before other ways are tried beside
	// it: several times what a commit takes.
	hedgeAfter = 60 * time.Millisecond
	// searchPause separates searches in which nobody led.
	searchPause = 150 * time.Millisecond
	// directAgain is how often a node that goes through a relay tries the direct
	// way.
	directAgain = 2 * time.Second
)

// Way is how the leading keeper is reached.
type Way struct {
	// Relay is empty for a direct connection.
	Relay   string
	Address string
}

// Client follows the leading keeper. Set the exported fields before Run.
type Client struct {
	Node sumachead.NodeID
	Role string
	Hall sumachead.HallID
	// RelayAddress is where this node relays connections; empty for none.
	RelayAddress string
	// Seeds returns addresses of some keepers.
	Seeds   func() []string
	Pool    *rpc.Pool
	Servers *registry.Table
	Log     hclog.Logger
	// OnLacking is told of workspaces of which another node lacks escrow; nil
	// for a node that holds none.
	OnLacking func([]sumachead.WorkspaceID)

	view    atomic.Pointer[catalog.View]
	routers atomic.Uint32
	// searching makes one of searches that are wanted at the same time.
	searching singleflight.Group

	mu sync.Mutex // guards the fields below
	// way is the last way that worked; empty when lost.
	way     Way
	keepers []string
	relays  []string
	heardAt time.Time
	// searches counts searches, so that each asks other keepers through relays.
	searches int
	// directAt is when the direct way is to be tried again.
	directAt time.Time
}

// View returns the declaration in force; nil before the first.
func (c *Client) View() *catalog.View { return c.view.Load() }

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
		select {
		case <-time.After(searchPause):
		case <-ctx.Done():
		}
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
	if v := c.View(); v != nil {
		r.Number = v.Number
	}
	return r
}

// follow asks the leader once; false means that the way is lost.
func (c *Client) follow(ctx context.Context, w Way) bool {
	hold := holdFor
	if c.Role == fleet.RoleRelay {
		hold = relayHoldFor
	}
	callCtx, cancel := context.WithTimeout(ctx, hold+answerWithin)
	defer cancel()
	reply, err := rpc.Call[wire.FollowReply](callCtx, c.Pool.GetThrough(w.Relay, w.Address), "Fleet.Follow", c.request(hold))
	if err == nil {
		c.take(reply, w)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if leader := keeperclient.Leader(err); leader != "" && leader != w.Address {
		c.setWay(Way{w.Relay, leader})
		return true
	}
	c.Log.Info("The way to the leading keeper is lost.", "address", w.Address, "relay", w.Relay, "error", err)
	c.setWay(Way{})
	return false
}

func (c *Client) setWay(w Way) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.way = w
}

// take puts an answer in force. What is known never goes back: a declaration
// with a lower number is passed over.
func (c *Client) take(r *wire.FollowReply, w Way) {
	c.Servers.Take(r, time.Now())
	c.routers.Store(r.GetRouters())
	if p := r.GetDeclaration(); p != nil {
		c.unpack(p)
	}
	if len(r.GetLacking()) > 0 && c.OnLacking != nil {
		ids := make([]sumachead.WorkspaceID, 0, len(r.GetLacking()))
		for _, id := range r.GetLacking() {
			ids = append(ids, sumachead.WorkspaceID(id))
		}
		c.OnLacking(ids)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.way != w {
		c.Log.Info("The leading keeper is found.", "address", w.Address, "relay", w.Relay)
	}
	c.way, c.heardAt = w, time.Now()
	c.keepers = c.keepers[:0]
	for _, m := range r.GetKeepers() {
		c.keepers = append(c.keepers, m.GetAddress())
	}
	if len(r.GetRelays()) > 0 {
		c.relays = r.GetRelays()
	}
}

// unpack puts a declaration in force that is new to this node.
func (c *Client) unpack(p *wire.PackedDeclaration) {
	if v := c.View(); v != nil && v.Number >= p.GetNumber() {
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
	if v := c.View(); v != nil && v.Number >= d.GetNumber() {
		return
	}
	c.view.Store(catalog.NewView(d))
	c.Log.Info("A declaration is in force.", "number", d.GetNumber(), "routes", len(d.GetCatalog().GetRoutes()))
}

// ways lists the ways that a search asks: all keepers directly, and a few through
// each relay, others for each search. A keeper that does not lead names the one
// that does, so that asking all of them through all relays would tell no more.
func (c *Client) ways() []Way {
	keepers := c.Keepers()
	var ws []Way
	for _, k := range keepers {
		ws = append(ws, Way{"", k})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range c.relays {
		for j := range min(throughEach, len(keepers)) {
			ws = append(ws, Way{r, keepers[(c.searches+i+j)%len(keepers)]})
		}
	}
	c.searches++
	return ws
}

// found is a search's first answer from a leader.
type found struct {
	reply *wire.FollowReply
	way   Way
}

// search asks keepers over all ways at once and takes the first answer of a
// leader; false means that nobody led. Searches that are wanted at the same time
// are one.
func (c *Client) search(ctx context.Context) bool {
	done := c.searching.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), searchTimeout)
		defer cancel()
		return c.searchOnce(ctx), nil
	})
	select {
	case r := <-done:
		return r.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

func (c *Client) searchOnce(ctx context.Context) bool {
	ws := c.ways()
	answers := make(chan *found, len(ws))
	request := c.request(0)
	for _, w := range ws {
		go func() { answers <- c.askOne(ctx, w, request) }()
	}
	for range ws {
		f := <-answers
		if f != nil {
			c.take(f.reply, f.way)
			return true
		}
	}
	return false
}

func (c *Client) askOne(ctx context.Context, w Way, request *wire.FollowRequest) *found {
	if w.Relay != "" {
		select {
		case <-time.After(relayDelay):
		case <-ctx.Done():
			return nil
		}
	}
	reply, err := rpc.Call[wire.FollowReply](ctx, c.Pool.GetThrough(w.Relay, w.Address), "Fleet.Follow", request)
	if leader := keeperclient.Leader(err); leader != "" && leader != w.Address {
		// The seeds need not hold the leader.
		w.Address = leader
		reply, err = rpc.Call[wire.FollowReply](ctx, c.Pool.GetThrough(w.Relay, w.Address), "Fleet.Follow", request)
	}
	if err != nil {
		return nil
	}
	return &found{reply, w}
}

// tryDirect goes back from a relay to the direct way once that works.
func (c *Client) tryDirect(ctx context.Context, w Way) {
	if w.Relay == "" {
		return
	}
	c.mu.Lock()
	due := time.Now().After(c.directAt)
	if due {
		c.directAt = time.Now().Add(directAgain)
	}
	c.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, searchTimeout)
		defer cancel()
		if f := c.askOne(ctx, Way{"", w.Address}, c.request(0)); f != nil {
			c.take(f.reply, f.way)
		}
	}()
}

// CallOnce runs a method at the leader, over the known way only.
func CallOnce[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	w, ok := c.Way()
	if !ok {
		return nil, trace.ConnectionProblem(nil, "no way to the leading keeper is known")
	}
	return rpc.Call[R](ctx, c.Pool.GetThrough(w.Relay, w.Address), method, args)
}

// Call runs a method at the leader. When the reply is late, it looks for another
// way and calls there as well, so the method must be idempotent. An error leaves
// open whether it was carried out.
func Call[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, ok := c.Way()
	if !ok {
		return nil, trace.ConnectionProblem(nil, "no way to the leading keeper is known")
	}
	replies := make(chan callResult[R], 2)
	callWay := func(w Way) {
		r, err := rpc.Call[R](ctx, c.Pool.GetThrough(w.Relay, w.Address), method, args)
		replies <- callResult[R]{r, err}
	}
	go callWay(w)
	t := time.NewTimer(hedgeAfter)
	defer t.Stop()
	select {
	case r := <-replies:
		if r.err == nil {
			return r.reply, nil
		}
		// Failed at once: another way is worth a try.
		replies <- r
	case <-t.C:
	}
	go func() {
		if other, ok := c.searchWay(ctx); ok {
			callWay(other)
			return
		}
		replies <- callResult[R]{err: trace.ConnectionProblem(nil, "no other way to the leading keeper was found")}
	}()
	first := <-replies
	if first.err == nil {
		return first.reply, nil
	}
	second := <-replies
	return second.reply, second.err
}

// callResult is how a call over one way ended.
type callResult[R any] struct {
	reply *R
	err   error
}

// searchWay looks for a way to the leader, whether or not one is known.
func (c *Client) searchWay(ctx context.Context) (Way, bool) {
	if !c.search(ctx) {
		return Way{}, false
	}
	return c.Way()
}

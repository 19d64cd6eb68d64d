package fleetclient

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/loop"
)

const (
	// searchTimeout bounds a search.
	searchTimeout = 700 * time.Millisecond
	// locateWait is how long a keeper without a leader may hold a request for the leader's
	// address; the rest of searchTimeout is left for the round trip.
	locateWait = 500 * time.Millisecond
	// relaySearchDelay is the head start of direct paths in a search: some round trips between
	// data halls.
	relaySearchDelay = 20 * time.Millisecond
	// maxSearchedKeepers is how many keepers a search asks directly: enough to find one that knows
	// the leader. If each search asked all keepers, the searches of a large fleet that has lost
	// its leader would overload them.
	maxSearchedKeepers = 6
	// searchBatchSize is how many of them are asked at a time: usually one of these runs and knows
	// the leader.
	searchBatchSize = 3
	// searchBatchInterval is the time between batches: some round trips between data halls.
	searchBatchInterval = 25 * time.Millisecond
	// keepersPerRelay is how many keepers a search asks through each relay.
	keepersPerRelay = 2
	// directRetryInterval is how often a node that connects through a relay tries the direct path.
	directRetryInterval = 2 * time.Second
)

// search asks keepers over several paths, some of them with a delay, and uses the first response
// of a leader; false means that no leader was found. Concurrent searches are merged into one.
func (c *Client) search(ctx context.Context) bool {
	done := c.searchGroup.DoChan("", func() (any, error) {
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

// searchOnce asks for the leader over all candidate paths, and stores the path of the first
// response of a leader.
func (c *Client) searchOnce(ctx context.Context) bool {
	ws := c.candidatePaths()
	replies := make(chan *leaderReply, len(ws))
	s := &leaderSearch{client: c, request: c.followRequest(0), queried: make(map[Path]bool)}
	s.request.Locate = true
	s.request.WaitMillis = locateWait.Milliseconds()
	for _, w := range ws {
		go func() { replies <- s.query(ctx, w) }()
	}
	for range ws {
		a := <-replies
		if a != nil {
			c.routers.report(a.reply.GetRouters(), time.Now())
			c.setPath(a.path, a.reply)
			return true
		}
	}
	return false
}

// leaderReply is a leader's response to a search and the path that it came over.
type leaderReply struct {
	reply *wire.FollowReply
	path  Path
}

// delayedPath is a path that a search tries after a delay.
type delayedPath struct {
	Path
	// delay counts from the start of the search.
	delay time.Duration
}

// candidatePaths returns the paths that a search tries: some keepers directly, and a few through
// each relay, which differ from search to search. A keeper that does not lead names the leader, so
// asking all keepers through all relays would add nothing. A response ends the search, so paths
// with a longer delay are rarely tried.
func (c *Client) candidatePaths() []delayedPath {
	keepers := c.Keepers()
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.searches + int(c.keeperOffset())
	var ws []delayedPath
	for i := range min(maxSearchedKeepers, len(keepers)) {
		after := time.Duration(i/searchBatchSize) * searchBatchInterval
		ws = append(ws, delayedPath{Path{"", keepers[(first+i)%len(keepers)]}, after})
	}
	for i, r := range c.relays {
		for j := range min(keepersPerRelay, len(keepers)) {
			ws = append(ws, delayedPath{Path{r, keepers[(first+i+j)%len(keepers)]}, relaySearchDelay})
		}
	}
	c.searches++
	return ws
}

// keeperOffset returns a number derived from the node ID, so that nodes start their searches at
// different keepers.
func (c *Client) keeperOffset() uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Node))
	return uint16(h.Sum32())
}

// leaderSearch is the state of one search.
type leaderSearch struct {
	client *Client
	// request only asks who leads.
	request *wire.FollowRequest

	mu sync.Mutex // guards queried
	// queried holds the paths that were tried or are about to be.
	queried map[Path]bool
}

// claim marks a path as tried, and reports whether it had not been tried in this search before.
func (s *leaderSearch) claim(w Path) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queried[w] {
		return false
	}
	s.queried[w] = true
	return true
}

// query asks a keeper, and then the leader that it names if it does not lead itself. It returns
// nil if neither responded as the leader, or if that leader has already been asked.
func (s *leaderSearch) query(ctx context.Context, d delayedPath) *leaderReply {
	if !loop.Sleep(ctx, d.delay) {
		return nil
	}
	w := d.Path
	if !s.claim(w) {
		return nil
	}
	reply, err := s.client.sendFollow(ctx, w, s.request)
	if leader := keeperclient.LeaderHint(err); leader != "" && leader != w.Address {
		// The leader need not be one of the seeds.
		w.Address = leader
		if !s.claim(w) {
			return nil
		}
		reply, err = s.client.sendFollow(ctx, w, s.request)
	}
	if err != nil {
		return nil
	}
	return &leaderReply{reply, w}
}

// searchPath searches for a path to the leader, even if one is known.
func (c *Client) searchPath(ctx context.Context) (Path, bool) {
	if !c.search(ctx) {
		return Path{}, false
	}
	return c.Path()
}

// tryDirect switches from a relayed path to the direct path once that works.
func (c *Client) tryDirect(ctx context.Context, w Path) {
	if w.Relay == "" || !c.isDirectAttemptDue(time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, searchTimeout)
		defer cancel()
		direct := Path{"", w.Address}
		if reply, err := c.sendFollow(ctx, direct, c.followRequest(0)); err == nil {
			c.applyReply(reply)
			c.setPath(direct, reply)
		}
	}()
}

// isDirectAttemptDue reports whether the direct path should be tried now, and schedules the next
// attempt.
func (c *Client) isDirectAttemptDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.After(c.nextDirectAttempt) {
		return false
	}
	c.nextDirectAttempt = now.Add(directRetryInterval)
	return true
}

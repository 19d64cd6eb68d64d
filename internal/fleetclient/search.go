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
	// searchTimeout bounds the question to all keepers at once.
	searchTimeout = 700 * time.Millisecond
	// locateHold is how long a keeper may hold the question who leads while nobody
	// does: what is left of searchTimeout is for the way there and back.
	locateHold = 500 * time.Millisecond
	// relayDelay is the head start that direct ways have in a search: some round
	// trips between data halls.
	relayDelay = 20 * time.Millisecond
	// searchMost is how many keepers a search asks directly: enough to find one that
	// knows the leader. If each search asked all keepers, those of a large fleet that
	// has lost its leader would be busy with searches.
	searchMost = 6
	// searchAtOnce is how many of them are asked at a time: one of these mostly runs
	// and knows the leader.
	searchAtOnce = 3
	// searchStage is the time between these and the next ones: some round trips
	// between data halls.
	searchStage = 25 * time.Millisecond
	// throughEach is how many keepers a search asks through each relay.
	throughEach = 2
	// directAgain is how often a node that goes through a relay tries the direct
	// way.
	directAgain = 2 * time.Second
)

// search asks keepers over several ways, some of them later than others, and takes
// the first answer of a leader; false means that nobody led. Searches that are wanted
// at the same time are one.
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

// searchOnce asks over all ways who leads, and keeps the way of the first answer of
// a leader.
func (c *Client) searchOnce(ctx context.Context) bool {
	ws := c.ways()
	answers := make(chan *answer, len(ws))
	s := &searching{client: c, request: c.request(0), asked: make(map[Way]bool)}
	s.request.Locate = true
	s.request.WaitMillis = locateHold.Milliseconds()
	for _, w := range ws {
		go func() { answers <- s.ask(ctx, w) }()
	}
	for range ws {
		a := <-answers
		if a != nil {
			c.routers.Store(a.reply.GetRouters())
			c.found(a.way, a.reply)
			return true
		}
	}
	return false
}

// answer is a leader's answer to a search, and over which way it came.
type answer struct {
	reply *wire.FollowReply
	way   Way
}

// delayedWay is a way that a search asks after some time.
type delayedWay struct {
	Way
	// after counts from the start of the search.
	after time.Duration
}

// ways lists the ways that a search asks: some keepers directly, and a few through
// each relay, others for each search. A keeper that does not lead names the one
// that does, so that asking all of them through all relays would tell no more. An
// answer ends the search, so that ways with a later time are mostly not asked.
func (c *Client) ways() []delayedWay {
	keepers := c.Keepers()
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.searches + int(c.spread())
	var ws []delayedWay
	for i := range min(searchMost, len(keepers)) {
		after := time.Duration(i/searchAtOnce) * searchStage
		ws = append(ws, delayedWay{Way{"", keepers[(first+i)%len(keepers)]}, after})
	}
	for i, r := range c.relays {
		for j := range min(throughEach, len(keepers)) {
			ws = append(ws, delayedWay{Way{r, keepers[(first+i+j)%len(keepers)]}, relayDelay})
		}
	}
	c.searches++
	return ws
}

// spread returns a number by which nodes begin their searches at different keepers.
func (c *Client) spread() uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Node))
	return uint16(h.Sum32())
}

// searching is one search.
type searching struct {
	client *Client
	// request asks only who leads.
	request *wire.FollowRequest

	mu sync.Mutex // guards asked
	// asked are the ways that were asked or are about to be.
	asked map[Way]bool
}

// claim reports whether a way has not been asked in this search, and notes that it
// is asked now.
func (s *searching) claim(w Way) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked[w] {
		return false
	}
	s.asked[w] = true
	return true
}

// ask asks a keeper, and the one that it names if it does not lead; nil when
// neither answered as the leader, or that one has been asked already.
func (s *searching) ask(ctx context.Context, d delayedWay) *answer {
	if !loop.Sleep(ctx, d.after) {
		return nil
	}
	w := d.Way
	if !s.claim(w) {
		return nil
	}
	reply, err := s.client.ask(ctx, w, s.request)
	if leader := keeperclient.Leader(err); leader != "" && leader != w.Address {
		// The seeds need not hold the leader.
		w.Address = leader
		if !s.claim(w) {
			return nil
		}
		reply, err = s.client.ask(ctx, w, s.request)
	}
	if err != nil {
		return nil
	}
	return &answer{reply, w}
}

// searchWay looks for a way to the leader, whether or not one is known.
func (c *Client) searchWay(ctx context.Context) (Way, bool) {
	if !c.search(ctx) {
		return Way{}, false
	}
	return c.Way()
}

// tryDirect goes back from a relay to the direct way once that works.
func (c *Client) tryDirect(ctx context.Context, w Way) {
	if w.Relay == "" || !c.directDue(time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, searchTimeout)
		defer cancel()
		direct := Way{"", w.Address}
		if reply, err := c.ask(ctx, direct, c.request(0)); err == nil {
			c.take(reply)
			c.found(direct, reply)
		}
	}()
}

// directDue reports whether the direct way is to be tried now, and sets when it
// is the next time.
func (c *Client) directDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.After(c.directAt) {
		return false
	}
	c.directAt = now.Add(directAgain)
	return true
}

package fleetclient

import (
	"context"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
)

const (
	// searchTimeout bounds the question to all keepers at once.
	searchTimeout = 700 * time.Millisecond
	// relayDelay is the head start that direct ways have in a search: some round
	// trips between data halls.
	relayDelay = 20 * time.Millisecond
	// throughEach is how many keepers a search asks through each relay.
	throughEach = 2
	// directAgain is how often a node that goes through a relay tries the direct
	// way.
	directAgain = 2 * time.Second
)

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

// searchOnce asks over all ways and puts the first answer of a leader in force.
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

// found is a search's first answer from a leader.
type found struct {
	reply *wire.FollowReply
	way   Way
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

// askOne asks a keeper, and the one that it names if it does not lead; nil when
// neither answered as the leader.
func (c *Client) askOne(ctx context.Context, w Way, request *wire.FollowRequest) *found {
	if w.Relay != "" {
		select {
		case <-time.After(relayDelay):
		case <-ctx.Done():
			return nil
		}
	}
	reply, err := c.ask(ctx, w, request)
	if leader := keeperclient.Leader(err); leader != "" && leader != w.Address {
		// The seeds need not hold the leader.
		w.Address = leader
		reply, err = c.ask(ctx, w, request)
	}
	if err != nil {
		return nil
	}
	return &found{reply, w}
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
		if f := c.askOne(ctx, Way{"", w.Address}, c.request(0)); f != nil {
			c.take(f.reply, f.way)
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

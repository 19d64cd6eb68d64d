package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// homesAsked is how many homes of a prompt are candidates: the first, at which its
	// shared parts are most likely, and the next ones, to which a prompt that would wait
	// there goes, so that its parts are at few servers also where many ask for them.
	homesAsked = 2
	// drawnAsked is how many servers of the own data hall are drawn beside them: of two
	// that are drawn the better one is seldom busy (M. Mitzenmacher, "The Power of Two
	// Choices in Randomized Load Balancing", 2001).
	drawnAsked = 2
	// drawsMost bounds the draws until some server fits.
	drawsMost = 12
	// surveyMost is up to how many servers all are weighed by what is believed of them,
	// and the best asked: routers know much of each there, and the work is some ten
	// microseconds.
	surveyMost = 24
)

// ring is a list of servers, prepared for choosing among them. Lists of records are never
// changed, so that one is known by its first entry.
type ring struct {
	records []*wire.ServerRecord
	servers []ringEntry
	// near are the numbers of those of the own data hall.
	near []int
}

// ringEntry is a server of a ring.
type ringEntry struct {
	id   sumachead.ServerID
	draw uint64
}

// of reports whether the ring is of a list.
func (r *ring) of(records []*wire.ServerRecord) bool {
	return len(r.records) == len(records) && (len(records) == 0 || &r.records[0] == &records[0])
}

// prepare makes the ring of a list. The caller holds mu.
func (c *Chooser) prepare(records []*wire.ServerRecord) *ring {
	if c.ring.of(records) {
		return &c.ring
	}
	c.ring = ring{records: records}
	for i, r := range records {
		id := sumachead.ServerID(r.GetId())
		c.ring.servers = append(c.ring.servers, ringEntry{id, drawOf(id)})
		if r.GetHall() == string(c.hall) {
			c.ring.near = append(c.ring.near, i)
		}
	}
	return &c.ring
}

// Candidates picks the few servers worth asking for a request: homes of its parts, and some
// of the own data hall that are drawn. The work does not grow with the number of servers
// but for a look at each in search of the homes.
func (c *Chooser) Candidates(records []*wire.ServerRecord, tried []sumachead.ServerID, w *Work, now time.Time) []*wire.ServerRecord {
	if len(records) <= homesAsked+drawnAsked || w.Engine == nil {
		return records
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pick{ring: c.prepare(records)}
	p.fit = func(i int) bool { return c.fit(p.ring, i, tried, now) }
	if w.shares() {
		p.homes(homeKey(partsOf(w)), homesAsked)
	}
	if len(p.picked) > 0 {
		w.home = records[p.picked[0]]
	}
	if len(records) <= surveyMost {
		return withHome(c.survey(records, tried, w, now), w.home)
	}
	p.draw(p.near, homesAsked+drawnAsked-len(p.picked))
	p.drawAny(homesAsked + drawnAsked)
	if len(p.picked) == 0 {
		// None is known to be well: the choice is among all that are not passed over.
		return slices.DeleteFunc(slices.Clone(records), func(r *wire.ServerRecord) bool {
			return c.passedOver(sumachead.ServerID(r.GetId()), tried)
		})
	}
	out := make([]*wire.ServerRecord, 0, len(p.picked))
	for _, i := range p.picked {
		out = append(out, records[i])
	}
	return out
}

// withHome puts a prompt's home in the place of the last candidate if it is none of them:
// its gauge knows where else the prompt's parts are.
func withHome(few []*wire.ServerRecord, home *wire.ServerRecord) []*wire.ServerRecord {
	if home != nil && !slices.Contains(few, home) {
		few[len(few)-1] = home
	}
	return few
}

// survey picks the servers with the least believed loss. The caller holds mu.
func (c *Chooser) survey(records []*wire.ServerRecord, tried []sumachead.ServerID, w *Work, now time.Time) []*wire.ServerRecord {
	type ranked struct {
		record *wire.ServerRecord
		rank   rank
	}
	o := c.offer(records, w, now)
	all := make([]ranked, 0, len(records))
	for _, r := range records {
		id := sumachead.ServerID(r.GetId())
		if c.passedOver(id, tried) {
			continue
		}
		s := c.server(id)
		all = append(all, ranked{r, c.rank(r, s, w, &o, c.estimate(s, w, &o, now), now)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank.less(b.rank) {
			return -1
		}
		return 1
	})
	out := make([]*wire.ServerRecord, 0, homesAsked+drawnAsked)
	for _, x := range all[:min(len(all), homesAsked+drawnAsked)] {
		out = append(out, x.record)
	}
	return out
}

// fit reports whether a server may be picked: it is ready, is not passed over, and has not
// just failed. The caller holds mu.
func (c *Chooser) fit(r *ring, i int, tried []sumachead.ServerID, now time.Time) bool {
	id := r.servers[i].id
	if r.records[i].GetState() != wire.ServerState_SERVER_STATE_READY || c.passedOver(id, tried) {
		return false
	}
	s := c.servers[id]
	return s == nil || !now.Before(s.suspectTo)
}

// pick is a choice of a few servers of a ring.
type pick struct {
	*ring
	fit    func(i int) bool
	picked []int
}

// homes picks the first homes of a prompt, by rendezvous hashing.
func (p *pick) homes(k partKey, n int) {
	for range n {
		best, least := -1, uint64(0)
		for i, s := range p.servers {
			a := mix(uint64(k) ^ s.draw)
			if (best < 0 || a < least) && !slices.Contains(p.picked, i) && p.fit(i) {
				best, least = i, a
			}
		}
		if best < 0 {
			return
		}
		p.picked = append(p.picked, best)
	}
}

// draw picks some of those listed.
func (p *pick) draw(from []int, n int) {
	for range drawsMost {
		if n == 0 || len(from) == 0 {
			return
		}
		if i := from[rand.IntN(len(from))]; !slices.Contains(p.picked, i) && p.fit(i) {
			p.picked = append(p.picked, i)
			n--
		}
	}
}

// drawAny picks others until so many are picked.
func (p *pick) drawAny(most int) {
	for range drawsMost {
		if len(p.picked) >= most {
			return
		}
		if i := rand.IntN(len(p.records)); !slices.Contains(p.picked, i) && p.fit(i) {
			p.picked = append(p.picked, i)
		}
	}
}

package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// preferredCandidates is how many servers, in rendezvous hashing order, are candidates for a
	// prompt with shared parts. The first most likely has the parts cached; the second takes
	// prompts that would wait at the first, which keeps the parts on few servers even if many
	// requests need them.
	preferredCandidates = 2
	// sampledCandidates is how many servers of the own data hall are sampled in addition: the
	// better of two random servers is seldom busy (M. Mitzenmacher, "The Power of Two Choices in
	// Randomized Load Balancing", 2001).
	sampledCandidates = 2
	// maxSamples bounds the attempts to sample an eligible server.
	maxSamples = 12
	// maxFullRanking is the maximum number of servers up to which all are ranked by their
	// estimated cost and the best are queried: with so few servers routers know each one's state
	// well, and the work takes some ten microseconds.
	maxFullRanking = 24
)

// serverIndex is a list of servers with precomputed hashes and halls. Lists of records are
// immutable, so the address of the first entry identifies one.
type serverIndex struct {
	records []*wire.ServerRecord
	servers []indexEntry
	// local holds the indexes of the servers in the own data hall.
	local []int
}

// indexEntry is one server of the index.
type indexEntry struct {
	id   sumachead.ServerID
	hash uint64
}

// covers reports whether the index was built from these records.
func (r *serverIndex) covers(records []*wire.ServerRecord) bool {
	return len(r.records) == len(records) && (len(records) == 0 || &r.records[0] == &records[0])
}

// indexFor returns the index of a list and rebuilds it if the list has changed. The caller holds
// mu.
func (c *Scheduler) indexFor(records []*wire.ServerRecord) *serverIndex {
	if c.index.covers(records) {
		return &c.index
	}
	c.index = serverIndex{records: records}
	for i, r := range records {
		id := sumachead.ServerID(r.GetId())
		c.index.servers = append(c.index.servers, indexEntry{id, hashOf(id)})
		if r.GetHall() == string(c.hall) {
			c.index.local = append(c.index.local, i)
		}
	}
	return &c.index
}

// Candidates returns the few servers whose load trackers should be queried for a request: the
// preferred servers of its shared parts, and some sampled from the own data hall. Only the
// search for preferred servers visits every server.
func (c *Scheduler) Candidates(records []*wire.ServerRecord, tried []sumachead.ServerID, w *Request, now time.Time) []*wire.ServerRecord {
	if len(records) <= preferredCandidates+sampledCandidates || w.Engine == nil {
		return records
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &selection{serverIndex: c.indexFor(records)}
	p.eligible = func(i int) bool { return c.eligible(p.serverIndex, i, tried, now) }
	if w.hasSharedParts() {
		p.addPreferred(affinityKey(partsOf(w)), preferredCandidates)
	}
	if len(p.picked) > 0 {
		w.preferred = records[p.picked[0]]
	}
	if len(records) <= maxFullRanking {
		return withPreferred(c.bestRanked(records, tried, w, now), w.preferred)
	}
	p.sampleFrom(p.local, preferredCandidates+sampledCandidates-len(p.picked))
	p.sampleAny(preferredCandidates + sampledCandidates)
	if len(p.picked) == 0 {
		// No server is ready and healthy: consider all that are not excluded.
		return slices.DeleteFunc(slices.Clone(records), func(r *wire.ServerRecord) bool {
			return c.excluded(sumachead.ServerID(r.GetId()), tried)
		})
	}
	out := make([]*wire.ServerRecord, 0, len(p.picked))
	for _, i := range p.picked {
		out = append(out, records[i])
	}
	return out
}

// withPreferred replaces the last candidate by the preferred server unless that is already a
// candidate: its load tracker knows which other servers have the prompt's parts cached.
func withPreferred(candidates []*wire.ServerRecord, preferred *wire.ServerRecord) []*wire.ServerRecord {
	if preferred != nil && !slices.Contains(candidates, preferred) {
		candidates[len(candidates)-1] = preferred
	}
	return candidates
}

// bestRanked returns the servers with the lowest estimated cost. The caller holds mu.
func (c *Scheduler) bestRanked(records []*wire.ServerRecord, tried []sumachead.ServerID, w *Request, now time.Time) []*wire.ServerRecord {
	type ranked struct {
		record *wire.ServerRecord
		rank   rank
	}
	o := c.locateParts(records, w, now)
	all := make([]ranked, 0, len(records))
	for _, r := range records {
		id := sumachead.ServerID(r.GetId())
		if c.excluded(id, tried) {
			continue
		}
		s := c.server(id)
		all = append(all, ranked{r, c.rank(r, s, w, &o, c.estimate(r, s, w, &o, now), now)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank.less(b.rank) {
			return -1
		}
		return 1
	})
	out := make([]*wire.ServerRecord, 0, preferredCandidates+sampledCandidates)
	for _, x := range all[:min(len(all), preferredCandidates+sampledCandidates)] {
		out = append(out, x.record)
	}
	return out
}

// eligible reports whether a server is a candidate: it is ready, not excluded, and not ejected
// after a failure. The caller holds mu.
func (c *Scheduler) eligible(r *serverIndex, i int, tried []sumachead.ServerID, now time.Time) bool {
	id := r.servers[i].id
	if r.records[i].GetState() != wire.ServerState_SERVER_STATE_READY || c.excluded(id, tried) {
		return false
	}
	s := c.servers[id]
	return s == nil || !now.Before(s.ejectedUntil)
}

// selection collects the indexes of a few eligible servers.
type selection struct {
	*serverIndex
	eligible func(i int) bool
	picked   []int
}

// addPreferred adds the first n eligible servers for a prompt in rendezvous hashing order.
func (p *selection) addPreferred(k partKey, n int) {
	for range n {
		best, lowest := -1, uint64(0)
		for i, s := range p.servers {
			a := mixBits(uint64(k) ^ s.hash)
			if (best < 0 || a < lowest) && !slices.Contains(p.picked, i) && p.eligible(i) {
				best, lowest = i, a
			}
		}
		if best < 0 {
			return
		}
		p.picked = append(p.picked, best)
	}
}

// sampleFrom adds up to n random servers of a list.
func (p *selection) sampleFrom(from []int, n int) {
	for range maxSamples {
		if n == 0 || len(from) == 0 {
			return
		}
		if i := from[rand.IntN(len(from))]; !slices.Contains(p.picked, i) && p.eligible(i) {
			p.picked = append(p.picked, i)
			n--
		}
	}
}

// sampleAny adds random servers until enough are picked.
func (p *selection) sampleAny(n int) {
	for range maxSamples {
		if len(p.picked) >= n {
			return
		}
		if i := rand.IntN(len(p.records)); !slices.Contains(p.picked, i) && p.eligible(i) {
			p.picked = append(p.picked, i)
		}
	}
}

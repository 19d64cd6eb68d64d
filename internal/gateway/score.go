package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// hallPenalty is what sending a prompt to another data hall weighs: its bytes
	// cost far less than reading its parts again, so that it decides only between
	// servers that are alike.
	hallPenalty = 5 * time.Millisecond
	// latePart is the part of the objective, in percent, up to which an expected
	// first event does not drive a prompt from its home: the estimate is rough, and
	// leaving means that shared parts are read again.
	latePart = 150
	// latePenalty is what an expected late first event weighs, in objectives:
	// more than reading any prompt again.
	latePenalty = 4
	// waitShare is the part, one in so many, of the time to the first event that
	// counts while it is in time.
	waitShare = 4
	// runSlows is how much each request that runs beside slows a first event.
	runSlows = time.Millisecond
	// fullPart is the part, in percent, of a plain service's slots that one
	// router fills before it goes to another data hall.
	fullPart = 50
)

// score orders servers; the least is chosen.
type score struct {
	// doubt is 0 for a server that is trusted, 1 for one that has failed here
	// lately, and 2 for one whose heartbeats are missing.
	doubt int
	// cost is in time for engines, and in percent of the slots for servers of a
	// plain service; only servers of one service are compared.
	cost time.Duration
	// rank decides between equal costs, alike at all routers.
	rank uint64
}

// less orders by doubt, then cost, then rank.
func (a score) less(b score) bool {
	if a.doubt != b.doubt {
		return a.doubt < b.doubt
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.rank < b.rank
}

// score weighs one server for a request. The caller holds mu.
func (p *placer) score(s *wire.ServerRecord, st *serverState, x *exchange, homeID string, now time.Time) score {
	c := score{rank: affinity(x.request.Parts, s.GetId())}
	if now.Before(st.suspectTo) {
		c.doubt = 1
	}
	if s.GetState() == wire.ServerState_SERVER_STATE_SILENT {
		c.doubt = 2
	}
	away := s.GetHall() != string(p.hall)
	if x.service.GetEngine() == nil {
		c.cost = plainCost(s, st, away)
		return c
	}
	c.cost = p.engineCost(st, x, s.GetId() == homeID, now)
	if away {
		c.cost += hallPenalty
	}
	return c
}

// plainCost weighs a server of a plain service by its load in percent of its
// slots: the own data hall first while it is not too full.
func plainCost(s *wire.ServerRecord, st *serverState, away bool) time.Duration {
	slots := max(int(s.GetSlots()), 1)
	load := st.running * 100 / slots
	if away {
		load += fullPart
	}
	return time.Duration(load)
}

// engineCost weighs an engine by when the first event is to be expected and by
// what would have to be read again. The caller holds mu.
func (p *placer) engineCost(st *serverState, x *exchange, home bool, now time.Time) time.Duration {
	shared := sharedParts(x.request.Parts)
	again := total(shared) - st.cached(shared)
	if home {
		again = 0 // other routers have brought them
	}
	unread := again + x.request.PromptTokens - total(shared)
	queued, running := st.prefill, st.running
	if now.Sub(p.othersAt) < othersFor {
		queued += st.otherPrefill
		running += st.otherRunning
	}
	wait := p.readTime(queued+unread) + time.Duration(running)*runSlows
	cost := wait/waitShare + p.readTime(again)
	objective := x.objective()
	if objective > 0 && wait > objective*latePart/100 {
		cost += latePenalty*objective + wait
	}
	return cost
}

// readTime returns how long a server takes to read tokens of prompts. The caller
// holds mu.
func (p *placer) readTime(n sumachead.Tokens) time.Duration {
	return time.Duration(float64(n) / p.speed * float64(time.Millisecond))
}

// home returns the server that all routers send a prompt to first, so that its
// shared parts are read once; empty for a prompt without parts.
func home(servers []*wire.ServerRecord, parts []sumachead.PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	best := ""
	var rank uint64
	for _, s := range servers {
		if s.GetState() != wire.ServerState_SERVER_STATE_READY {
			continue
		}
		if r := affinity(parts, s.GetId()); best == "" || r < rank {
			best, rank = s.GetId(), r
		}
	}
	return best
}

// affinity ranks a server for a prompt: all routers rank alike, so that requests
// with the same shared parts meet. The last part is the request's own.
func affinity(parts []sumachead.PromptPart, server string) uint64 {
	key := ""
	if len(parts) > 0 {
		key = parts[max(len(parts)-2, 0)].ID
	}
	return xxhash.Sum64String(key + "\x00" + server)
}

// sharedParts are a prompt's parts without the last, which is the request's own.
func sharedParts(parts []sumachead.PromptPart) []sumachead.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// total adds up the sizes of parts.
func total(parts []sumachead.PromptPart) sumachead.Tokens {
	var sum sumachead.Tokens
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

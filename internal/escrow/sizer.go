package escrow

import (
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// NoWish stands in an answer that does not ask for anything back.
const NoWish = -1

const (
	// liveFor is how long a holder that has not reported counts as alive: some
	// reports.
	liveFor = 4 * time.Second
	// outPart is the part of what is left, one in so many, that may be with
	// holders while nobody lacks any: what is lost when all of them crash.
	outPart = 8
	// leastHold and mostHold bound for how long, at the rate it reports, a holder
	// should be able to go on without the ledger. The least covers some reports
	// and the election of a leader; the most, cuts that heal by themselves.
	leastHold = 1500 * time.Millisecond
	mostHold  = 10 * time.Second
	// floorPart is the part of what is left, one in so many, that each holder gets
	// without any demand of its own, so that a first request need not wait.
	floorPart = 100
	// slack is how far, in percent of its target, a holder may be above it
	// before it is asked to give back.
	slack = 150
)

// demand is what a live holder last said of one workspace.
type demand struct {
	rate     sumachead.Tokens
	reserved sumachead.Tokens
}

// wantFor is for how long other holders are asked to give back for one that
// lacks something: a few reports.
const wantFor = 2 * time.Second

// gatherBelow is how many times what is lacked may be left for all holders to be
// asked for all that they do not use: what is left is then in pieces that are too
// small for anybody.
const gatherBelow = 8

// want is what a holder lacked that could not be granted.
type want struct {
	by     Holder
	amount sumachead.Tokens
	at     time.Time
}

// Sizer decides what each holder should have at hand, by what is left and by
// demand. It is soft state of the ledger's leader, and safe for concurrent use.
type Sizer struct {
	mu      sync.Mutex // guards the fields below
	holders map[Holder]*holderDemand
	wants   map[sumachead.WorkspaceID]want
	// lacking is closed when a workspace is lacking that was not before.
	lacking chan struct{}
}

type holderDemand struct {
	seen       time.Time
	workspaces map[sumachead.WorkspaceID]demand
}

// Note takes in what a holder reports.
func (s *Sizer) Note(r *wire.EscrowReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil {
		s.holders = make(map[Holder]*holderDemand)
		s.wants = make(map[sumachead.WorkspaceID]want)
	}
	h := Holder{sumachead.NodeID(r.GetNode()), sumachead.BootID(r.GetBoot())}
	for other, d := range s.holders {
		if now.Sub(d.seen) > liveFor || (other.Node == h.Node && other != h) {
			delete(s.holders, other)
		}
	}
	d := s.holders[h]
	if d == nil {
		d = &holderDemand{workspaces: make(map[sumachead.WorkspaceID]demand)}
		s.holders[h] = d
	}
	d.seen = now
	for _, p := range r.GetPositions() {
		d.workspaces[sumachead.WorkspaceID(p.GetWorkspace())] = demand{
			rate: sumachead.Tokens(p.GetRate()), reserved: sumachead.Tokens(p.GetReserved()),
		}
	}
}

// live reports whether a holder has reported lately. The caller holds mu.
func (s *Sizer) live(h Holder) bool { return s.holders[h] != nil }

// Size returns what to grant on each position of a report, and the answers'
// wishes, by the book as it stands.
func (s *Sizer) Size(b *Book, r *wire.EscrowReport, now time.Time) (grants []int64, advice []*wire.EscrowAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Holder{sumachead.NodeID(r.GetNode()), sumachead.BootID(r.GetBoot())}
	for _, p := range r.GetPositions() {
		grant, a := s.sizeOne(b, h, p, now)
		grants = append(grants, int64(grant))
		advice = append(advice, a)
	}
	return grants, advice
}

// sizeOne decides on one position.
func (s *Sizer) sizeOne(b *Book, h Holder, p *wire.EscrowPosition, now time.Time) (sumachead.Tokens, *wire.EscrowAnswer) {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	a := &wire.EscrowAnswer{Workspace: p.GetWorkspace(), Keep: NoWish}
	x := b.Holdings(w)[h]
	x.Spent = max(x.Spent, sumachead.Tokens(p.GetSpent()))
	x.Returned = max(x.Returned, sumachead.Tokens(p.GetReturned()))
	held := x.Out() - x.Spent
	target := s.target(b, w, h)
	free := b.Free(w)
	var grant sumachead.Tokens
	const lowPart = 70 // percent of the target below which it is filled up
	if held*100 < target*lowPart {
		grant = min(target-held, free)
	}
	if need := sumachead.Tokens(p.GetNeeded()); need > 0 {
		grant = max(grant, min(need, free))
		a.Exhausted = free < need && s.remaining(b, w) < need
		s.noteWant(w, want{by: h, amount: need, at: now}, free)
	}
	keep := s.keep(b, w, h, target, sumachead.Tokens(p.GetReserved()), now)
	if keep >= 0 && held > keep && grant <= 0 {
		a.Keep = int64(keep)
	}
	return max(grant, 0), a
}

// noteWant remembers what a holder lacks, until it can be granted.
func (s *Sizer) noteWant(w sumachead.WorkspaceID, n want, free sumachead.Tokens) {
	if free >= n.amount {
		delete(s.wants, w)
		return
	}
	old, ok := s.wants[w]
	s.wants[w] = n
	if s.lacking != nil && (!ok || n.at.Sub(old.at) > wantFor) {
		close(s.lacking)
		s.lacking = nil
	}
}

// Lacking lists the workspaces of which some holder lacks escrow, and returns a
// channel that is closed when there is another.
func (s *Sizer) Lacking(now time.Time) (ws []string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, n := range s.wants {
		if now.Sub(n.at) > wantFor {
			delete(s.wants, w)
			continue
		}
		ws = append(ws, string(w))
	}
	slices.Sort(ws)
	if s.lacking == nil {
		s.lacking = make(chan struct{})
	}
	return ws, s.lacking
}

// keep returns down to how much a holder should give back; NoWish for not at all.
func (s *Sizer) keep(b *Book, w sumachead.WorkspaceID, h Holder, target, reserved sumachead.Tokens, now time.Time) sumachead.Tokens {
	n, ok := s.wants[w]
	switch {
	case !ok || now.Sub(n.at) > wantFor || n.by == h:
		if b.Free(w) >= target {
			return NoWish
		}
		return max(target*slack/100, reserved)
	case s.remaining(b, w) < gatherBelow*n.amount:
		return reserved
	}
	return max(target, reserved)
}

// target returns what a holder should have at hand, requests under way included.
func (s *Sizer) target(b *Book, w sumachead.WorkspaceID, h Holder) sumachead.Tokens {
	left := b.Free(w)
	for other, x := range b.Holdings(w) {
		if s.live(other) {
			left += x.Out() - x.Spent
		}
	}
	left = max(left, 0)
	floor := left / floorPart
	var rates sumachead.Tokens
	for _, d := range s.holders {
		rates += d.workspaces[w].rate
	}
	mine := s.holders[h].workspaces[w]
	if rates == 0 || mine.rate == 0 {
		return floor + mine.reserved
	}
	most := left * mine.rate / rates
	byPart := most / outPart
	least := mine.rate * sumachead.Tokens(leastHold/time.Millisecond) / 1000
	wish := min(max(byPart, least), mine.rate*sumachead.Tokens(mostHold/time.Second))
	return min(max(wish, floor)+mine.reserved, most)
}

// remaining returns the most that may still become available: the total without
// what was spent, what is under way, and what holders out of contact have.
func (s *Sizer) remaining(b *Book, w sumachead.WorkspaceID) sumachead.Tokens {
	total, _ := b.Total(w)
	return total - b.Spent(w, s.live)
}

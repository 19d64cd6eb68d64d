package escrow

import (
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
	// outPart is the part of what is free of a budget, one in so many, that all
	// holders together should have at hand beyond what requests under way need,
	// where it lasts for a short time only: it is lost when they crash. A report
	// takes some milliseconds, so that little is enough while the ledger is reached.
	// docs/DESIGN.md has the parts that were weighed.
	outPart = 32
	// ampleLasts is how long, at the rate that all holders report, a budget would
	// have to last for all of what is free to be out. The part that is out is the
	// time for which a budget lasts, over ampleLasts, and at least one part in
	// outPart and at most one in amplePart: what a crash loses of a budget that
	// lasts matters less, and a cut would cost it more. From the admission experiment
	// (TestRoutersAdmission): a budget that lasts three minutes bridges cuts of eight
	// seconds.
	ampleLasts = 2000 * time.Second
	amplePart  = 4
	// longestHold bounds for how long, at the rate it reports, a holder should be
	// able to go on without the ledger: the cuts that the users tell of.
	longestHold = 30 * time.Second
	// lowPart is the part of what it should have at hand, in percent, below which
	// a holder is filled up.
	lowPart = 70
	// slack is how much, in percent of what it should have at hand, a holder may
	// have before it is asked to give back what is above that: a holder whose demand
	// falls away then reports a few times, not with each commit.
	slack = 200
)

const (
	// againLeast is after what time a holder asks again for what it lacks: a few reports of
	// others, which have to give back first. againEach is added for each holder that lacks
	// something, so that the ledger is asked as often whatever their number.
	againLeast = 40 * time.Millisecond
	againEach  = 5 * time.Millisecond
)

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
	// rates are the sums of all holders' rates.
	rates map[sumachead.WorkspaceID]sumachead.Tokens
	// wants are what holders lack, one holder for each workspace.
	wants map[sumachead.WorkspaceID]want
	// lackers are the holders that lacked something, by when they last said so.
	lackers map[Holder]time.Time
	// asked is what nodes have been asked to give back.
	asked map[sumachead.NodeID]*asked
}

// holderDemand is what one holder has told of its demand.
type holderDemand struct {
	// seen is when it last reported.
	seen time.Time
	// rates is what the holder last said, in tokens a second.
	rates map[sumachead.WorkspaceID]sumachead.Tokens
}

// Note takes in what a holder reports.
func (s *Sizer) Note(r *wire.EscrowReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil {
		s.holders = make(map[Holder]*holderDemand)
		s.wants = make(map[sumachead.WorkspaceID]want)
		s.rates = make(map[sumachead.WorkspaceID]sumachead.Tokens)
		s.lackers = make(map[Holder]time.Time)
	}
	h := holderOf(r)
	for other, d := range s.holders {
		if now.Sub(d.seen) > liveFor || (other.Node == h.Node && other != h) {
			s.forget(other)
		}
	}
	d := s.holders[h]
	if d == nil {
		d = &holderDemand{rates: make(map[sumachead.WorkspaceID]sumachead.Tokens)}
		s.holders[h] = d
	}
	d.seen = now
	for _, p := range r.GetPositions() {
		w, rate := sumachead.WorkspaceID(p.GetWorkspace()), sumachead.Tokens(p.GetRate())
		s.rates[w] += rate - d.rates[w]
		d.rates[w] = rate
	}
}

// forget takes a holder's demand off the sums. The caller holds mu.
func (s *Sizer) forget(h Holder) {
	for w, rate := range s.holders[h].rates {
		s.rates[w] -= rate
	}
	delete(s.holders, h)
}

// live reports whether a holder has reported lately. The caller holds mu.
func (s *Sizer) live(h Holder) bool { return s.holders[h] != nil }

// Size returns what to grant on each position of a report, and the answers'
// wishes, by the book as it stands.
func (s *Sizer) Size(b *Book, r *wire.EscrowReport, now time.Time) (grants []int64, advice []*wire.EscrowAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := holderOf(r)
	for _, p := range r.GetPositions() {
		grant, a := s.sizeOne(b, h, p, now)
		grants = append(grants, int64(grant))
		advice = append(advice, a)
	}
	return grants, advice
}

// sizeOne decides on one position. The caller holds mu.
func (s *Sizer) sizeOne(b *Book, h Holder, p *wire.EscrowPosition, now time.Time) (sumachead.Tokens, *wire.EscrowAnswer) {
	w := sumachead.WorkspaceID(p.GetWorkspace())
	a := &wire.EscrowAnswer{Workspace: p.GetWorkspace(), Keep: NoWish}
	x := b.Holdings(w)[h].reported(p)
	atHand := x.Out() - x.Spent - sumachead.Tokens(p.GetReserved())
	hold := s.hold(b, w, h)
	free := b.Free(w)
	var grant sumachead.Tokens
	if atHand*100 < hold*lowPart {
		grant = min(hold-atHand, free)
	}
	if need := sumachead.Tokens(p.GetNeeded()); need > 0 {
		grant = max(grant, min(max(need, sumachead.Tokens(p.GetWanted())), free))
		a.Exhausted = free < need && s.remaining(b, w) < need+max(atHand, 0)
		s.noteWant(b, w, want{by: h, amount: need, at: now}, free)
		if grant < need {
			s.lackers[h] = now
		}
	}
	if keep, above := s.keep(b, w, h, hold, now); keep >= 0 && atHand > above && grant <= 0 {
		a.Keep = int64(keep)
	}
	return max(grant, 0), a
}

// noteWant remembers what a holder lacks, until it can be granted. The caller
// holds mu.
func (s *Sizer) noteWant(b *Book, w sumachead.WorkspaceID, n want, free sumachead.Tokens) {
	if free >= n.amount {
		delete(s.wants, w)
		return
	}
	old, ok := s.wants[w]
	if ok && old.by != n.by && n.at.Sub(old.at) <= wantFor {
		return // who came first is served first: two that lack must not keep each other short
	}
	s.wants[w] = n
	s.askOthers(b, w, n.by, n.at)
}

// Again returns after what time a holder that lacks something should ask again: the more there
// are that do, the later. How many there are that lack nothing does not matter.
func (s *Sizer) Again(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, at := range s.lackers {
		if now.Sub(at) > wantFor {
			delete(s.lackers, h)
		}
	}
	return againLeast + againEach*time.Duration(len(s.lackers))
}

// Unmet reports whether a position lacks more than was granted in its answer.
func Unmet(p *wire.EscrowPosition, a *wire.EscrowAnswer) bool {
	return p.GetNeeded() > a.GetGranted()-p.GetGranted()
}

// keep returns what a holder should keep at hand when it has more than above, and
// give back the rest; NoWish when it need not give back anything. The caller holds mu.
func (s *Sizer) keep(b *Book, w sumachead.WorkspaceID, h Holder, hold sumachead.Tokens, now time.Time) (keep, above sumachead.Tokens) {
	n, ok := s.wants[w]
	switch {
	case ok && n.by == h && now.Sub(n.at) <= wantFor:
		return NoWish, 0
	case !ok || now.Sub(n.at) > wantFor:
		return hold, hold * slack / 100
	case s.remaining(b, w) < gatherBelow*n.amount:
		return 0, 0
	}
	return hold, hold
}

// hold returns what a holder should have at hand beyond what its requests under
// way need. The caller holds mu.
func (s *Sizer) hold(b *Book, w sumachead.WorkspaceID, h Holder) sumachead.Tokens {
	d := s.holders[h]
	if d == nil || d.rates[w] == 0 {
		return 0
	}
	rate, rates := d.rates[w], s.rates[w]
	free := max(b.Free(w), 0)
	byTime := rate * sumachead.Tokens(longestHold/time.Second)
	return min(byTime, out(free, rates)*rate/rates)
}

// out returns how much of what is free of a budget all holders together should have
// at hand. The rates are the sum of their demand in tokens a second, above 0.
func out(free, rates sumachead.Tokens) sumachead.Tokens {
	full := sumachead.Tokens(ampleLasts / time.Second)
	lasts := min(free/rates, full)
	ample := free / full * lasts
	return max(free/outPart, min(ample, free/amplePart))
}

// remaining returns the most that may still become available: the total without
// what holders in contact have reported as spent, what closed lives count as
// spent, and all that holders out of contact have. The caller holds mu.
func (s *Sizer) remaining(b *Book, w sumachead.WorkspaceID) sumachead.Tokens {
	total, _ := b.Total(w)
	return total - b.Spent(w, s.live)
}

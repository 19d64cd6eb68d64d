package agent

import (
	"slices"
	"time"
)

// retained is an ended run as the sweep sees it.
type retained struct {
	run      *run
	endedAt  time.Time
	deadline time.Time
	bytes    int64
}

// runOverhead is what a record costs beside its answer.
const runOverhead = 512

// sweep drops the answers of ended runs that are old, and the oldest where
// they take too much memory. An answer whose outcome the ledger may lack is
// kept. The record itself stays until the request's deadline has passed: until
// then a late copy of the request could still arrive and must not run again.
func (t *runTable) sweep(now time.Time) {
	var ended []retained
	total := int64(0)
	t.each(func(r *run) {
		if x, ok := r.retained(); ok {
			ended = append(ended, x)
			total += x.bytes
		}
	})
	slices.SortFunc(ended, func(a, b retained) int { return a.endedAt.Compare(b.endedAt) })
	for _, x := range ended {
		old := now.Sub(x.endedAt) >= retainFor
		if total <= t.maxBytes && !old {
			return
		}
		total -= x.bytes
		if now.After(x.deadline) {
			t.forget(x.run)
			continue
		}
		x.run.dropAnswer()
	}
}

func (r *run) retained() (x retained, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil || !r.settled {
		return retained{}, false
	}
	size := int64(cap(r.data)) + int64(len(r.request.GetBody())) + runOverhead
	return retained{r, r.endedAt, time.Unix(0, r.request.GetDeadlineUnixNano()), size}, true
}

// dropAnswer forgets all but that the run took place.
func (r *run) dropAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data, r.gone = nil, true
	r.request.Body = nil
}

func (t *runTable) forget(r *run) {
	s := t.shard(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

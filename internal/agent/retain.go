package agent

import (
	"slices"
	"time"
)

// retained is the snapshot of a finished and settled run for the sweep.
type retained struct {
	run      *run
	endedAt  time.Time
	deadline time.Time
	bytes    int64
}

// runOverhead is the estimated memory of a run in bytes, without its response.
const runOverhead = 512

// sweep drops the responses of finished runs after their retention, and the
// oldest ones while all take too much memory. It keeps responses whose outcome
// the ledger may not have. The run itself stays until the request's deadline has
// passed: until then a late duplicate of the request could arrive and must not
// run again.
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
		old := now.Sub(x.endedAt) >= retention
		if total <= t.maxBytes && !old {
			return
		}
		total -= x.bytes
		if now.After(x.deadline) {
			t.remove(x.run)
			continue
		}
		x.run.dropResponse()
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

// dropResponse drops the response and the request's body. The record that the
// request ran stays.
func (r *run) dropResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data, r.dropped = nil, true
	r.request.Body = nil
}

func (t *runTable) remove(r *run) {
	s := t.shard(r.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
}

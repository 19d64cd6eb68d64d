package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sumachead"
	"sumachead/api/wire"
)

const (
	// retention is how long a finished response, or a refusal, is retained.
	retention = 10 * time.Minute
	// maxChunkBytes is the maximum size of the data that one read returns.
	maxChunkBytes = 64 << 10
	runShards     = 32
)

type runKey struct {
	workspace string
	key       string
}

// run is the state of one request at this agent, with the response so far.
type run struct {
	key runKey
	// cancel stops the relaying.
	cancel context.CancelFunc

	mu      sync.Mutex // guards the fields below
	request *wire.RunRequest
	attempt uint32
	queued  bool
	head    *wire.AnswerHead
	data    []byte
	end     *wire.AnswerEnd
	endedAt time.Time
	// settled is set once the ledger is known to have the outcome.
	settled bool
	// dropped is set once the response was dropped by the sweep.
	dropped bool
	changed chan struct{}
}

func newRun(k runKey, r *wire.RunRequest) *run {
	return &run{key: k, request: r, attempt: r.GetAttempt(), queued: true, changed: make(chan struct{}), cancel: func() {}}
}

// notifyReaders notifies the readers of a change. The caller holds mu.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// start marks the run as being relayed.
func (r *run) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued = false
	r.notifyReaders()
}

// setHead sets the status and content type of the response.
func (r *run) setHead(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &wire.AnswerHead{Status: int32(status), ContentType: strings.ToValidUTF8(contentType, "\uFFFD")}
	r.notifyReaders()
}

// write appends to the response.
func (r *run) write(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, b...)
	r.notifyReaders()
}

// finish ends the run. It reports whether this call ended it: only the first one
// does.
func (r *run) finish(tokens sumachead.Tokens, refusal *sumachead.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return false
	}
	r.end = &wire.AnswerEnd{
		Length: int64(len(r.data)), Checksum: xxhash.Sum64(r.data),
		Tokens: int64(tokens), Verdict: string(sumachead.Ran),
	}
	if refusal != nil {
		r.end.Verdict, r.end.Reason = string(refusal.Verdict), string(refusal.Reason)
		if !refusal.RetryAt.IsZero() {
			r.end.RetryAfterMillis = max(time.Until(refusal.RetryAt).Milliseconds(), 1)
		}
	}
	r.endedAt = time.Now()
	// Retained data must not occupy unused capacity.
	r.data = append(make([]byte, 0, len(r.data)), r.data...)
	r.request.Body = nil
	r.notifyReaders()
	return true
}

// mayRunAgain reports whether a newer attempt may run the finished request again.
// The caller holds mu.
func (r *run) mayRunAgain() bool {
	if r.end == nil || r.end.GetReason() == "" {
		return false
	}
	return r.end.GetVerdict() == string(sumachead.NotRun) || !r.request.GetNotRepeatable()
}

// read returns the data after offset. It waits for data until ctx is done.
func (r *run) read(ctx context.Context, offset int64) *wire.ReadReply {
	for {
		r.mu.Lock()
		reply, changed := r.peek(offset), r.changed
		r.mu.Unlock()
		if len(reply.GetData()) > 0 || reply.GetEnd() != nil || reply.GetCode() != wire.RunCode_RUN_CODE_ACCEPTED {
			return reply
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply
		}
	}
}

// peek returns the data after offset without waiting. The caller holds mu.
func (r *run) peek(offset int64) *wire.ReadReply {
	reply := &wire.ReadReply{
		Code: wire.RunCode_RUN_CODE_ACCEPTED, Offset: offset, Head: r.head, Attempt: r.attempt, Queued: r.queued,
	}
	if r.dropped {
		reply.Code = wire.RunCode_RUN_CODE_GONE
		return reply
	}
	if offset < 0 || offset > int64(len(r.data)) {
		reply.Code = wire.RunCode_RUN_CODE_NO_RECORD
		return reply
	}
	reply.Data = r.data[offset:min(int64(len(r.data)), offset+maxChunkBytes)]
	if offset+int64(len(reply.GetData())) == int64(len(r.data)) {
		reply.End = r.end
	}
	return reply
}

// runTable holds the runs in shards.
type runTable struct {
	maxBytes int64
	shards   [runShards]runShard
}

type runShard struct {
	mu   sync.Mutex // guards runs
	runs map[runKey]*run
}

func newRunTable(maxBytes int64) *runTable {
	t := &runTable{maxBytes: maxBytes}
	for i := range t.shards {
		t.shards[i].runs = make(map[runKey]*run)
	}
	return t
}

func (t *runTable) shard(k runKey) *runShard {
	return &t.shards[xxhash.Sum64String(k.workspace+"\x00"+k.key)%runShards]
}

// get returns the run of a key, or nil.
func (t *runTable) get(k runKey) *run {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[k]
}

// put stores a new run unless its key has a run that replaces rejects. It returns
// the stored run and whether it is the new one.
func (t *runTable) put(fresh *run, replaces func(old *run) bool) (*run, bool) {
	s := t.shard(fresh.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.runs[fresh.key]; old != nil && !replaces(old) {
		return old, false
	}
	s.runs[fresh.key] = fresh
	return fresh, true
}

// each calls f for every run.
func (t *runTable) each(f func(*run)) {
	for i := range t.shards {
		for _, r := range t.shards[i].list() {
			f(r)
		}
	}
}

func (s *runShard) list() []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, r)
	}
	return out
}

// active returns the number of runs that have not finished.
func (t *runTable) active() int {
	return t.count(func(r *run) bool { return r.end == nil })
}

// unsettled returns the number of finished runs whose outcome the ledger may not
// have.
func (t *runTable) unsettled() int {
	return t.count(func(r *run) bool { return r.end != nil && !r.settled })
}

func (t *runTable) count(f func(*run) bool) int {
	n := 0
	t.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if f(r) {
			n++
		}
	})
	return n
}

package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"sumachead/internal/loop"
)

// The process of a replica, which may crash and restart.

const (
	// crashDelay is how long a process runs a request that crashes it: engines take 35 to
	// 95 ms.
	crashDelay = 40 * time.Millisecond
	// restartDelay is how long a crashed process takes to restart.
	restartDelay = 600 * time.Millisecond
)

// Run serves and sends heartbeats until ctx is done.
func (r *Replica) Run(ctx context.Context) error {
	r.mu.Lock()
	r.born = time.Now()
	r.mu.Unlock()
	go r.heartbeatLoop(ctx)
	for {
		if err := r.runProcess(ctx); err != nil || ctx.Err() != nil || r.Stopped() {
			return err
		}
		if !r.takeRestartRequest() {
			if !loop.Sleep(ctx, restartDelay) {
				return nil
			}
			r.restart()
		}
	}
}

// takeRestartRequest reports whether the process must restart at once, and clears that request.
func (r *Replica) takeRestartRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	requested := r.restartNow
	if requested {
		r.restartNow, r.down = false, false
	}
	return requested
}

// runProcess serves until the process ends or ctx is done.
func (r *Replica) runProcess(ctx context.Context) error {
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", r.Address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	r.mu.Lock()
	r.process = s
	r.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// CrashOn makes the replica's process crash soon after it has begun to run a request whose body
// has the given prefix, and restart after a delay, under a new ID or the same one. An empty prefix
// turns this off.
func (r *Replica) CrashOn(body string, sameID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashPrefix, r.sameID = body, sameID
}

// CrashOnBlock makes the replica's process crash soon after it has begun to write a response to a
// prompt with the given block, and restart after a delay under a new ID. An empty ID turns this off.
func (r *Replica) CrashOnBlock(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashBlock = id
}

// crashesOnBlock crashes the process if the prompt of a request has the block on which it crashes. It
// reports whether it did.
func (r *Replica) crashesOnBlock(q *http.Request) bool {
	r.mu.Lock()
	block := r.crashBlock
	r.mu.Unlock()
	if block == "" || !hasBlock(q, block) {
		return false
	}
	time.Sleep(crashDelay)
	r.crash(block)
	return true
}

// hasBlock reports whether the prompt of a request has a block.
func hasBlock(q *http.Request, id string) bool {
	for b := range strings.SplitSeq(q.Header.Get("Prompt-Prefix"), ",") {
		if name, _, _ := strings.Cut(b, ":"); name == id {
			return true
		}
	}
	return false
}

// crash crashes the process while it runs a request with the body: its connections are lost and
// new ones are refused.
func (r *Replica) crash(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	if r.crashes == nil {
		r.crashes = make(map[string][]time.Time)
	}
	r.down = true
	r.crashes[body] = append(r.crashes[body], time.Now())
	_ = r.process.Close() // its connections are meant to break
	r.closeFramed(false)
}

// restart starts the next incarnation of the replica, under a new ID or the same one.
func (r *Replica) restart() {
	r.mu.Lock()
	sameID := r.sameID
	r.down = false
	if sameID {
		r.resetForRestart()
	}
	r.mu.Unlock()
	if !sameID {
		r.RestartCold(0)
	}
}

// resetForRestart resets the state that a restart loses. The caller holds mu.
func (r *Replica) resetForRestart() {
	r.sequence, r.draining, r.drainAckedAt, r.born = 0, false, time.Time{}, time.Now()
	r.leavingSince = time.Time{}
	r.restarts = append(r.restarts, r.born)
}

// RestartSameID restarts the replica at once under its current ID, as a restarted process does.
func (r *Replica) RestartSameID() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetForRestart()
	if r.process != nil {
		r.down, r.restartNow = true, true
		_ = r.process.Close() // its connections are meant to break
		// The next incarnation accepts connections at once, so that only a reset shows that a response
		// without a marked end is incomplete.
		r.closeFramed(true)
	}
}

// Stop ends the process at once and permanently: its connections are lost.
func (r *Replica) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.stopped = true, true
	if r.process != nil {
		_ = r.process.Close() // its connections are meant to break
		r.closeFramed(false)
	}
}

// Stopped reports whether the process has ended permanently.
func (r *Replica) Stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// CrashCount returns how often the replica's process crashed on a request with the body.
func (r *Replica) CrashCount(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes[body])
}

// CrashTimes returns when the replica's process crashed on a body or a prompt block.
func (r *Replica) CrashTimes(cause string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes[cause])
}

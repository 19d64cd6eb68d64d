package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"sumachead/internal/loop"
)

// The process of a replica, which may end and start again.

const (
	// endAfter is how long a process runs a request that ends it: engines were seen to
	// take 35 to 95 ms.
	endAfter = 40 * time.Millisecond
	// backAfter is how long a process takes to start again.
	backAfter = 600 * time.Millisecond
)

// Run serves and sends heartbeats until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	r.mu.Lock()
	r.born = time.Now()
	r.mu.Unlock()
	go r.beats(ctx)
	for {
		if err := r.runProcess(ctx); err != nil || ctx.Err() != nil || r.Stopped() {
			return err
		}
		if !r.takeAgain() {
			if !loop.Sleep(ctx, backAfter) {
				return nil
			}
			r.startAgain()
		}
	}
}

// takeAgain reports whether the process is to start again at once.
func (r *Replica) takeAgain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.again
	if again {
		r.again, r.down = false, false
	}
	return again
}

// runProcess serves until the process ends or ctx does.
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

// EndUnder makes the replica's process end soon after it has begun to run a request whose
// body begins so, and start again after a while, under another id or the same; empty for
// never.
func (r *Replica) EndUnder(body string, sameID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endUnder, r.sameID = body, sameID
}

// end ends the process under a body: its connections break, and nobody takes new ones.
func (r *Replica) end(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	if r.ends == nil {
		r.ends = make(map[string]int)
	}
	r.down = true
	r.ends[body]++
	_ = r.process.Close() // its connections break, as they are meant to
}

// startAgain makes the replica another life, or another start under the same id.
func (r *Replica) startAgain() {
	r.mu.Lock()
	sameID := r.sameID
	r.down = false
	if sameID {
		r.startLife()
	}
	r.mu.Unlock()
	if !sameID {
		r.StartAnew(0)
	}
}

// startLife forgets what the replica knew of before. The caller holds mu.
func (r *Replica) startLife() {
	r.sequence, r.draining, r.acked, r.born = 0, false, time.Time{}, time.Now()
	r.leavingSince = time.Time{}
	r.starts = append(r.starts, r.born)
}

// StartUnderID makes the replica start again at once under the id that it has, as a process
// that was restarted does.
func (r *Replica) StartUnderID() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startLife()
	if r.process != nil {
		r.down, r.again = true, true
		_ = r.process.Close() // its connections break, as they are meant to
	}
}

// Stop ends the process at once and for good: its connections break.
func (r *Replica) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.stopped = true, true
	if r.process != nil {
		_ = r.process.Close() // its connections break, as they are meant to
	}
}

// Stopped reports whether the process has ended for good.
func (r *Replica) Stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Ends returns how often the replica's process ended under a body.
func (r *Replica) Ends(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[body]
}

package raft

import (
	"context"
	"errors"
	"testing"
	"time"

	"sumachead/api/wire"
)

// suspend pauses a member as if its host were suspended: it does nothing, and messages that
// are sent to it meanwhile are lost. The call that first makes is queued before the member
// resumes, so that it is handled first.
func (g *group) suspend(m *member, id string, duration time.Duration, first func()) {
	g.setPartitioned(id, true)
	defer g.setPartitioned(id, false)
	suspended, resume := make(chan struct{}), make(chan struct{})
	m.node.calls <- func() {
		close(suspended)
		<-resume
	}
	<-suspended
	time.Sleep(duration)
	go first()
	time.Sleep(5 * time.Millisecond) // first has queued its call by then
	close(resume)
	time.Sleep(5 * time.Millisecond)
}

// Checks that a leader whose host was suspended for longer than its lease does not hold the
// lease when it resumes. Another leader has been elected and has committed commands that the
// suspended one lacks.
func TestSuspendedLeaderHasNoLease(t *testing.T) {
	g := &group{t: t, running: make(map[string]*member), partitioned: make(map[string]bool)}
	ids := []string{"k0", "k1", "k2"}
	founders := &wire.Members{}
	for _, id := range ids {
		founders.Members = append(founders.Members, &wire.Member{Id: id, Incarnation: "0"})
	}
	for _, id := range ids {
		g.start(id, t.TempDir(), founders)
	}
	defer func() {
		for _, id := range ids {
			g.stop(id)
		}
	}()
	leader := func(except string) (string, *member) {
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			for _, id := range ids {
				m := g.running[id]
				if id != except && m.node.IsLeader() && m.node.ReadBarrier(t.Context()) == nil {
					return id, m
				}
			}
		}
		t.Fatal("no leader")
		return "", nil
	}
	for range 5 {
		id, m := leader("")
		barrier := make(chan error, 1)
		other := make(chan error, 1)
		go func() {
			time.Sleep(20 * time.Millisecond) // the leader is suspended by then
			_, next := leader(id)
			_, err := next.node.Propose(t.Context(), []byte("7"))
			other <- err
		}()
		g.suspend(m, id, 400*time.Millisecond, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			barrier <- m.node.ReadBarrier(ctx)
		})
		if err := <-other; err != nil {
			t.Fatalf("command at the other leader: %v", err)
		}
		var notLeader *NotLeaderError
		if err := <-barrier; !errors.As(err, &notLeader) {
			t.Fatalf("the leader still holds its lease after it was suspended: %v", err)
		}
	}
}

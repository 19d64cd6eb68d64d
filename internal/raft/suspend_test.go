package raft

import (
	"errors"
	"sync"
	"testing"
	"time"

	"sumachead/api/wire"
)

// suspend pauses a member as if its host were suspended: until meanwhile returns it does nothing, and messages
// that are sent to it are lost until first returns. The call that first makes is queued before the member
// resumes.
func (g *group) suspend(m *member, id string, meanwhile, first func()) {
	g.setPartitioned(id, true)
	defer g.setPartitioned(id, false)
	suspended, resumed, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(resumed) })
	defer resume()
	m.node.calls <- func() {
		close(suspended)
		<-resumed
	}
	<-suspended
	meanwhile()
	go func() {
		defer close(done)
		first()
	}()
	for len(m.node.calls) == 0 {
		time.Sleep(time.Millisecond)
	}
	resume()
	<-done
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
		var barrier error
		g.suspend(m, id, func() {
			time.Sleep(400 * time.Millisecond)
			for err := errors.New("not tried"); err != nil; { // a leader may lose its term before the commit
				_, next := leader(id)
				_, err = next.node.Propose(t.Context(), []byte("7"))
			}
		}, func() { barrier = m.node.ReadBarrier(t.Context()) })
		var notLeader *NotLeaderError
		if !errors.As(barrier, &notLeader) {
			t.Fatalf("the leader still holds its lease after it was suspended: %v", barrier)
		}
	}
}

package raft

import (
	"context"
	"errors"
	"testing"
	"time"

	"sumachead/api/wire"
)

// suspend stops a member for a while as if its host were suspended: it does nothing, and
// nothing that is sent meanwhile reaches it. What is to come first is queued before the member
// goes on.
func (g *group) suspend(m *member, id string, lasts time.Duration, first func()) {
	g.setCut(id, true)
	defer g.setCut(id, false)
	asleep, awake := make(chan struct{}), make(chan struct{})
	m.node.calls <- func() {
		close(asleep)
		<-awake
	}
	<-asleep
	time.Sleep(lasts)
	go first()
	time.Sleep(5 * time.Millisecond) // it is queued by then
	close(awake)
	time.Sleep(5 * time.Millisecond)
}

// A leader whose host was suspended for longer than its lease wakes up without it: another one
// has been elected, and has taken commands that this one does not know.
func TestSuspendedLeaderHasNoLease(t *testing.T) {
	g := &group{t: t, live: make(map[string]*member), cut: make(map[string]bool)}
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
	leader := func(but string) (string, *member) {
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			for _, id := range ids {
				m := g.live[id]
				if id != but && m.node.Leading() && m.node.ReadBarrier(t.Context()) == nil {
					return id, m
				}
			}
		}
		t.Fatal("nobody leads")
		return "", nil
	}
	for range 5 {
		id, m := leader("")
		barrier := make(chan error, 1)
		other := make(chan error, 1)
		go func() {
			time.Sleep(20 * time.Millisecond) // the leader sleeps
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
			t.Fatalf("another leader's command: %v", err)
		}
		var not *NotLeaderError
		if err := <-barrier; !errors.As(err, &not) {
			t.Fatalf("a leader that was suspended holds its lease: %v", err)
		}
	}
}

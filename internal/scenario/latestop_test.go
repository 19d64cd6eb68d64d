package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// lateConn is a connection that holds the last byte of the first write back until a point in time.
type lateConn struct {
	net.Conn
	lastByteAt time.Time
}

// Write implements net.Conn.
func (c *lateConn) Write(p []byte) (int, error) {
	if c.lastByteAt.IsZero() || len(p) == 0 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)-1])
	if err != nil {
		return n, err
	}
	time.Sleep(time.Until(c.lastByteAt))
	c.lastByteAt = time.Time{}
	last, err := c.Conn.Write(p[len(p)-1:])
	return n + last, err
}

// isOpen reports whether the other side has not closed the connection. Nothing has been received on it.
func (c *lateConn) isOpen() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// openConn opens a connection to a router, and returns it with a client that uses only this one.
func (f *fleet) openConn(router string) (*lateConn, *http.Client, error) {
	conn, err := net.Dial("tcp", net.JoinHostPort(f.advertisedIP(f.indexOf(router)), strconv.Itoa(f.frontPort)))
	if err != nil {
		return nil, nil, err
	}
	c := &lateConn{Conn: conn}
	var once sync.Once
	dial := func(context.Context, string, string) (net.Conn, error) {
		err := net.ErrClosed
		once.Do(func() { err = nil })
		return c, err
	}
	return c, &http.Client{Transport: &http.Transport{DialContext: dial}}, nil
}

// Guards against requests that reach a stopping router late: passed on and cut without an answer, or read and dropped.
func TestLateRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetShape{keepers: 3, routers: 2, relays: 1, engines: 1, desks: 1, prepaid: 100_000_000})
	// Plain calls take 6 s, as long as the grace period.
	f.replicas["desk-1"].SetFaults(standin.ReplicaFaults{BadOneIn: 1, BadOn: "/hold/", Slower: 300})
	p := f.processes["router-1"]
	const grace, step, perKind = 6 * time.Second, 200 * time.Millisecond, 24
	begun := time.Now().Add(500 * time.Millisecond)
	answersBy := begun.Add(grace * 5 / 6)
	var all sync.WaitGroup
	names := make(map[string]string)
	for i := range perKind {
		at := begun.Add(step*time.Duration(i) + step/2)
		for _, kind := range []string{"hold", "check", "stream", "slow upload", "slow head"} {
			conn, client, err := f.openConn("router-1")
			if err != nil {
				t.Fatal(err)
			}
			all.Go(func() {
				q := fleetRequest{kind: kind, router: "router-1", timeout: 8 * time.Second, events: 3000, client: client}
				sendAt := at
				switch kind {
				case "slow upload":
					q.kind, q.body = "hold", strings.Repeat("x", 1000)
					sendAt, conn.lastByteAt = begun.Add(-100*time.Millisecond), at
				case "slow head":
					q.kind, sendAt, conn.lastByteAt = "check", begun.Add(-100*time.Millisecond), at
				}
				time.Sleep(time.Until(sendAt))
				if !conn.isOpen() {
					return
				}
				c := f.do(q)
				f.mu.Lock()
				names[c.id] = kind
				f.mu.Unlock()
			})
		}
	}
	time.Sleep(time.Until(begun))
	p.signal(syscall.SIGTERM)
	all.Wait()
	f.mu.Lock()
	observed, _ := f.observations()
	f.mu.Unlock()
	counts := make(map[string]int)
	for id, o := range observed {
		c := o.caller
		if names[id] == "" {
			continue
		}
		name := names[id]
		outcome := fmt.Sprintf("%s status=%d %s sent=%t", name, c.status, c.refusalReason(), len(o.arrivals) > 0)
		counts[outcome]++
		after := c.sentAt.Sub(begun)
		switch {
		case c.status == 0 && len(o.arrivals) > 0:
			t.Errorf("LOST: %s (%s, sent %v after the signal) reached a server, and its connection ended without an answer: %v", id, name, after, c.err)
		case c.status == 0 && !errors.Is(c.err, syscall.ECONNRESET) && !errors.Is(c.err, syscall.EPIPE):
			t.Errorf("LOST: %s (%s, sent %v after the signal) was read, and its connection ended without an answer: %v", id, name, after, c.err)
		case c.status == http.StatusOK && !c.complete && c.endedAt.Before(answersBy):
			t.Errorf("LOST: %s (%s) was cut off after event %d, %v after the signal", id, name, c.lastEvent, c.endedAt.Sub(begun))
		case c.status == http.StatusServiceUnavailable && len(o.arrivals) > 0:
			t.Errorf("REFUSED: %s (%s) was refused as not run, but reached a server", id, name)
		case c.status == http.StatusServiceUnavailable && !c.hasRetryAfter:
			t.Errorf("%s (%s) was refused without a time to retry: %s", id, name, c.refusal)
		}
		if c.kind == "hold" && len(o.arrivals) > 1 {
			t.Errorf("TWICE: %s (%s) reached %d servers", id, name, len(o.arrivals))
		}
	}
	var lines []string
	for outcome, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", outcome, n))
	}
	slices.Sort(lines)
	t.Log(strings.Join(lines, "\n"))
	if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
	}
}

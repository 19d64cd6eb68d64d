package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// Routers must send nothing to an engine within a backoff that it has requested.
//
// An overloaded engine answers 503, says that it has not run the request and asks for a backoff,
// here of 3 s. If routers drop that notice, the next request with the same cached prompt parts is
// placed at the same engine, which has nothing in flight and therefore looks best. It is rejected
// again, often also by a second engine in backoff, after which no attempt is left: over a tenth of
// two kinds of requests are refused although most engines are free.

const (
	// backoffGrace is how long after a server has requested backoff it may still get requests
	// that were sent before its response was read.
	backoffGrace = 500 * time.Millisecond
	// maxRefusalTime bounds the time to a refusal that needs no wait.
	maxRefusalTime = 200 * time.Millisecond
)

// awaitServersKnown waits until each router knows all backend servers. Right after the start of a
// fleet a router may know only the first of the plain servers.
func (f *fleet) awaitServersKnown(t *testing.T) {
	t.Helper()
	want := strconv.Itoa(f.shape.engines + f.shape.desks)
	if err := eventually(startTimeout, "all routers know all servers", func() bool {
		for i := range f.shape.routers {
			if f.metric(fmt.Sprintf("router-%d", i+1), "sumachead_gateway_servers ") != want {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// rejectRequests makes servers reject all requests with a backoff, and returns them.
func (f *fleet) rejectRequests(backoff time.Duration, names ...string) (servers []*standin.Replica) {
	for _, n := range names {
		f.replicas[n].RejectRequests(backoff)
		servers = append(servers, f.replicas[n])
	}
	return servers
}

// neverExcused excuses no process.
func neverExcused(string, time.Time, time.Time) bool { return false }

// callersByID returns what callers saw, by request id.
func (f *fleet) callersByID() map[string]*caller {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*caller, len(f.callers))
	for _, c := range f.callers {
		out[c.id] = c
	}
	return out
}

// sentByBackoff lists, for each response with a backoff, the later requests of the same
// router that reached the server within that backoff. It leaves out those within backoffGrace and
// those of a router that is excused in between.
func (f *fleet) sentByBackoff(r *standin.Replica, excused func(router string, from, to time.Time) bool) (out [][]string) {
	callers, rejected := f.callersByID(), r.Rejections()
	for i, rejection := range rejected {
		var sent []string
		router := callers[rejection.ID].router
		for _, x := range rejected[i+1:] {
			since := x.At.Sub(rejection.At)
			if since >= rejection.Backoff {
				break
			}
			if since > backoffGrace && callers[x.ID].router == router && !excused(router, rejection.At, x.At) {
				sent = append(sent, fmt.Sprintf("%s from %s at %s, %v after a requested backoff of %v", x.ID, router, r.ID, since.Round(time.Millisecond), rejection.Backoff))
			}
		}
		out = append(out, sent)
	}
	return out
}

// sentDuringBackoff lists the requests of all backoffs together.
func (f *fleet) sentDuringBackoff(r *standin.Replica) (out []string) {
	for _, sent := range f.sentByBackoff(r, neverExcused) {
		out = append(out, sent...)
	}
	return out
}

// sentAfterLeaving lists the requests that reached a server through a router and were sent by
// their callers more than a grace period after that router had forwarded a response in which the
// server announced that it leaves.
func (f *fleet) sentAfterLeaving(r *standin.Replica, grace time.Duration, excused func(router string, from, to time.Time) bool) (out []string) {
	callers, forwarded := f.callersByID(), f.forwardedLeaving(r)
	reached := make(map[string]time.Time)
	for _, x := range r.Runs() {
		reached[x.ID] = x.At
	}
	for _, x := range r.Rejections() {
		reached[x.ID] = x.At
	}
	for id, reachedAt := range reached {
		c := callers[id]
		for _, at := range forwarded[c.router] {
			if c.sentAt.After(at.Add(grace)) && !excused(c.router, at, reachedAt) {
				out = append(out, fmt.Sprintf("%s reached %s from %s %v after a response that announced that it leaves", id, r.ID, c.router, c.sentAt.Sub(at).Round(time.Millisecond)))
				break
			}
		}
	}
	return out
}

// forwardedLeaving returns, by router, when it forwarded responses in which a server announced
// that it leaves.
func (f *fleet) forwardedLeaving(r *standin.Replica) map[string][]time.Time {
	forwarded := make(map[string][]time.Time)
	since := r.LeavingSince()
	if since.IsZero() {
		return forwarded
	}
	callers := f.callersByID()
	for _, x := range r.Runs() {
		if c := callers[x.ID]; x.At.After(since) && c.complete {
			forwarded[c.router] = append(forwarded[c.router], c.endedAt)
		}
	}
	return forwarded
}

// sendLoad sends requests of a kind to all routers concurrently until the given time, without
// retries, and returns what their callers saw.
func (f *fleet) sendLoad(kind string, until time.Time) (callers []*caller) {
	const concurrency = 6
	var all sync.WaitGroup
	var mu sync.Mutex // guards callers
	for k := range concurrency {
		all.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				router := fmt.Sprintf("router-%d", (i+k)%f.shape.routers+1)
				c := f.do(fleetRequest{kind: kind, router: router, body: fmt.Sprintf("%d %d", k, i), prompt: 10, events: 5})
				mu.Lock()
				callers = append(callers, c)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return callers
}

func TestServersThatRequestBackoff(t *testing.T) {
	tests := []struct {
		name, kind string
		backoff    time.Duration
		servers    []string
	}{
		{"an engine, long backoffs", "stream", 3 * time.Second, []string{"engine-2"}},
		{"an engine, backoffs that end and are requested again", "stream", 900 * time.Millisecond, []string{"engine-2"}},
		{"engines of two halls", "stream", 3 * time.Second, []string{"engine-1", "engine-2"}},
		{"a plain server, idempotent requests", "check", 3 * time.Second, []string{"desk-1"}},
		{"a plain server, non-idempotent requests", "hold", 3 * time.Second, []string{"desk-1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 2, relays: 6, engines: 6, desks: 3, prepaid: 10_000_000})
			f.awaitServersKnown(t)
			servers := f.rejectRequests(tt.backoff, tt.servers...)
			callers := f.sendLoad(tt.kind, time.Now().Add(3*time.Second+backoffGrace))
			var early []string
			for _, r := range servers {
				early = append(early, f.sentDuringBackoff(r)...)
				if len(r.Rejections()) == 0 {
					t.Errorf("%s got no request", r.ID)
				}
			}
			if len(early) > 0 {
				t.Errorf("%d requests during a backoff, the first: %s", len(early), early[0])
			}
			// A request may be rejected by all servers in backoff before its router knows of any,
			// once in each round of backoffs.
			maxFailed := 0
			if len(servers) > 1 {
				maxFailed = f.shape.routers * len(servers)
			}
			var failed []string
			for _, c := range callers {
				if !c.complete {
					failed = append(failed, c.String()+" "+c.refusal)
				}
			}
			if len(failed) > maxFailed {
				t.Errorf("%d of %d requests have no complete response while other servers could serve them, the first: %s", len(failed), len(callers), failed[0])
			}
			for _, r := range servers {
				r.RejectRequests(0)
			}
			before := make(map[*standin.Replica]int)
			for _, r := range servers {
				before[r] = len(r.Runs())
			}
			f.sendLoad(tt.kind, time.Now().Add(tt.backoff+time.Second))
			for _, r := range servers {
				if len(r.Runs()) == before[r] {
					t.Errorf("%s gets no request after its backoff", r.ID)
				}
			}
			if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
				t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
			}
		})
	}
}

// If all servers of a service are in backoff, requests are refused immediately, and their
// Retry-After points to the end of the first backoff.
func TestAllServersBackOff(t *testing.T) {
	f := startFleet(t, fleetShape{keepers: 3, routers: 1, relays: 3, engines: 3, desks: 1, prepaid: 10_000_000})
	f.awaitServersKnown(t)
	const backoff = 3 * time.Second
	servers := f.rejectRequests(backoff, "engine-1", "engine-2", "engine-3")
	ask := func() *caller {
		return f.do(fleetRequest{kind: "stream", router: "router-1", prompt: 10, events: 5, timeout: 10 * time.Second})
	}
	if err := eventually(backoff, "all servers have requested backoff", func() bool {
		ask()
		for _, r := range servers {
			if len(r.Rejections()) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	first := servers[0].Rejections()[0].At
	for _, r := range servers {
		if at := r.Rejections()[0].At; at.Before(first) {
			first = at
		}
		r.RejectRequests(0)
	}
	backoffEnd := first.Add(backoff)
	c := ask()
	if c.endedAt.Sub(c.sentAt) > maxRefusalTime || c.complete || !strings.Contains(c.refusal, "not_run") {
		t.Errorf("after %v: %s %s", c.endedAt.Sub(c.sentAt), c, c.refusal)
	}
	const spread = 2 * time.Second // more than half of the wait, for its jitter
	if retryAt := c.endedAt.Add(time.Duration(c.retryAfter * float64(time.Second))); retryAt.Before(backoffEnd.Add(-backoffGrace)) || retryAt.After(backoffEnd.Add(spread)) {
		t.Errorf("Retry-After points to %v after the end of the first backoff", retryAt.Sub(backoffEnd))
	}
	time.Sleep(time.Until(backoffEnd.Add(backoffGrace)))
	if c := ask(); !c.complete {
		t.Errorf("after the backoffs: %s %s", c, c.refusal)
	}
	for _, r := range servers {
		if early := f.sentDuringBackoff(r); len(early) > 0 {
			t.Errorf("%d requests during a backoff, the first: %s", len(early), early[0])
		}
	}
}

// A server that announces in its responses that it leaves gets no new requests from a router that
// has forwarded one, whatever its heartbeats say. Its next incarnation does.
func TestServerThatSaysInAnswersThatItLeaves(t *testing.T) {
	tests := []struct{ name, kind, server string }{
		{"an engine", "stream", "engine-2"},
		{"a plain server", "hold", "desk-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 2, relays: 3, engines: 3, desks: 2, prepaid: 10_000_000})
			f.awaitServersKnown(t)
			r := f.replicas[tt.server]
			r.AnnounceLeaving()
			callers := f.sendLoad(tt.kind, time.Now().Add(4*time.Second))
			for _, c := range callers {
				if !c.complete {
					t.Errorf("%s %s", c, c.refusal)
				}
			}
			if len(f.forwardedLeaving(r)) == 0 {
				t.Fatal("no router has forwarded the announcement") // a router that sends to its own hall only may not get one
			}
			if late := f.sentAfterLeaving(r, 0, neverExcused); len(late) > 0 {
				t.Errorf("%d requests reached it that were sent after their router had forwarded that it leaves, the first: %s", len(late), late[0])
			}
			before := len(r.Runs())
			r.RestartSameID()
			if err := eventually(startTimeout, "its next incarnation is used", func() bool {
				f.sendLoad(tt.kind, time.Now().Add(100*time.Millisecond))
				return len(r.Runs()) > before
			}); err != nil {
				t.Error(err)
			}
			if violations := f.violations(f.shape.prepaid); len(violations) > 0 {
				t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
			}
		})
	}
}

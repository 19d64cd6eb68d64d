package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// promptTokens and maxTokens are what each request names, and eventTokens what an event holds.
	promptTokens, maxTokens, eventTokens = 1460, 90, 3
	// streamEvents are the events of each answer.
	streamEvents = 20
	// requestInterval is the time between the requests of the tenant.
	requestInterval = 50 * time.Millisecond
	// playTime is how long the tenant sends requests.
	playTime = 92 * time.Second
	// Routers crash so often, crashInterval apart, and each is down for restartDelay.
	crashCount    = 18
	crashInterval = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	// finalFaultAt is when all processes are killed, and finalDownTime how long they are down.
	finalFaultAt  = 60 * time.Second
	finalDownTime = 1300 * time.Millisecond
	// requestCount is how many requests the case sends.
	requestCount = int64(playTime / requestInterval)
	// prepaidTokens is the tenant's budget: all requests at their most are 96 in 100 of it.
	prepaidTokens = requestCount * (promptTokens + maxTokens) * 100 / 96
)

// tally counts the requests of one part of the case and their answers.
type tally struct {
	mu       sync.Mutex // guards the fields below
	sent     int
	statuses map[int]int
}

// add counts the answer to a request; the status is 0 if there was none.
func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.sent++
	t.statuses[status]++
}

// servedQuarter reports whether a quarter of the requests was served.
func (t *tally) servedQuarter() bool { return t.statuses[http.StatusOK]*4 >= t.sent }

// crashLeak kills routers again and again, as herd_kill does, and then all processes, as the final fault
// kill_all does. A tenant whose budget holds all of its requests must be served afterwards.
func crashLeak(r *recorder, trouble bool) (bool, error) {
	const routers, replicas = 5, 3
	f, err := newFleet(r, 3, routers)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for i := range replicas {
		s := &replica{fleet: f, id: fmt.Sprintf("i-%d", i+1), service: "assist", address: f.replicaIP(i) + ":8080", slots: 64, run: runStream}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := f.start(streamConfiguration()); err != nil {
		return false, err
	}
	time.Sleep(contactTime + heartbeatTime)
	begun := time.Now()
	crashes := make(chan error, 1)
	go func() { crashes <- crashFleet(f, trouble, begun) }()
	before, after := playTenant(f, begun)
	if err := <-crashes; err != nil {
		return false, err
	}
	f.log("result  budget %d; all requests at their most %d", prepaidTokens, requestCount*(promptTokens+maxTokens))
	f.log("result  before the final fault: %d sent, answers %v", before.sent, before.statuses)
	f.log("result  more than recover_s after it: %d sent, answers %v", after.sent, after.statuses)
	return before.servedQuarter() && !after.servedQuarter(), nil
}

// playTenant sends the requests of the tenant. It returns the counts of those sent before the final fault and
// of those sent more than recover_s after all processes were back.
func playTenant(f *fleet, begun time.Time) (before, after *tally) {
	before, between, after := &tally{}, &tally{}, &tally{}
	recoveredAt := finalFaultAt + finalDownTime + recoverTime
	var calls sync.WaitGroup
	for i := range int(requestCount) {
		at := time.Duration(i) * requestInterval
		time.Sleep(time.Until(begun.Add(at)))
		t := between
		switch {
		case at < finalFaultAt:
			t = before
		case at > recoveredAt:
			t = after
		}
		calls.Go(func() { t.add(f.callAny(i)) })
	}
	calls.Wait()
	return before, after
}

// crashFleet kills three of five routers at a time, as herd_kill with a share of 0.6 does, and starts them
// again. In the end it does so with all processes.
func crashFleet(f *fleet, trouble bool, begun time.Time) error {
	if !trouble {
		return nil
	}
	for i := range crashCount {
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * crashInterval)))
		crashed := []int{i % f.routers, (i + 1) % f.routers, (i + 3) % f.routers}
		if err := f.restart(nil, crashed, restartDelay); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begun.Add(finalFaultAt)))
	return f.restart([]int{0, 1, 2}, []int{0, 1, 2, 3, 4}, finalDownTime)
}

// callAny sends one request, to the next router if there is no connection, and returns the status of its
// answer; 0 if there is none.
func (f *fleet) callAny(i int) int {
	id := fmt.Sprintf("q%05d", i)
	for try := range f.routers {
		c, err := f.dial("tenant", f.front((i+try)%f.routers))
		if err != nil {
			continue
		}
		defer c.close()
		status, events := c.stream(id)
		f.log("client  gets %d to %s, %d events", status, id, events)
		return status
	}
	f.log("client  has no connection for %s", id)
	return 0
}

// stream sends a request for a stream and reads its answer; the status is 0 if there is none.
func (c *client) stream(id string) (status, events int) {
	part := "p" + strconv.Itoa(len(id))
	err := c.send(http.MethodPost, "/assist/chat", id, "Api-Key: k1", "Deadline-Ms: 10000", "Model: m",
		fmt.Sprintf("Token-Usage: %d,%d", promptTokens, maxTokens), fmt.Sprintf("Prompt-Prefix: %s:800,%s:660", part, id))
	if err != nil {
		return 0, 0
	}
	resp, err := c.head()
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // a stream that breaks off has fewer events
	return resp.StatusCode, strings.Count(string(body), "\n\n")
}

// runStream answers with a stream of events.
func runStream(s *replica, w http.ResponseWriter, q *http.Request) {
	s.fleet.log("replica %s runs %s for %s", s.id, q.Header.Get("Request-Id"), q.Header.Get("Tenant"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token token token\n\n", i+1); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(15 * time.Millisecond):
		}
	}
}

// streamConfiguration is a configuration with one service of engines and one tenant.
func streamConfiguration() map[string]any {
	return map[string]any{
		"config_version": 1,
		"routes": []any{map[string]any{
			keyName: "r-assist", "hostname": "svc.example", "path_prefix": "/assist/", "route_kind": "streaming", "timeout_ms": 12000,
			"target_latency_ms": 800, "priority": 1, "backend": "assist", "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			keyName: "assist", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 515867, "kv_token_bytes": 327680, "link_mbps": 250000, "moves": true, "backups": true,
				"stride": eventTokens, "most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{keyName: "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{keyName: "t1", "api_keys": []string{"k1"}, "priority": 1, "prepaid": prepaidTokens}},
	}
}

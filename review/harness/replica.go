package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a replica of a plain service. It registers by heartbeats, records what it runs, and
// serves one request at a time on a connection. Set the exported fields before run.
type replica struct {
	// ID is the ID of the incarnation, and Address where it serves.
	ID      string
	Address string
	Zone    string
	Work    time.Duration
	// Surplus returns the bytes that the replica sends on a connection before it runs the next
	// request, beyond the whole answers to the earlier ones; nil for a sound replica.
	Surplus func(answered int) []byte

	d        *deployment
	born     time.Time
	sequence int

	mu sync.Mutex // guards the fields below
	// runs counts the runs by request ID, and answered the answers.
	runs     map[string]int
	answered int
	conns    map[net.Conn]bool
}

// newReplica returns a sound replica with an address of its own.
func (d *deployment) newReplica(i int) *replica {
	return &replica{
		ID: fmt.Sprintf("i-7f3a91c%d", i), Address: fmt.Sprintf("%s.%d:%d", d.subnet, 101+i, d.port), Zone: zones[i%len(zones)],
		Work: 30 * time.Millisecond, d: d, born: time.Now(), runs: make(map[string]int), conns: make(map[net.Conn]bool),
	}
}

// run serves and registers until ctx ends.
func (p *replica) run(ctx context.Context) error {
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { p.close(l) })
	go p.accept(l)
	go p.register(ctx)
	return nil
}

// close closes the listener and all connections.
func (p *replica) close(l net.Listener) {
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// accept accepts connections until the listener is closed.
func (p *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.serve(c)
	}
}

// serve serves the requests on a connection until it is closed.
func (p *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	in := bufio.NewReader(c)
	var surplus []byte
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		answer := p.answer(q)
		if _, err := c.Write(surplus); err != nil {
			return
		}
		if q.Header.Get("Request-Id") != "" {
			p.runRequest(q)
		}
		if _, err := c.Write(answer); err != nil || q.Close {
			return
		}
		surplus = p.nextSurplus()
	}
}

// answer returns the bytes of the answer to a request.
func (p *replica) answer(q *http.Request) []byte {
	if q.URL.Path == healthPath {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServed-By: %s\r\nContent-Length: 0\r\n\r\n", p.ID)
	}
	id := q.Header.Get("Request-Id")
	if e := q.Header.Get("Expect-Replica"); e != "" && e != p.ID {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	body := "done " + id + " at " + p.ID + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// runRequest runs a request, unless it is meant for another replica.
func (p *replica) runRequest(q *http.Request) {
	if e := q.Header.Get("Expect-Replica"); e != "" && e != p.ID {
		return
	}
	id := q.Header.Get("Request-Id")
	p.d.r.printf("%s runs %s", p.ID, id)
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
	time.Sleep(p.Work)
}

// nextSurplus counts an answer and returns the bytes to send before the next one.
func (p *replica) nextSurplus() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered++
	if p.Surplus == nil {
		return nil
	}
	return p.Surplus(p.answered)
}

// runsOf returns how often the replica ran a request.
func (p *replica) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// register sends heartbeats until ctx ends.
func (p *replica) register(ctx context.Context) {
	for {
		if err := p.heartbeat(ctx); err != nil && ctx.Err() == nil {
			p.d.r.printf("heartbeat of %s: %v", p.ID, err)
		}
		if !sleep(ctx, heartbeatInterval) {
			return
		}
	}
}

// heartbeat sends one heartbeat, to the next node if one does not acknowledge it.
func (p *replica) heartbeat(ctx context.Context) error {
	p.sequence++
	body, err := json.Marshal(map[string]any{
		"backend": serviceName, "address": p.Address, "zone": p.Zone, "config_version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "call_seq": p.sequence, "born": p.born.UnixMilli(),
	})
	if err != nil {
		return err
	}
	cores := p.d.class(classCore)
	for i := range cores {
		h := cores[(i+p.sequence)%len(cores)]
		if status, _ := p.d.order(ctx, http.MethodPost, h, "/v1/Replicas.Heartbeat/"+p.ID, body); status/100 == 2 {
			return nil
		}
	}
	return errors.New("no node acknowledged it")
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// keyName is the field of a configuration that names a route, a service, a model or a tenant.
const keyName = "name"

// replica is a sound backend server of the platform: it registers by heartbeats and runs what it receives.
type replica struct {
	fleet   *fleet
	id      string
	service string
	address string
	slots   int
	// run answers a request; it records what it runs.
	run func(r *replica, w http.ResponseWriter, q *http.Request)

	mu       sync.Mutex // guards runs and sequence
	runs     int
	sequence int
	server   *http.Server
	quit     chan struct{}
}

// start serves and sends heartbeats.
func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Served-By", r.id) })
	m.HandleFunc("/v1/", http.NotFound)
	m.HandleFunc("/", r.serve)
	r.server, r.quit = &http.Server{Handler: m}, make(chan struct{})
	go func() { _ = r.server.Serve(l) }() // ends with stop
	go r.register()
	return nil
}

// stop ends the replica.
func (r *replica) stop() {
	close(r.quit)
	_ = r.server.Close()
}

// serve handles a request: another incarnation's is rejected, all others run.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		r.fleet.log("replica %s rejects %s, which is meant for %s", r.id, id, want)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	w.Header().Set("Response-Seal", "seal."+r.id+"."+id)
	r.run(r, w, q)
}

// register sends heartbeats until the replica is stopped; one that is not acknowledged goes to the next
// keeper.
func (r *replica) register() {
	client := &http.Client{Timeout: time.Second}
	addresses := r.fleet.control()
	for i := 0; ; i++ {
		r.sequence++
		body, _ := json.Marshal(map[string]any{ // a map of plain values can be encoded
			"backend": r.service, "address": r.address, "zone": zone, "config_version": "v1", "slots": r.slots, "state": "ready",
			"cold_left_ms": 0, "stage": "both", "models": []any{}, "call_seq": r.sequence,
		})
		pause := heartbeatTime
		resp, err := client.Post(fmt.Sprintf("http://%s/v1/Replicas.Heartbeat/%s", addresses[i%len(addresses)], r.id), "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 100 * time.Millisecond
		} else {
			_ = resp.Body.Close()
			i-- // the same keeper again
		}
		select {
		case <-r.quit:
			return
		case <-time.After(pause):
		}
	}
}

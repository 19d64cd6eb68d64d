package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// How a replica tells the nodes of itself.

// beats sends heartbeats until ctx ends.
func (r *Replica) beats(ctx context.Context) {
	for {
		if !r.isDown() {
			r.Beat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.Every):
		}
	}
}

func (r *Replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// Beat sends one heartbeat; it reports whether some node acknowledged it.
func (r *Replica) Beat(ctx context.Context) bool {
	r.mu.Lock()
	r.sequence++
	state, draining := "ready", r.draining
	if draining {
		state = "draining"
	}
	tells := map[string]any{
		"backend": r.Service, "address": r.Address, "zone": r.Hall, "slots": replicaSlots, "state": state, "call_seq": r.sequence,
		"cold_left_ms": r.coldLeft(time.Now()).Milliseconds(),
	}
	if r.Version != "" {
		tells["config_version"] = r.Version
	}
	if !r.silentBorn {
		tells["born"] = r.born.UnixMilli()
	}
	body, err := json.Marshal(tells)
	id, born := r.life(), r.born
	r.mu.Unlock()
	if err != nil {
		return false
	}
	ok := r.post(ctx, "/v1/Replicas.Heartbeat/"+id, body)
	if ok && draining {
		r.noteDrainAcked(born)
	}
	return ok
}

// noteDrainAcked notes that leaving was acknowledged to the life that started at a time, unless
// another one runs by now: that one does not leave.
func (r *Replica) noteDrainAcked(born time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born.Equal(born) {
		r.acked = time.Now()
	}
}

// HideBorn makes the replica tell nothing of when it started.
func (r *Replica) HideBorn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentBorn = true
}

// Leave tells that the replica is about to end; it reports whether some node
// acknowledged it.
func (r *Replica) Leave(ctx context.Context) bool {
	r.mu.Lock()
	id := r.life()
	r.mu.Unlock()
	return r.post(ctx, "/v1/Replicas.Leave/"+id, nil)
}

// post calls the control addresses in turn until one acknowledges.
func (r *Replica) post(ctx context.Context, path string, body []byte) bool {
	for _, a := range r.Control() {
		if r.postTo(ctx, "http://"+a+path, body) {
			return true
		}
	}
	return false
}

// postTo makes one call; it reports whether it was acknowledged.
func (r *Replica) postTo(ctx context.Context, url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Drain announces that the replica leaves; it reports whether that was
// acknowledged. It goes on serving.
func (r *Replica) Drain(ctx context.Context) bool {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.Beat(ctx)
}

// DrainAcked returns when leaving was acknowledged; zero before.
func (r *Replica) DrainAcked() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acked
}

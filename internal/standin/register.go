package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// The registration of a replica with the nodes.

// heartbeatLoop sends heartbeats until ctx is done.
func (r *Replica) heartbeatLoop(ctx context.Context) {
	for {
		if !r.isDown() {
			r.SendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.HeartbeatInterval):
		}
	}
}

func (r *Replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// SendHeartbeat sends one heartbeat. It reports whether a node acknowledged it.
func (r *Replica) SendHeartbeat(ctx context.Context) bool {
	r.mu.Lock()
	r.sequence++
	state, draining := "ready", r.draining
	if draining {
		state = "draining"
	}
	heartbeat := map[string]any{
		"backend": r.Service, "address": r.Address, "zone": r.Hall, "slots": replicaSlots, "state": state, "call_seq": r.sequence,
		"cold_left_ms": r.coldRemaining(time.Now()).Milliseconds(),
	}
	if r.Version != "" {
		heartbeat["config_version"] = r.Version
	}
	if !r.hidesStartTime {
		heartbeat["born"] = r.born.UnixMilli()
	}
	body, err := json.Marshal(heartbeat)
	id, born := r.incarnationID(), r.born
	r.mu.Unlock()
	if err != nil {
		return false
	}
	ok := r.post(ctx, "/v1/Replicas.Heartbeat/"+id, body)
	if ok && draining {
		r.recordDrainAcked(born)
	}
	return ok
}

// recordDrainAcked records when draining was first acknowledged to the incarnation that started at born,
// unless another one runs now, which does not drain.
func (r *Replica) recordDrainAcked(born time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born.Equal(born) && r.drainAckedAt.IsZero() {
		r.drainAckedAt = time.Now()
	}
}

// HideStartTime makes the replica omit its start time from heartbeats.
func (r *Replica) HideStartTime() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hidesStartTime = true
}

// Leave announces that the replica is about to stop. It reports whether a node
// acknowledged it.
func (r *Replica) Leave(ctx context.Context) bool {
	r.mu.Lock()
	id := r.incarnationID()
	r.mu.Unlock()
	return r.post(ctx, "/v1/Replicas.Leave/"+id, nil)
}

// post calls the control addresses in turn until one acknowledges.
func (r *Replica) post(ctx context.Context, path string, body []byte) bool {
	for _, a := range r.ControlAddresses() {
		if r.postTo(ctx, "http://"+a+path, body) {
			return true
		}
	}
	return false
}

// postTo makes one call. It reports whether the call was acknowledged.
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

// Drain announces in a heartbeat that the replica is draining. It reports whether that was
// acknowledged. The replica still serves requests.
func (r *Replica) Drain(ctx context.Context) bool {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.SendHeartbeat(ctx)
}

// DrainAckedAt returns when draining was acknowledged; zero before.
func (r *Replica) DrainAckedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainAckedAt
}

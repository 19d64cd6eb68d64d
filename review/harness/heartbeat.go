package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreignID is the ID in the path of the foreign heartbeat: two bytes that are no text.
const foreignID = "%FF%FE"

// settleTime is how long a deployment runs before a case looks at it.
const settleTime = 10 * time.Second

// begin starts a deployment with a first configuration and three sound replicas, and waits until it
// serves. The caller must close the deployment.
func begin(ctx context.Context, r *record, routes ...route) (*deployment, error) {
	d, err := newDeployment(r, 5, 3)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return d, err
	}
	if _, err := d.put(ctx, newConfiguration(1, routes...), 0, 20*time.Second); err != nil {
		return d, err
	}
	return d, d.awaitReady(ctx)
}

// runHeartbeat: another writer sends a heartbeat whose ID are bytes that can't be read, one to each
// node that serves control. A configuration that is acknowledged later must come into force.
func runHeartbeat(ctx context.Context, r *record, trouble bool) error {
	old, added := newRoute("seats", "safe"), newRoute("rides", "safe")
	d, err := begin(ctx, r, old)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	for i := range 3 {
		if err := d.newReplica(i).run(ctx); err != nil {
			return err
		}
	}
	sleep(ctx, settleTime)
	for name, status := range d.callAll(ctx, "before", old.PathPrefix+"1") {
		if status != http.StatusOK {
			return fmt.Errorf("%s does not serve before the disruption: status %d", name, status)
		}
	}
	if trouble {
		if err := d.sendForeignHeartbeats(ctx); err != nil {
			return err
		}
	}
	sleep(ctx, 2*time.Second)
	acked, err := d.put(ctx, newConfiguration(2, old, added), 1, 20*time.Second)
	if err != nil {
		return err
	}
	sleep(ctx, time.Until(acked.Add(configApply+contactTime)))
	wrong := 0
	for range 5 {
		for _, status := range d.callAll(ctx, "after", added.PathPrefix+"1") {
			if status == http.StatusNotFound {
				wrong++
			}
		}
		sleep(ctx, time.Second)
	}
	d.callAll(ctx, "old", old.PathPrefix+"1")
	if wrong > 0 {
		return broken("%d of 15 requests on a route of configuration 2 got 404, as only configuration 1 allows, %v and more after the acknowledgement of configuration 2",
			wrong, configApply+contactTime)
	}
	return nil
}

// sendForeignHeartbeats sends a heartbeat of no replica to each core machine, at the interval at
// which replicas send theirs.
func (d *deployment) sendForeignHeartbeats(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{
		"backend": "unnamed-service", "address": d.subnet + ".200:9", "zone": zones[0], "config_version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "call_seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	for _, h := range d.class(classCore) {
		status, answer := d.order(ctx, http.MethodPost, h, "/v1/Replicas.Heartbeat/"+foreignID, body)
		d.r.printf("POST /v1/Replicas.Heartbeat/%s %s at %s: %d %q", foreignID, body, h.name, status, answer)
		sleep(ctx, heartbeatInterval)
	}
	return nil
}

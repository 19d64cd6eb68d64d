package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// surplusOneIn is the share of the answers after which a faulty replica sends more, one in so
	// many: the 0.02 that the bench has as its default.
	surplusOneIn = 50
	// surplusTime is how long the replica is faulty.
	surplusTime = 5 * time.Second
	// loadTime is how long the clients send; the replica is faulty in the middle of it.
	loadTime = 15 * time.Second
	// surplusClients is the number of clients.
	surplusClients = 6
)

// surplusAnswer is what a faulty replica sends more after a whole answer: a rejection of no request.
const surplusAnswer = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// runSurplus: a faulty replica sends more after some of its whole answers. No request that is not
// idempotent may run twice.
func runSurplus(ctx context.Context, r *record, trouble bool) error {
	x := newRoute("rides", "non_idempotent")
	d, err := begin(ctx, r, x)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faulty atomic.Bool
	var replicas []*replica
	for i := range 3 {
		p := d.newReplica(i)
		if i == 0 && trouble {
			p.Surplus = func(answered int) []byte {
				if answered%surplusOneIn != 0 || !faulty.Load() {
					return nil
				}
				r.printf("%s sends more after its answer %d", p.ID, answered)
				return []byte(surplusAnswer)
			}
		}
		if err := p.run(ctx); err != nil {
			return err
		}
		replicas = append(replicas, p)
	}
	sleep(ctx, settleTime)
	time.AfterFunc((loadTime-surplusTime)/2, func() { faulty.Store(true) })
	time.AfterFunc((loadTime+surplusTime)/2, func() { faulty.Store(false) })
	ids, served := d.load(ctx, x.PathPrefix)
	r.printf("%d requests sent, %d served", len(ids), served)
	if served*2 < len(ids) {
		return fmt.Errorf("only %d of %d requests were served", served, len(ids))
	}
	return d.checkRuns(ids, replicas)
}

// load sends requests from all clients for loadTime. It returns their IDs and how many were served.
func (d *deployment) load(ctx context.Context, prefix string) (ids []string, served int) {
	var mu sync.Mutex // guards the results
	var all sync.WaitGroup
	fronts := d.class(classFront)
	end := time.Now().Add(loadTime)
	for i := range surplusClients {
		all.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				status, body := d.call(ctx, fronts[i%len(fronts)], id, prefix+"1")
				d.r.printf("request %s at %s: %d %q", id, fronts[i%len(fronts)].name, status, body)
				mu.Lock()
				ids = append(ids, id)
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return ids, served
}

// checkRuns reports the requests that ran more than once.
func (d *deployment) checkRuns(ids []string, replicas []*replica) error {
	twice := 0
	for _, id := range ids {
		runs := 0
		for _, p := range replicas {
			runs += p.runsOf(id)
		}
		if runs > 1 {
			twice++
			d.r.printf("request %s ran %d times", id, runs)
		}
	}
	if twice > 0 {
		return broken("%d requests that are not idempotent ran more than once", twice)
	}
	return nil
}

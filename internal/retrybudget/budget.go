package retrybudget

import (
	"context"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// requestTimeout bounds the time to get grants, for which a request waits: some round trips between
// regions.
const requestTimeout = 200 * time.Millisecond

// minAskInterval is the minimum interval at which the leading keeper is asked while it grants less
// than is wanted.
const minAskInterval = 50 * time.Millisecond

// Budget is a router's part of the budget. It is safe for concurrent use. Set the exported fields
// before the first call.
type Budget struct {
	Limit
	Clock sumachead.Clock
	// Request asks the leading keeper for grants.
	Request func(ctx context.Context, r *wire.RetryRequest) (*wire.RetryReply, error)

	mu       sync.Mutex // guards services
	services map[string]*account
}

// account is what a router knows of one service.
type account struct {
	credits credits
	// grants are the unused grants by the time until which a retry may be sent, the earliest first.
	grants []sumachead.BootTime
	// deniedUntil is until when the leading keeper is not asked, because it grants nothing.
	deniedUntil sumachead.BootTime
	// next collects the requests that wait for grants while another call to the leading keeper is
	// in flight; nil if none wait.
	next   *round
	asking bool
	usedAt sumachead.BootTime
}

// round is one call to the leading keeper.
type round struct {
	wanted uint32
	done   chan struct{}
}

// RecordRequest records that a caller sent a request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service, b.Clock.Now()).credits.add(1)
}

// Take pays for a retry of a request for a service and reports whether there was a credit or a grant,
// which it asks the leading keeper for if necessary. The retry must be sent by sendBy.
func (b *Budget) Take(ctx context.Context, service string) (sendBy sumachead.BootTime, ok bool) {
	sendBy, r, mustAsk := b.takeOrJoin(service)
	if r == nil {
		return sendBy, sendBy != 0
	}
	if mustAsk {
		go b.ask(service)
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return 0, false
	}
	sendBy = b.takeGranted(service)
	return sendBy, sendBy != 0
}

// Denied returns how long the leading keeper grants no retries of a service, as far as known.
func (b *Budget) Denied(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	return max(b.account(service, now).deniedUntil.Sub(now), 0)
}

// Expire drops the services that are no longer used.
func (b *Budget) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for name, a := range b.services {
		if now.Sub(a.usedAt) > b.Window && !a.asking {
			delete(b.services, name)
		}
	}
}

// account returns the account of a service without what has expired. The caller holds mu.
func (b *Budget) account(service string, now sumachead.BootTime) *account {
	if b.services == nil {
		b.services = make(map[string]*account)
	}
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	a.usedAt = now
	a.credits.advance(b.part(creditPart), now)
	for len(a.grants) > 0 && a.grants[0] <= now {
		a.grants = a.grants[1:]
	}
	return a
}

// take spends a grant or credits; it returns 0 if there are too few. The caller holds mu.
func (b *Budget) take(a *account, now sumachead.BootTime) (sendBy sumachead.BootTime) {
	if len(a.grants) > 0 {
		sendBy, a.grants = a.grants[0], a.grants[1:]
		return sendBy
	}
	if cost, ok := b.cost(); ok && a.credits.take(cost) {
		return now.Add(b.part(grantPart))
	}
	return 0
}

// takeOrJoin spends a grant or credits, or else joins the next call to the leading keeper, which the
// caller must make if mustAsk is set. The round is nil if the leading keeper is not to be asked.
func (b *Budget) takeOrJoin(service string) (sendBy sumachead.BootTime, r *round, mustAsk bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	a := b.account(service, now)
	if sendBy := b.take(a, now); sendBy != 0 {
		return sendBy, nil, false
	}
	if now < a.deniedUntil {
		return 0, nil, false
	}
	if a.next == nil {
		a.next = &round{done: make(chan struct{})}
	}
	a.next.wanted++
	mustAsk = !a.asking
	a.asking = true
	return 0, a.next, mustAsk
}

// takeGranted spends what there is after a round.
func (b *Budget) takeGranted(service string) sumachead.BootTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	return b.take(b.account(service, now), now)
}

// ask calls the leading keeper as long as requests wait for grants.
func (b *Budget) ask(service string) {
	for {
		r, request, sentAt := b.nextRound(service)
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		reply, err := b.Request(ctx, request)
		cancel()
		b.apply(service, r, sentAt, reply, err)
		close(r.done)
	}
}

// nextRound begins the call for the requests that wait; the round is nil if there are none.
func (b *Budget) nextRound(service string) (r *round, request *wire.RetryRequest, sentAt sumachead.BootTime) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	a := b.account(service, now)
	r, a.next = a.next, nil
	if r == nil {
		a.asking = false
		return nil, nil, 0
	}
	return r, &wire.RetryRequest{Service: service, Wanted: r.wanted, Requests: a.credits.drain()}, now
}

// apply applies the reply of the leading keeper to a round.
func (b *Budget) apply(service string, r *round, sentAt sumachead.BootTime, reply *wire.RetryReply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	a := b.account(service, now)
	granted := min(reply.GetGranted(), r.wanted)
	for range granted {
		a.grants = append(a.grants, sentAt.Add(b.part(grantPart)))
	}
	if err == nil && granted == r.wanted {
		return
	}
	// Asking again soon hands the router's credits over before they expire.
	wait := b.part(creditPart) / 2
	if err == nil {
		wait = min(wait, max(time.Duration(reply.GetWaitMillis())*time.Millisecond, minAskInterval))
	}
	a.deniedUntil = now.Add(wait)
}

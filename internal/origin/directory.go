package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/outbox"
	"sumachead/internal/rpc"
)

const (
	// copies is the number of data halls in which an origin is recorded: the router's own, which it
	// reaches in most partitions, and another one, in case the first is lost.
	copies = 2
	// recordTimeout limits a call with records, and maxRecordsPerCall the number of records in it.
	recordTimeout     = 300 * time.Millisecond
	maxRecordsPerCall = 64
	// findTimeout limits a query: many round trips between data halls.
	findTimeout = 250 * time.Millisecond
	// holderBackoff is how long a holder that did not reply is replaced by its substitute.
	holderBackoff = time.Second
	// holdersTTL is how long a list of holders is used before it is computed again.
	holdersTTL = time.Second
)

// Directory records and finds the origins of streams for one router. Set the exported fields before
// the first call; it is safe for concurrent use.
type Directory struct {
	Hall sumachead.HallID
	// Holders returns the processes that may hold origins.
	Holders func() []Holder
	Pool    *rpc.Pool

	// local holds the origins of the streams that began or were resumed here.
	local    Table
	records  outbox.Outbox[string, record]
	initOnce sync.Once

	mu sync.Mutex // guards the fields below
	// holders is the list that is used until holdersExpireAt.
	holders         []Holder
	holdersExpireAt time.Time
	// backoffUntil is until when holders are replaced by their substitutes, by address.
	backoffUntil map[string]time.Time
}

// record is an origin on its way to a holder.
type record struct {
	key    Key
	origin Origin
	until  time.Time
	// substitute is the address to send it to if the holder does not reply; empty for none.
	substitute string
}

// Record records the origin of a stream until a time, and does not wait until that is done.
func (d *Directory) Record(k Key, o Origin, until time.Time) {
	d.initOnce.Do(func() { d.records.MaxBatch, d.records.Send = maxRecordsPerCall, d.send })
	now := time.Now()
	d.local.Put(k, o, until, now)
	for _, h := range chooseHalls(rankHolders(k, d.currentHolders(now)), d.Hall) {
		to, substitute := h.first, h.substitute
		if substitute != "" && d.backedOff(to, now) {
			to, substitute = substitute, ""
		}
		d.records.Put(to, record{k, o, until, substitute})
	}
}

// chooseHalls returns the data halls in which an origin is recorded.
func chooseHalls(ranked []hallHolders, own sumachead.HallID) []hallHolders {
	if i := slices.IndexFunc(ranked, func(h hallHolders) bool { return h.hall == own }); i > 0 {
		mine := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, mine)
	}
	return ranked[:min(len(ranked), copies)]
}

// send sends records to a holder, or to their substitutes if it does not reply. A record that
// reaches neither is dropped.
func (d *Directory) send(to string, batch []record) (retry []record, delay time.Duration) {
	now := time.Now()
	b := &wire.StreamOrigins{}
	for _, r := range batch {
		b.Origins = append(b.Origins, toWire(r.key, r.origin, r.until, now))
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := rpc.Call[wire.Empty](ctx, d.Pool.Get(to), Name+".Record", b); err == nil {
		return nil, 0
	}
	d.backOff(to, time.Now())
	for _, r := range batch {
		if r.substitute != "" {
			d.records.Put(r.substitute, record{r.key, r.origin, r.until, ""})
		}
	}
	return nil, 0
}

// Result is the result of a query for an origin.
type Result int

const (
	// Unknown means that all holders have replied, and none knows the origin.
	Unknown Result = iota
	// Unreachable means that some holders have not replied, and the others do not know the origin.
	Unreachable
	// Found means that the origin is known.
	Found
)

// Find returns the origin of a stream. It asks the holders in all data halls, and their substitutes
// if these do not know it.
func (d *Directory) Find(ctx context.Context, k Key) (Origin, Result) {
	now := time.Now()
	if o, _, ok := d.local.Get(k, now); ok {
		return o, Found
	}
	var first, substitutes []string
	for _, h := range rankHolders(k, d.currentHolders(now)) {
		first = append(first, h.first)
		if h.substitute != "" {
			substitutes = append(substitutes, h.substitute)
		}
	}
	o, result := d.query(ctx, first, k)
	if result == Found || len(substitutes) == 0 {
		return o, result
	}
	o, second := d.query(ctx, substitutes, k)
	return o, max(result, second)
}

// query asks holders at the same time and returns the first origin that one of them knows.
func (d *Directory) query(ctx context.Context, holders []string, k Key) (Origin, Result) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		origin *wire.StreamOrigin
		err    error
	}
	answers := make(chan answer, len(holders))
	for _, h := range holders {
		go func() {
			reply, err := rpc.Call[wire.OriginReply](ctx, d.Pool.Get(h), Name+".Find", &wire.OriginQuery{Stream: k[:]})
			answers <- answer{reply.GetOrigin(), err}
		}()
	}
	result := Unknown
	for range holders {
		switch a := <-answers; {
		case a.err != nil:
			result = Unreachable
		case a.origin != nil:
			return Origin{a.origin.GetService(), a.origin.GetSoftware()}, Found
		}
	}
	return Origin{}, result
}

// currentHolders returns the holders in use. The list must not be changed.
func (d *Directory) currentHolders(now time.Time) []Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.holdersExpireAt) {
		d.holders, d.holdersExpireAt = limitHolders(d.Holders()), now.Add(holdersTTL)
	}
	return d.holders
}

// backOff replaces a holder by its substitute for a while.
func (d *Directory) backOff(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backoffUntil == nil {
		d.backoffUntil = make(map[string]time.Time)
	}
	d.backoffUntil[address] = now.Add(holderBackoff)
}

// backedOff reports whether a holder is replaced at present.
func (d *Directory) backedOff(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	to, ok := d.backoffUntil[address]
	if ok && !now.Before(to) {
		delete(d.backoffUntil, address)
		return false
	}
	return ok
}

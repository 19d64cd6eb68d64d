package keeperclient

import (
	"context"
	"errors"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/config"
)

// hallSeparator separates the data hall that owns a key, or the id of a top-up,
// from the rest of it.
const hallSeparator = "~"

// HallKey returns a key that belongs to the hall.
func HallKey(h sumachead.HallID, rest string) string { return string(h) + hallSeparator + rest }

// HallOf returns the hall to which a key belongs, or "". A prefix that is not the
// name of a keeper's hall is just a part of the key.
func HallOf(key string, keepers []config.Keeper) sumachead.HallID {
	name, _, ok := strings.Cut(key, hallSeparator)
	if !ok {
		return ""
	}
	for _, k := range keepers {
		if string(k.Hall) == name {
			return k.Hall
		}
	}
	return ""
}

// JournalKeeper returns the keeper that holds the journal of a hall: the first of
// that hall in the configured list, which is the same on all nodes.
func JournalKeeper(h sumachead.HallID, keepers []config.Keeper) (config.Keeper, bool) {
	for _, k := range keepers {
		if k.Hall == h {
			return k, true
		}
	}
	return config.Keeper{}, false
}

// CallHall calls a method on the keeper of a hall's journal, and retries until
// ctx is done.
func CallHall[R any](ctx context.Context, c *Client, h sumachead.HallID, method string, args proto.Message) (*R, error) {
	k, ok := JournalKeeper(h, c.Keepers)
	if !ok {
		return nil, trace.NotFound("no keeper in hall %q", h)
	}
	for {
		reply, err := callKeeperWithTimeout[R](ctx, c, attemptTimeout, k, method, args)
		if err == nil {
			return reply, nil
		}
		if awaitRetry(ctx) != nil {
			return nil, trace.Wrap(errors.Join(ctx.Err(), err), "calling %s in hall %s", method, h)
		}
	}
}

// Reserve implements sumachead.Ledger. A key that belongs to a hall is claimed
// in the hall's journal, any other in the ledger.
func (c *Client) Reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.LedgerReply, error) {
	if h := HallOf(r.GetKey(), c.Keepers); h != "" {
		return CallHall[wire.LedgerReply](ctx, c, h, "Hall.Reserve", r)
	}
	return Call[wire.LedgerReply](ctx, c, GroupLedger, "Ledger.Reserve", r)
}

// Reassign implements sumachead.Ledger.
func (c *Client) Reassign(ctx context.Context, r *wire.ReassignRequest) (*wire.LedgerReply, error) {
	if r.GetHall() != "" {
		return CallHall[wire.LedgerReply](ctx, c, sumachead.HallID(r.GetHall()), "Hall.Reassign", r)
	}
	return Call[wire.LedgerReply](ctx, c, GroupLedger, "Ledger.Reassign", r)
}

// Settle implements sumachead.Ledger. Each settlement is sent to the journal or
// ledger that has its entry.
func (c *Client) Settle(ctx context.Context, b *wire.SettleBatch) error {
	parts := make(map[sumachead.HallID]*wire.SettleBatch)
	for _, s := range b.GetSettles() {
		h := sumachead.HallID(s.GetHall())
		if parts[h] == nil {
			parts[h] = &wire.SettleBatch{}
		}
		parts[h].Settles = append(parts[h].Settles, s)
	}
	var errs []error
	for h, part := range parts {
		errs = append(errs, c.settlePart(ctx, h, part))
	}
	return errors.Join(errs...)
}

func (c *Client) settlePart(ctx context.Context, h sumachead.HallID, b *wire.SettleBatch) error {
	if h != "" {
		_, err := CallHall[wire.LedgerReplies](ctx, c, h, "Hall.Settle", b)
		return err
	}
	_, err := Call[wire.LedgerReplies](ctx, c, GroupLedger, "Ledger.Settle", b)
	return err
}

// Merge merges the journal records of a hall into the ledger.
func (c *Client) Merge(ctx context.Context, m *wire.MergeRequest) error {
	_, err := Call[wire.Empty](ctx, c, GroupLedger, "Ledger.Merge", m)
	return err
}

// Grant requests tokens for a hall's journal from the ledger.
func (c *Client) Grant(ctx context.Context, g *wire.Grant) (*wire.LedgerReply, error) {
	return Call[wire.LedgerReply](ctx, c, GroupLedger, "Ledger.Grant", g)
}

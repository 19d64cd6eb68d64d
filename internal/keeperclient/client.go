// Package keeperclient is the client of the keepers for routers, agents and the
// command-line tool. A [Client] finds the leader of a group, follows changes of
// leadership, and retries a call until its context is done: all calls to keepers
// are idempotent.
package keeperclient

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/internal/config"
	"sumachead/internal/loop"
	"sumachead/internal/raft"
	"sumachead/internal/rpc"
)

// The Raft groups of the keepers.
const (
	GroupSettings sumachead.GroupID = "settings"
	GroupLedger   sumachead.GroupID = "ledger"
)

// Groups returns the ids of all groups.
func Groups() []sumachead.GroupID { return []sumachead.GroupID{GroupSettings, GroupLedger} }

// notLeaderPrefix starts the error text of a keeper that is not the leader; the
// leader's id follows. net/rpc transmits errors only as text.
const notLeaderPrefix = "not_leader:"

const (
	// attemptTimeout bounds a call to one keeper, which may hang.
	attemptTimeout = 700 * time.Millisecond
	// retryDelay separates rounds of calls in which no keeper was the leader.
	retryDelay = 30 * time.Millisecond
)

// EncodeError converts err to the form in which a keeper sends it.
func EncodeError(err error) error {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) {
		return errors.New(notLeaderPrefix + nl.Leader)
	}
	return err
}

func decodeError(err error) error {
	if err == nil {
		return nil
	}
	if leader, ok := strings.CutPrefix(err.Error(), notLeaderPrefix); ok {
		return &raft.NotLeaderError{Leader: leader}
	}
	return err
}

// IsNotLeader reports whether an error received from a keeper means that the
// keeper is not the leader. The call then had no effect.
func IsNotLeader(err error) bool {
	var nl *raft.NotLeaderError
	return errors.As(decodeError(err), &nl)
}

// LeaderHint returns the leader that a not-leader error names, or "".
func LeaderHint(err error) string {
	var nl *raft.NotLeaderError
	if errors.As(decodeError(err), &nl) {
		return nl.Leader
	}
	return ""
}

// Client calls the keepers. Set the exported fields before the first call.
type Client struct {
	Keepers []config.Keeper
	Pool    *rpc.Pool
	// Hall is the caller's own data hall, or empty. Its keeper is tried first
	// while the leader is unknown.
	Hall sumachead.HallID

	mu         sync.Mutex // guards leaders and nextOffset
	leaders    map[sumachead.GroupID]string
	nextOffset int
}

// Call calls a method on the leader of a group, and retries until ctx is done.
func Call[R any](ctx context.Context, c *Client, g sumachead.GroupID, method string, args proto.Message) (*R, error) {
	return CallWithTimeout[R](ctx, c, attemptTimeout, g, method, args)
}

// CallWithTimeout is like Call, but with the given timeout for each attempt.
func CallWithTimeout[R any](ctx context.Context, c *Client, timeout time.Duration, g sumachead.GroupID, method string, args proto.Message) (*R, error) {
	for attempts := 1; ; attempts++ {
		k := c.nextKeeper(g)
		reply, err := callKeeperWithTimeout[R](ctx, c, timeout, k, method, args)
		if err == nil {
			c.setLeader(g, k.ID)
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(errors.Join(ctx.Err(), err), "calling %s", method)
		}
		c.updateLeader(g, k.ID, err)
		if attempts%len(c.Keepers) != 0 {
			continue
		}
		if awaitRetry(ctx) != nil {
			return nil, trace.Wrap(errors.Join(ctx.Err(), err), "calling %s", method)
		}
	}
}

// awaitRetry waits for retryDelay. It returns the error of ctx if that is done.
func awaitRetry(ctx context.Context) error {
	loop.Sleep(ctx, retryDelay)
	return ctx.Err()
}

func callKeeperWithTimeout[R any](ctx context.Context, c *Client, timeout time.Duration, k config.Keeper, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return CallKeeper[R](ctx, c, k, method, args)
}

// CallKeeper calls a method on one keeper, without retries.
func CallKeeper[R any](ctx context.Context, c *Client, k config.Keeper, method string, args proto.Message) (*R, error) {
	reply, err := rpc.Call[R](ctx, c.Pool.Get(k.Address), method, args)
	return reply, decodeError(err)
}

// updateLeader updates what is known about the leader of a group after a failed
// call.
func (c *Client) updateLeader(g sumachead.GroupID, called string, err error) {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) && nl.Leader != "" && nl.Leader != called {
		c.setLeader(g, nl.Leader)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[g] == called {
		delete(c.leaders, g)
		c.nextOffset = 0
		return
	}
	c.nextOffset++
}

func (c *Client) setLeader(g sumachead.GroupID, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = make(map[sumachead.GroupID]string)
	}
	c.leaders[g] = id
}

// nextKeeper returns the keeper to call: the known leader, or else the next one in
// round-robin order.
func (c *Client) nextKeeper(g sumachead.GroupID) config.Keeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.Keepers {
		if k.ID == c.leaders[g] {
			return k
		}
	}
	// Round robin starts with the caller's own hall.
	first := max(slices.IndexFunc(c.Keepers, func(k config.Keeper) bool { return k.Hall == c.Hall }), 0)
	return c.Keepers[(first+c.nextOffset)%len(c.Keepers)]
}

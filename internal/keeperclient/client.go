// Package keeperclient calls the keepers from routers, agents and the tool. A
// [Client] finds the leader of a group, follows its changes, and repeats a call
// until its context ends: all calls to keepers may be repeated.
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

// The groups of keepers.
const (
	GroupSettings sumachead.GroupID = "settings"
	GroupLedger   sumachead.GroupID = "ledger"
)

// Groups lists the groups.
func Groups() []sumachead.GroupID { return []sumachead.GroupID{GroupSettings, GroupLedger} }

// notLeaderPrefix marks the error text of a keeper that does not lead; the
// leader's id follows. net/rpc carries errors as text only.
const notLeaderPrefix = "not_leader:"

const (
	// tryTimeout bounds a call to one keeper, which may be frozen.
	tryTimeout = 700 * time.Millisecond
	// retryPause separates rounds in which no keeper led.
	retryPause = 30 * time.Millisecond
)

// EncodeError returns err as a keeper sends it.
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

// IsNotLeader reports whether an error, as a keeper sent it, says that another
// one leads: nothing was done.
func IsNotLeader(err error) bool {
	var nl *raft.NotLeaderError
	return errors.As(decodeError(err), &nl)
}

// Leader returns the leader that such an error names; empty for none.
func Leader(err error) string {
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
	// Hall is the caller's own data hall: its keeper is asked first when the
	// leader is not known. Empty for none.
	Hall sumachead.HallID

	mu      sync.Mutex // guards leaders and next
	leaders map[sumachead.GroupID]string
	next    int
}

// Call runs a method at the leader of a group. It tries until ctx ends.
func Call[R any](ctx context.Context, c *Client, g sumachead.GroupID, method string, args proto.Message) (*R, error) {
	return CallWithin[R](ctx, c, tryTimeout, g, method, args)
}

// CallWithin is like Call with another bound for one try.
func CallWithin[R any](ctx context.Context, c *Client, try time.Duration, g sumachead.GroupID, method string, args proto.Message) (*R, error) {
	for tries := 1; ; tries++ {
		k := c.target(g)
		reply, err := callKeeperWithin[R](ctx, c, try, k, method, args)
		if err == nil {
			c.setLeader(g, k.ID)
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(errors.Join(ctx.Err(), err), "calling %s", method)
		}
		c.learn(g, k.ID, err)
		if tries%len(c.Keepers) != 0 {
			continue
		}
		if pause(ctx) != nil {
			return nil, trace.Wrap(errors.Join(ctx.Err(), err), "calling %s", method)
		}
	}
}

// pause separates two tries; it returns the error of a ctx that has ended.
func pause(ctx context.Context) error {
	loop.Sleep(ctx, retryPause)
	return ctx.Err()
}

func callKeeperWithin[R any](ctx context.Context, c *Client, try time.Duration, k config.Keeper, method string, args proto.Message) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, try)
	defer cancel()
	return CallKeeper[R](ctx, c, k, method, args)
}

// CallKeeper runs a method at one keeper, once.
func CallKeeper[R any](ctx context.Context, c *Client, k config.Keeper, method string, args proto.Message) (*R, error) {
	reply, err := rpc.Call[R](ctx, c.Pool.Get(k.Address), method, args)
	return reply, decodeError(err)
}

// learn notes what a failed call says of the leader.
func (c *Client) learn(g sumachead.GroupID, tried string, err error) {
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) && nl.Leader != "" && nl.Leader != tried {
		c.setLeader(g, nl.Leader)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[g] == tried {
		delete(c.leaders, g)
		c.next = 0
		return
	}
	c.next++
}

func (c *Client) setLeader(g sumachead.GroupID, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = make(map[sumachead.GroupID]string)
	}
	c.leaders[g] = id
}

// target returns the keeper to try: the known leader, else the next in turn.
func (c *Client) target(g sumachead.GroupID) config.Keeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.Keepers {
		if k.ID == c.leaders[g] {
			return k
		}
	}
	// In turn, beginning with the own hall's.
	own := max(slices.IndexFunc(c.Keepers, func(k config.Keeper) bool { return k.Hall == c.Hall }), 0)
	return c.Keepers[(own+c.next)%len(c.Keepers)]
}

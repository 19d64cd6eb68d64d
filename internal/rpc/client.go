package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/internal/tcp"
)

const (
	// dialTimeout is some round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// handshakeTimeout bounds what follows on a new connection: TLS, or the words
	// with a relay. Small hosts under load take some hundred milliseconds.
	handshakeTimeout = time.Second
	// silentFor is how long a connection with an overdue call may bring no
	// reply at all before it is given up and dialled again.
	silentFor = 2 * time.Second
	// redialAfter keeps a dead address from being dialled on each call. It is short
	// beside the time in which a process starts: who is back should be reached.
	redialAfter = 15 * time.Millisecond
	// idleFor is how long a connection rests that nobody uses: longer than the intervals at
	// which processes call each other that need each other, and much shorter than the time
	// after which a router of a large fleet asks the same one of many others again.
	idleFor = 8 * time.Second
)

// ErrNotSent marks a call that never left this process: it had no effect.
var ErrNotSent = errors.New("call was not sent")

// IsRefused reports whether a call ended since no process listens at the address. A
// firewall that refuses connections in a host's name looks the same.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Client calls one address.
type Client struct {
	Address string
	TLS     *tls.Config
	// From is the local IP address to dial from; nil for any.
	From net.IP
	// Relay is the address of a relay to connect through; empty for none.
	Relay string

	mu       sync.Mutex // guards the fields below
	conn     *connection
	lastGood time.Time
	dialAt   time.Time
	dialErr  error
	dialing  chan struct{}
	// calls are those under way, and usedAt is when the last one began or ended.
	calls  int
	usedAt time.Time
}

// Call runs a method and waits for its reply or the end of ctx. A failure to
// connect wraps [ErrNotSent]. The reply is new for each call, since one that
// was given up may still be written to.
func Call[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	reply := new(R)
	if err := c.call(ctx, method, args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// connection is one connection of a client.
type connection struct {
	*rpc.Client
	// dropped: this side closed it, so that calls under way end as if they had
	// not been sent.
	dropped atomic.Bool
}

// end closes the connection from this side; nil is none. It may wait for the other side to read
// its last words, so no lock is held.
func (c *connection) end() {
	if c != nil {
		c.dropped.Store(true)
		_ = c.Close()
	}
}

func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	c.use(1)
	defer c.use(-1)
	for {
		conn, err := c.connect(ctx)
		if err != nil {
			return errors.Join(ErrNotSent, err)
		}
		call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
		case <-ctx.Done():
			c.overdue(conn)
			return trace.Wrap(ctx.Err(), "calling %s at %s", method, c.Address)
		}
		if errors.Is(call.Error, rpc.ErrShutdown) && !conn.dropped.Load() {
			// The other side had closed it before: nothing was sent.
			c.drop(conn)
			continue
		}
		return c.finish(conn, call.Error)
	}
}

// use counts calls under way.
func (c *Client) use(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += n
	c.usedAt = time.Now()
}

// tidy ends the connection if nobody has used it for long.
func (c *Client) tidy(now time.Time) {
	c.mu.Lock()
	var conn *connection
	if c.calls == 0 && now.Sub(c.usedAt) > idleFor {
		conn, c.conn = c.conn, nil
	}
	c.mu.Unlock()
	conn.end()
}

// finish notes the health of the connection that a call ended on.
func (c *Client) finish(conn *connection, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.mu.Lock()
		c.lastGood = time.Now()
		c.mu.Unlock()
		return err
	}
	c.drop(conn)
	return trace.Wrap(err, "connection to %s", c.Address)
}

// overdue gives up a connection that has gone silent.
func (c *Client) overdue(conn *connection) {
	c.mu.Lock()
	silent := time.Since(c.lastGood) > silentFor
	c.mu.Unlock()
	if silent {
		c.drop(conn)
	}
}

func (c *Client) drop(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.end()
}

// connect returns the open connection or dials one; concurrent callers share
// a dial.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		if c.conn != nil {
			conn := c.conn
			c.mu.Unlock()
			return conn, nil
		}
		if c.dialErr != nil && time.Since(c.dialAt) < redialAfter {
			err := c.dialErr
			c.mu.Unlock()
			return nil, err
		}
		wait := c.dialing
		if wait == nil {
			wait = make(chan struct{})
			c.dialing = wait
			go c.dial(wait)
		}
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err(), "dialling %s", c.Address)
		}
	}
}

func (c *Client) dial(done chan struct{}) {
	conn, err := c.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialAt = time.Now()
	c.dialErr = err
	c.dialing = nil
	if err == nil {
		c.lastGood = time.Now()
		c.conn = &connection{Client: rpc.NewClientWithCodec(&clientCodec{newStream(conn)})}
	}
	close(done)
}

func (c *Client) open() (net.Conn, error) {
	conn, err := c.openPlain()
	if err != nil || c.TLS == nil {
		return conn, err
	}
	return c.secure(conn)
}

// openPlain connects to the address, or to the relay that passes on to it.
func (c *Client) openPlain() (net.Conn, error) {
	d := tcp.Dialer(dialTimeout)
	if c.From != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.From}
	}
	if c.Relay == "" {
		return tcp.DialHedged(context.Background(), d, c.Address)
	}
	conn, err := tcp.DialHedged(context.Background(), d, c.Relay)
	if err != nil {
		return nil, err
	}
	if err := requestRelay(conn, c.Address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// secure puts TLS on a connection, with the name of the address.
func (c *Client) secure(conn net.Conn) (net.Conn, error) {
	config := c.TLS
	if config.ServerName == "" && !config.InsecureSkipVerify {
		host, _, err := net.SplitHostPort(c.Address)
		if err != nil {
			_ = conn.Close()
			return nil, trace.Wrap(err)
		}
		config = config.Clone()
		config.ServerName = host
	}
	t := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return t, nil
}

// Close ends the connection; a later call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	conn.end()
}

// Pool shares clients by address.
type Pool struct {
	TLS  *tls.Config
	From net.IP

	mu      sync.Mutex // guards clients
	clients map[way]*Client
}

// Get returns the client of an address.
func (p *Pool) Get(address string) *Client { return p.GetThrough("", address) }

// GetThrough returns the client of an address that is connected to through a
// relay; an empty relay means directly.
func (p *Pool) GetThrough(relay, address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = make(map[way]*Client)
	}
	w := way{relay, address}
	c := p.clients[w]
	if c == nil {
		c = &Client{Address: address, TLS: p.TLS, From: p.From, Relay: relay}
		p.clients[w] = c
	}
	return c
}

// Tidy ends connections that nobody has used for long; a later call dials again. It is to be called
// now and then: with many others that are called seldom, each by chance, a process would come to
// hold a connection to every one of them.
func (p *Pool) Tidy(now time.Time) {
	p.mu.Lock()
	clients := slices.Collect(maps.Values(p.clients))
	p.mu.Unlock()
	for _, c := range clients {
		c.tidy(now)
	}
}

// Open returns how many connections are open.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.clients {
		c.mu.Lock()
		if c.conn != nil {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// way is how an address is reached.
type way struct{ relay, address string }

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

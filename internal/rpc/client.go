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
	// dialTimeout is several round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// handshakeTimeout is the timeout of the TLS or relay handshake on a new connection.
	// Small hosts under load need several hundred milliseconds.
	handshakeTimeout = time.Second
	// silenceTimeout is how long no reply may arrive on a connection with an overdue
	// call before the connection is dropped and dialed again.
	silenceTimeout = 2 * time.Second
	// redialInterval is the minimum time between a failed dial and the next one, so that
	// not every call dials an unreachable address. It is short compared to the start of a
	// process, so that a restarted one is reached soon.
	redialInterval = 15 * time.Millisecond
	// idleTimeout is how long a connection without calls stays open. It is longer than the
	// interval between calls of processes that call each other regularly, and much shorter
	// than the interval at which a router of a large fleet calls the same one of many peers.
	idleTimeout = 8 * time.Second
)

// ErrNotSent means that a call was not sent and so had no effect.
var ErrNotSent = errors.New("call was not sent")

// IsConnectionRefused reports whether a call failed because no process listens at the
// address. A firewall that refuses connections to a host causes the same error.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Client calls methods of the server at one address.
type Client struct {
	Address string
	TLS     *tls.Config
	// LocalIP is the local address to dial from; nil means any.
	LocalIP net.IP
	// RelayAddress is the address of a relay to connect through; empty means a direct connection.
	RelayAddress string

	mu          sync.Mutex // guards the fields below
	conn        *connection
	lastReplyAt time.Time
	lastDialAt  time.Time
	dialErr     error
	dialing     chan struct{}
	// inFlight is the number of calls in flight; lastUsedAt is when one last started or ended.
	inFlight   int
	lastUsedAt time.Time
}

// Call calls a method and returns its reply, or an error once ctx is done. A failure to
// connect wraps [ErrNotSent]. Each call allocates its reply, because net/rpc may still
// write to the reply of a call that was canceled.
func Call[R any](ctx context.Context, c *Client, method string, args proto.Message) (*R, error) {
	reply := new(R)
	if err := c.call(ctx, method, args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// connection is a client's connection to its server.
type connection struct {
	*rpc.Client
	// closedLocally is set if this side closed the connection. Calls in flight then fail
	// with rpc.ErrShutdown although they were sent.
	closedLocally atomic.Bool
}

// shutDown closes the connection from this side; c may be nil. It may block until the other
// side has read the final data, so no lock may be held.
func (c *connection) shutDown() {
	if c != nil {
		c.closedLocally.Store(true)
		_ = c.Close()
	}
}

func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	c.addInFlight(1)
	defer c.addInFlight(-1)
	for {
		conn, err := c.connect(ctx)
		if err != nil {
			return errors.Join(ErrNotSent, err)
		}
		call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
		case <-ctx.Done():
			c.dropIfSilent(conn)
			return trace.Wrap(ctx.Err(), "calling %s at %s", method, c.Address)
		}
		if errors.Is(call.Error, rpc.ErrShutdown) && !conn.closedLocally.Load() {
			// The other side had already closed the connection: the call was not sent.
			c.drop(conn)
			continue
		}
		return c.handleResult(conn, call.Error)
	}
}

// addInFlight adds n to the number of calls in flight.
func (c *Client) addInFlight(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight += n
	c.lastUsedAt = time.Now()
}

// closeIfIdle closes the connection if it has been idle for longer than idleTimeout.
func (c *Client) closeIfIdle(now time.Time) {
	c.mu.Lock()
	var conn *connection
	if c.inFlight == 0 && now.Sub(c.lastUsedAt) > idleTimeout {
		conn, c.conn = c.conn, nil
	}
	c.mu.Unlock()
	conn.shutDown()
}

// handleResult handles the result of a call: a reply proves that conn works, any other error
// drops it, unless the call was not sent because it cannot be encoded.
func (c *Client) handleResult(conn *connection, err error) error {
	var invalid encodingError
	if errors.As(err, &invalid) {
		return errors.Join(ErrNotSent, err)
	}
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.mu.Lock()
		c.lastReplyAt = time.Now()
		c.mu.Unlock()
		return err
	}
	c.drop(conn)
	return trace.Wrap(err, "connection to %s", c.Address)
}

// dropIfSilent drops a connection on which no reply has arrived for silenceTimeout.
func (c *Client) dropIfSilent(conn *connection) {
	c.mu.Lock()
	silent := time.Since(c.lastReplyAt) > silenceTimeout
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
	conn.shutDown()
}

// connect returns the open connection or dials a new one; concurrent callers share
// one dial.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		if c.conn != nil {
			conn := c.conn
			c.mu.Unlock()
			return conn, nil
		}
		if c.dialErr != nil && time.Since(c.lastDialAt) < redialInterval {
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
			return nil, trace.Wrap(ctx.Err(), "dialing %s", c.Address)
		}
	}
}

func (c *Client) dial(done chan struct{}) {
	conn, err := c.dialConn()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDialAt = time.Now()
	c.dialErr = err
	c.dialing = nil
	if err == nil {
		c.lastReplyAt = time.Now()
		c.conn = &connection{Client: rpc.NewClientWithCodec(&clientCodec{newFramedConn(conn)})}
	}
	close(done)
}

func (c *Client) dialConn() (net.Conn, error) {
	conn, err := c.dialPlain()
	if err != nil || c.TLS == nil {
		return conn, err
	}
	return c.startTLS(conn)
}

// dialPlain connects to the address, directly or through the relay.
func (c *Client) dialPlain() (net.Conn, error) {
	d := tcp.Dialer(dialTimeout)
	if c.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.LocalIP}
	}
	if c.RelayAddress == "" {
		return tcp.DialHedged(context.Background(), d, c.Address)
	}
	conn, err := tcp.DialHedged(context.Background(), d, c.RelayAddress)
	if err != nil {
		return nil, err
	}
	if err := requestRelay(conn, c.Address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// startTLS performs the TLS handshake on a connection. Unless the configuration has a server
// name, it uses the host of the address.
func (c *Client) startTLS(conn net.Conn) (net.Conn, error) {
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
	tc := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tc, nil
}

// Close closes the connection; a later call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	conn.shutDown()
}

// Pool shares clients by address and relay.
type Pool struct {
	TLS     *tls.Config
	LocalIP net.IP

	mu      sync.Mutex // guards clients
	clients map[path]*Client
}

// Get returns the client of an address that is reached directly.
func (p *Pool) Get(address string) *Client { return p.GetVia("", address) }

// GetVia returns the client of an address that is reached through a relay; an empty
// relay means a direct connection.
func (p *Pool) GetVia(relay, address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = make(map[path]*Client)
	}
	k := path{relay, address}
	c := p.clients[k]
	if c == nil {
		c = &Client{Address: address, TLS: p.TLS, LocalIP: p.LocalIP, RelayAddress: relay}
		p.clients[k] = c
	}
	return c
}

// CloseIdle closes the connections that have been idle for longer than idleTimeout; a later
// call dials again. It must be called periodically: a process that rarely calls each of many
// peers at random would otherwise end up with an open connection to every one of them.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	clients := slices.Collect(maps.Values(p.clients))
	p.mu.Unlock()
	for _, c := range clients {
		c.closeIfIdle(now)
	}
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
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

// path is an address and the relay through which it is reached; an empty relay means directly.
type path struct{ relay, address string }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

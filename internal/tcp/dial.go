package tcp

import (
	"context"
	"errors"
	"net"
	"time"
)

// dialAgainAfter is the time between dials of one connection: more than a round trip
// between regions, and far less than the second after which a kernel repeats a lost
// first packet.
const dialAgainAfter = 60 * time.Millisecond

// DialAgain connects to an address with a dialer. While there is no answer it dials
// again at intervals, and takes the connection that comes first: a host that was down
// or cut off when the first packet came is reached soon after it is back. It ends with
// the first dial that is answered, by a refusal too.
func DialAgain(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	dials := make(chan dialed)
	under := 0
	start := func() {
		under++
		go func() {
			c, err := d.DialContext(ctx, "tcp", address)
			dials <- dialed{c, err}
		}()
	}
	again := time.NewTicker(dialAgainAfter)
	defer again.Stop()
	defer func() { go closeRest(dials, under) }()
	start()
	for {
		select {
		case r := <-dials:
			under--
			if r.err == nil || !isTimeout(r.err) || under == 0 {
				return r.conn, r.err
			}
		case <-again.C:
			start()
		}
	}
}

// dialed is the outcome of one dial.
type dialed struct {
	conn net.Conn
	err  error
}

// closeRest closes the connections of dials that are not needed any more.
func closeRest(dials <-chan dialed, n int) {
	for range n {
		if r := <-dials; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// isTimeout reports whether a dial has ended without any answer.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

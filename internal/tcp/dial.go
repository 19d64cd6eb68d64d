package tcp

import (
	"context"
	"errors"
	"net"
	"time"
)

// dialInterval is the interval between concurrent dial attempts. It is longer than a round
// trip between regions, and far shorter than the one second after which the kernel
// retransmits a lost SYN.
const dialInterval = 60 * time.Millisecond

// DialHedged connects to an address with a dialer. While no attempt has completed, it
// starts another one every dialInterval, and returns the result of the first that is
// accepted or refused. A host that was down or partitioned when the first SYN was sent
// is thus reached soon after it has recovered.
func DialHedged(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	results := make(chan dialResult)
	pending := 0
	start := func() {
		pending++
		go func() {
			c, err := d.DialContext(ctx, "tcp", address)
			results <- dialResult{c, err}
		}()
	}
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	defer func() { go closeUnused(results, pending) }()
	start()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || !isTimeout(r.err) || pending == 0 {
				return r.conn, r.err
			}
		case <-ticker.C:
			start()
		}
	}
}

// dialResult is the result of one dial attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// closeUnused closes the connections of the n attempts whose results are not needed.
func closeUnused(results <-chan dialResult, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// isTimeout reports whether a dial attempt has timed out without a reply.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

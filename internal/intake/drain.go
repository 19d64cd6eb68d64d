package intake

import "time"

// drainIdleTimeout is how long a connection may be idle while the server stops: net/http handles a
// request that it has read ahead as soon as the response before it has ended.
const drainIdleTimeout = 100 * time.Millisecond

// drain closes each connection that waits for a request, and waits until none is open, or until the
// drain deadline. Requests that are being read are handled.
func (s *Server) drain() {
	s.beginDrain()
	timeout := time.NewTimer(time.Until(s.DrainDeadline()))
	defer timeout.Stop()
	select {
	case <-s.drained:
	case <-timeout.C:
	}
}

// beginDrain closes the connections that wait for a request; those that have been used just now when
// drainIdleTimeout has passed.
func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	if len(s.conns) == 0 {
		close(s.drained)
		return
	}
	for c := range s.conns {
		if left := drainIdleTimeout - time.Since(c.idleSince); left > 0 {
			c.timer.Reset(left)
			continue
		}
		s.closeWaiting(c, CloseStopping)
	}
}

// remove removes a connection that is closed. The caller must hold mu.
func (s *Server) remove(c *conn) {
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	if len(s.conns) == 0 && s.draining.Load() {
		close(s.drained)
	}
}

// Package telemetry serves health checks and metrics, and sets up logging for
// all roles. A [QueuedWriter] keeps a slow reader of the log from blocking
// the process; a [LogLimiter] limits the rate of lines with the same message;
// [WatchClock] logs jumps of the wall clock, across which logs can't be compared.
package telemetry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout limits the time to read a request's headers on any connection, also if
// [HTTPServer.ConnState] closes connections by other limits.
const headerTimeout = 10 * time.Second

// maxHeaderBytes limits what a server reads of a request's headers on any connection, also if a
// declaration allows more.
const maxHeaderBytes = 128 << 10

// MonitoringDrainTimeout is the DrainTimeout of servers that serve only health checks and
// metrics.
const MonitoringDrainTimeout = time.Second

// NewLogger returns the root logger of a process. Each component logs under a name of
// its own, which prefixes its lines.
func NewLogger(w io.Writer, level, node string) hclog.Logger {
	if level == "" {
		level = "info"
	}
	return hclog.New(&hclog.LoggerOptions{Name: node, Level: hclog.LevelFromString(level), Output: w})
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Mount adds /healthz, /readyz and /metrics to a mux.
func Mount(m chi.Router, r *prometheus.Registry, ready func() error) {
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	m.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, trace.UserMessage(err), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	m.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
}

// Handler returns a handler that serves only the paths of Mount.
func Handler(r *prometheus.Registry, ready func() error) http.Handler {
	m := chi.NewRouter()
	Mount(m, r, ready)
	return m
}

// HTTPServer serves a handler until its context ends, then waits for the
// requests in flight. Set the fields before Run.
type HTTPServer struct {
	// Address is host:port.
	Address string
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Handler http.Handler
	// ListenConfig creates the listener; nil for Go's defaults.
	ListenConfig *net.ListenConfig
	// IdleTimeout limits how long a connection may be idle; 0 for no limit.
	IdleTimeout time.Duration
	// WrapConn returns the connection that is used in place of an accepted one; nil for the latter.
	WrapConn func(net.Conn) net.Conn
	// ConnContext returns the context of a connection's requests; it may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// ConnState is called on each change of a connection's state; it may be nil.
	ConnState func(net.Conn, http.ConnState)
	// DrainTimeout limits how long requests in flight may take to finish.
	DrainTimeout time.Duration
	// Drain waits for the requests in flight, in place of the Shutdown of net/http, which drops requests
	// that are being read; nil for the latter. No connection is accepted any more, and those left open are
	// closed afterwards.
	Drain func()
	// ForceClose closes the connections of requests that take longer; otherwise Run
	// returns an error for them.
	ForceClose bool
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// Run serves until ctx ends.
func (s *HTTPServer) Run(ctx context.Context) error {
	listen := s.ListenConfig
	if listen == nil {
		listen = &net.ListenConfig{}
	}
	lis, err := listen.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return trace.Wrap(err, "listening for HTTP on %s", s.Address)
	}
	if s.WrapConn != nil {
		lis = &wrappingListener{Listener: lis, wrap: s.WrapConn}
	}
	if s.TLS != nil {
		lis = tls.NewListener(lis, s.TLS)
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: s.IdleTimeout, ConnContext: s.ConnContext, ConnState: s.ConnState}
	done := make(chan error, 1)
	go func() { done <- server.Serve(lis) }()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	if s.Drain != nil {
		_ = lis.Close() // ends Serve
		err := <-done
		s.Drain()
		_ = server.Close() // aborts the remaining requests
		if !errors.Is(err, net.ErrClosed) {
			return trace.Wrap(err)
		}
		return nil
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	err = server.Shutdown(stopCtx)
	if err != nil && !s.ForceClose {
		return trace.Wrap(err, "finishing requests in flight")
	}
	if err != nil {
		_ = server.Close() // aborts the remaining requests
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

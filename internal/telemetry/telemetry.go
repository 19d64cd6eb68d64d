// Package telemetry serves health and metrics, and makes the logs of all
// roles alike. A [QueuedWriter] keeps a slow reader of the log from holding up
// the process; [Lines] bounds how many lines of one kind there are; [WatchClock]
// tells of jumps of the time of day, across which logs can't be compared.
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

// headerTimeout bounds how long the headers of a request may take on any connection,
// also where [HTTPServer.ConnState] closes connections by other limits.
const headerTimeout = 10 * time.Second

// DrainMonitoring is the Drain of a server of health and metrics alone.
const DrainMonitoring = time.Second

// NewLogger returns the root logger of a process. Each part of the process has
// a name of its own, which stands before its lines.
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

// Handler returns a mux with nothing but Mount's paths.
func Handler(r *prometheus.Registry, ready func() error) http.Handler {
	m := chi.NewRouter()
	Mount(m, r, ready)
	return m
}

// HTTPServer serves a handler until its context ends, then finishes the
// requests in flight. Set the fields before Run.
type HTTPServer struct {
	// Address is host:port.
	Address string
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Handler http.Handler
	// Listen makes the listener; nil for one with Go's own settings.
	Listen *net.ListenConfig
	// Idle is how long a connection may rest; 0 for no bound.
	Idle time.Duration
	// ConnState is told of each connection's state; nil for nobody.
	ConnState func(net.Conn, http.ConnState)
	// Drain bounds how long requests in flight may take to finish.
	Drain time.Duration
	// BreakOff: requests that take longer are broken off, which is no error.
	BreakOff bool
}

// Run serves until ctx ends.
func (s *HTTPServer) Run(ctx context.Context) error {
	listen := s.Listen
	if listen == nil {
		listen = &net.ListenConfig{}
	}
	lis, err := listen.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return trace.Wrap(err, "listening for HTTP on %s", s.Address)
	}
	if s.TLS != nil {
		lis = tls.NewListener(lis, s.TLS)
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: s.Idle, ConnState: s.ConnState}
	done := make(chan error, 1)
	go func() { done <- server.Serve(lis) }()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Drain)
	defer cancel()
	err = server.Shutdown(stopCtx)
	if err != nil && !s.BreakOff {
		return trace.Wrap(err, "finishing requests in flight")
	}
	if err != nil {
		_ = server.Close() // what is left is broken off
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

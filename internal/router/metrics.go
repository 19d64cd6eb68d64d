package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/telemetry"
)

// metrics holds the metrics of a router.
type metrics struct {
	registry  *prometheus.Registry
	responses prometheus.Counter
	attempts  prometheus.Counter
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	duration  prometheus.Histogram
}

func newMetrics() *metrics {
	m := &metrics{
		registry: telemetry.NewRegistry(),
		responses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_router_answers_total", Help: "Complete responses.",
		}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_router_attempts_total", Help: "Attempts sent to agents.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_router_refusals_total", Help: "Refused requests by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_router_retries_total", Help: "Retries by the reason why the previous attempt failed.",
		}, []string{"reason"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sumachead_router_request_seconds", Help: "Time from arrival to the end of the response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	for _, r := range sumachead.Reasons() {
		m.retries.WithLabelValues(string(r))
		m.refusals.WithLabelValues(string(r), string(sumachead.NotRun))
	}
	m.registry.MustRegister(m.responses, m.attempts, m.refusals, m.retries, m.duration)
	return m
}

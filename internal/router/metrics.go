package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/telemetry"
)

// metrics are a router's counters.
type metrics struct {
	registry *prometheus.Registry
	answers  prometheus.Counter
	attempts prometheus.Counter
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	duration prometheus.Histogram
}

func newMetrics() *metrics {
	m := &metrics{
		registry: telemetry.NewRegistry(),
		answers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_router_answers_total", Help: "Whole answers.",
		}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_router_attempts_total", Help: "Attempts sent to agents.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_router_refusals_total", Help: "Refused requests by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_router_retries_total", Help: "Retries by the reason of the attempt before.",
		}, []string{"reason"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sumachead_router_request_seconds", Help: "Time from arrival to the answer's end.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	for _, r := range sumachead.Reasons() {
		m.retries.WithLabelValues(string(r))
		m.refusals.WithLabelValues(string(r), string(sumachead.NotRun))
	}
	m.registry.MustRegister(m.answers, m.attempts, m.refusals, m.retries, m.duration)
	return m
}

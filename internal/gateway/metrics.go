package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/rpc"
)

// Metrics are a gateway's figures.
type Metrics struct {
	Registry *prometheus.Registry

	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	served   prometheus.Counter
	dials    prometheus.Counter
	whole    prometheus.Histogram
}

func newMetrics(g *Gateway) *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_gateway_refusals_total", Help: "Requests without a whole answer, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_gateway_retries_total", Help: "Attempts after the first, by the reason of the one before.",
		}, []string{"reason"}),
		served: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_gateway_served_total", Help: "Requests with a whole answer.",
		}),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_gateway_dials_total", Help: "New connections to backend servers.",
		}),
		whole: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sumachead_gateway_answer_seconds", Help: "Time to the end of a whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
	}
	for _, r := range sumachead.Reasons() {
		m.refusals.WithLabelValues(string(r))
		m.retries.WithLabelValues(string(r))
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.served, m.dials, m.whole, rpc.Traffic{})
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sumachead_gateway_declaration_number", Help: "Number of the declaration in force.",
	}, func() float64 {
		if v := g.client.View(); v != nil {
			return float64(v.Number)
		}
		return 0
	}))
	return m
}

func (m *Metrics) noteServed(x *exchange) {
	m.served.Inc()
	m.whole.Observe(time.Since(x.arrived).Seconds())
}

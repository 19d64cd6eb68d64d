package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/telemetry"
)

// metrics holds the metrics of an agent.
type metrics struct {
	registry  *prometheus.Registry
	refusals  *prometheus.CounterVec
	responses prometheus.Counter
	// backoffs counts responses in which the backend server requested a backoff.
	backoffs prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: telemetry.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_agent_refusals_total", Help: "Requests that were refused or failed, by reason.",
		}, []string{"reason"}),
		responses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_agent_answers_total", Help: "Complete responses.",
		}),
		backoffs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_agent_rests_total", Help: "Responses in which the backend server requested a backoff.",
		}),
	}
	for _, r := range sumachead.Reasons() {
		m.refusals.WithLabelValues(string(r))
	}
	m.registry.MustRegister(m.refusals, m.responses, m.backoffs)
	return m
}

func (m *metrics) refused(r sumachead.Reason) { m.refusals.WithLabelValues(string(r)).Inc() }

package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/telemetry"
)

// metrics are an agent's counters.
type metrics struct {
	registry *prometheus.Registry
	refusals *prometheus.CounterVec
	done     prometheus.Counter
	// rests counts answers by which the backend server asked for rest.
	rests prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: telemetry.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sumachead_agent_refusals_total", Help: "Requests that were refused or failed, by reason.",
		}, []string{"reason"}),
		done: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_agent_answers_total", Help: "Whole answers.",
		}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sumachead_agent_rests_total", Help: "Answers by which the backend server asked to be sent nothing for a time.",
		}),
	}
	for _, r := range sumachead.Reasons() {
		m.refusals.WithLabelValues(string(r))
	}
	m.registry.MustRegister(m.refusals, m.done, m.rests)
	return m
}

func (m *metrics) refused(r sumachead.Reason) { m.refusals.WithLabelValues(string(r)).Inc() }

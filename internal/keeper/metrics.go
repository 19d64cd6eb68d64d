package keeper

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead/internal/telemetry"
)

// metrics holds a keeper's Prometheus metrics.
type metrics struct {
	registry       *prometheus.Registry
	ledgerReplies  *prometheus.CounterVec
	journalReplies *prometheus.CounterVec
	reserveWaits   prometheus.Counter
}

func newMetrics(k *Keeper) *metrics {
	r := telemetry.NewRegistry()
	m := &metrics{registry: r, ledgerReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sumachead_ledger_replies_total", Help: "Ledger calls by method and outcome.",
	}, []string{"method", "code"})}
	m.journalReplies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sumachead_journal_replies_total", Help: "Calls to the hall's journal by method and outcome.",
	}, []string{"method", "code"})
	m.reserveWaits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sumachead_reserve_waits_total", Help: "Reservations that waited for requests in flight to settle.",
	})
	r.MustRegister(m.ledgerReplies, m.journalReplies, m.reserveWaits)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sumachead_ledger_violations_total", Help: "Broken invariants of the ledger; must stay 0.",
	}, func() float64 {
		if !k.groupsOpen.Load() {
			return 0
		}
		return float64(k.ledger.Violations())
	}))
	return m
}

package keeper

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead/internal/telemetry"
)

// metrics are a keeper's counters.
type metrics struct {
	registry       *prometheus.Registry
	ledgerReplies  *prometheus.CounterVec
	journalReplies *prometheus.CounterVec
	roomWaits      prometheus.Counter
}

func newMetrics(k *Keeper) *metrics {
	r := telemetry.NewRegistry()
	m := &metrics{registry: r, ledgerReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sumachead_ledger_replies_total", Help: "Ledger calls by method and outcome.",
	}, []string{"method", "code"})}
	m.journalReplies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sumachead_journal_replies_total", Help: "Calls to the hall's journal by method and outcome.",
	}, []string{"method", "code"})
	m.roomWaits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sumachead_reserve_waits_total", Help: "Reservations that waited for requests under way to settle.",
	})
	r.MustRegister(m.ledgerReplies, m.journalReplies, m.roomWaits)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sumachead_ledger_violations_total", Help: "Broken invariants of the ledger; must stay 0.",
	}, func() float64 {
		if !k.opened.Load() {
			return 0
		}
		return float64(k.ledger.Violations())
	}))
	return m
}

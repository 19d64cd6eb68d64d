package keeper

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/telemetry"
)

func budgetID(s string) sumachead.BudgetID { return sumachead.BudgetID(s) }

// metrics are a keeper's counters.
type metrics struct {
	registry      *prometheus.Registry
	ledgerReplies *prometheus.CounterVec
}

func newMetrics(k *Keeper) *metrics {
	r := telemetry.NewRegistry()
	m := &metrics{registry: r, ledgerReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sumachead_ledger_replies_total", Help: "Ledger calls by method and outcome.",
	}, []string{"method", "code"})}
	r.MustRegister(m.ledgerReplies)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sumachead_ledger_violations_total", Help: "Broken invariants of the ledger; must stay 0.",
	}, func() float64 {
		if k.money == nil {
			return 0
		}
		return float64(k.ledger.Violations())
	}))
	return m
}

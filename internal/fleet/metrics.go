package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"sumachead/api/wire"
	"sumachead/internal/rpc"
)

// metrics are the metrics of a keeper.
type metrics struct {
	// Registry holds all of them.
	Registry *prometheus.Registry

	// syncs observes synced writes to the log, commits the commands that the group accepted.
	syncs   prometheus.Histogram
	commits prometheus.Histogram
	// invalidRecords counts heartbeats and notices that are not valid server records.
	invalidRecords prometheus.Counter
	// retryGrants counts the retries granted to routers.
	retryGrants prometheus.Counter
}

// newMetrics registers the metrics of a keeper.
func newMetrics(k *Keeper) *metrics {
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14)})
	}
	m := &metrics{
		Registry: prometheus.NewRegistry(),
		syncs:    histogram("sumachead_keeper_sync_seconds", "Time of a synced write to the log."),
		commits:  histogram("sumachead_keeper_commit_seconds", "Time from a command to its result at the leader."),
	}
	m.invalidRecords = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sumachead_foreign_records_total", Help: "Invalid heartbeats and notices: fields are missing or of the wrong type, the start time is missing where it is required, or there are too many servers.",
	})
	m.retryGrants = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sumachead_keeper_retry_grants_total", Help: "Retries granted to routers beyond those that their own requests pay for.",
	})
	m.Registry.MustRegister(m.syncs, m.commits, m.invalidRecords, m.retryGrants)
	m.Registry.MustRegister(rpc.TrafficCollector{})
	gauge := func(name, help string, f func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("sumachead_keeper_leading", "1 if this keeper is the leader, else 0.", func() float64 {
		if k.node.IsLeader() {
			return 1
		}
		return 0
	})
	gauge("sumachead_keeper_term", "The group's term.", func() float64 { return float64(k.node.Status().GetTerm()) })
	gauge("sumachead_keeper_applied", "Index of the last applied entry.", func() float64 { return float64(k.node.Status().GetApplied()) })
	gauge("sumachead_keeper_members", "Members of the group.", func() float64 { return float64(len(k.node.Status().GetMembers())) })
	gauge("sumachead_declaration_number", "Number of the declaration in force.", func() float64 {
		d, _ := k.machine.Declaration()
		return float64(d.GetNumber())
	})
	gauge("sumachead_servers", "Registered backend servers that are not leaving.", func() float64 { return float64(k.servers.Count()) })
	gauge("sumachead_vacated_halls", "Data halls that are vacated.", func() float64 { return float64(k.machine.CountVacatedHalls()) })
	gauge("sumachead_reserved_budgets", "Workspaces whose last part of the budget is reserved for urgent requests, at the leader.", func() float64 {
		return float64(k.activeReserves())
	})
	gauge("sumachead_suspected_requests", "Suspected requests and prompt blocks, which run only on trial because servers have crashed under them.", func() float64 {
		return float64(k.machine.CountSuspects(wire.Standing_STANDING_SUSPECTED))
	})
	gauge("sumachead_barred_requests", "Barred requests and prompt blocks, which are not run because servers crash under them.", func() float64 {
		return float64(k.machine.CountSuspects(wire.Standing_STANDING_BARRED))
	})
	for phase, name := range map[wire.RolloutPhase]string{
		wire.RolloutPhase_ROLLOUT_PHASE_TRIAL: "trial", wire.RolloutPhase_ROLLOUT_PHASE_MOVING: "moving",
		wire.RolloutPhase_ROLLOUT_PHASE_COMPLETE: "complete", wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK: "rolled_back",
	} {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sumachead_rollouts", Help: "Services by the phase of their newest rollout to another version.", ConstLabels: prometheus.Labels{"phase": name},
		}, func() float64 { return float64(k.machine.CountRollouts(phase)) }))
	}
	gauge("sumachead_followers_routers", "Routers that follow this keeper.", func() float64 { return float64(k.followers.count(RoleRouter)) })
	return m
}

// Metrics returns the keeper's metrics. Call it after Prepare.
func (k *Keeper) Metrics() *prometheus.Registry { return k.metrics.Registry }

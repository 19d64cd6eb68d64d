package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/escrow"
	"sumachead/internal/rpc"
)

// Metrics are a gateway's figures.
type Metrics struct {
	// Registry holds them all; what belongs to the process may be added.
	Registry *prometheus.Registry

	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	served   prometheus.Counter
	// outcomes are of requests by route: in time, late by the first event or by a
	// pause, or without a whole answer.
	outcomes *prometheus.CounterVec
	// waits are of requests that waited for what they lacked, by what that was and
	// whether it came.
	waits *prometheus.HistogramVec
	dials prometheus.Counter
	// first, whole and pause are of requests with a whole answer.
	first prometheus.Histogram
	whole prometheus.Histogram
	pause prometheus.Histogram
	// ledger is of reports of escrow.
	ledger prometheus.Histogram
	// admits are of requests for cold servers, by whether there was a grant.
	admits *prometheus.CounterVec
	// overloads counts how often callers filled the link.
	overloads prometheus.Counter
	// underEnds counts requests under which a server has ended.
	underEnds prometheus.Counter
	// rests counts answers by which servers asked for rest, and keptBack the requests that
	// were not sent to the server that was chosen since it wants nothing any more.
	rests    prometheus.Counter
	keptBack *prometheus.CounterVec
	// leaving counts lives of servers that said in an answer that they leave, and unreadable
	// the answers that said of their server what can't be read.
	leaving prometheus.Counter
	// limitAnswers counts answers that name a request limit, and limitedSends the requests
	// that were sent to servers while they did.
	limitAnswers prometheus.Counter
	limitedSends prometheus.Counter
	// permits are of requests for servers with a request limit, by whether there was a permit.
	permits    *prometheus.CounterVec
	unreadable prometheus.Counter
	// samples counts requests that were sent to servers of a version on trial.
	samples prometheus.Counter
	// overdue is of escrow lent to other routers.
	overdue prometheus.Counter
}

// seconds are the buckets of all histograms: from a call within a data hall to
// the longest that callers wait.
var seconds = prometheus.ExponentialBuckets(0.002, 2, 14)

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: seconds})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newMetrics(g *Gateway) *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		refusals: counters("sumachead_gateway_refusals_total", "Requests without a whole answer, by reason.", "reason"),
		retries:  counters("sumachead_gateway_retries_total", "Attempts after the first, by the reason of the one before.", "reason"),
		outcomes: counters("sumachead_gateway_outcomes_total", "Requests by route (empty where none was found) and outcome: in_time, late_first, late_pause, not_whole.", "route", "outcome"),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sumachead_gateway_waits_seconds", Help: "Time that requests waited for a declaration or escrow, by whether it came.", Buckets: seconds,
		}, []string{"what", "came"}),
		served:       counter("sumachead_gateway_served_total", "Requests with a whole answer."),
		dials:        counter("sumachead_gateway_dials_total", "New connections to backend servers."),
		admits:       counters("sumachead_gateway_cold_admits_total", "Requests that were to be sent to a cold backend server, by whether there was a grant.", "granted"),
		overloads:    counter("sumachead_gateway_link_overloads_total", "Times that the router was not ready because callers filled its link."),
		underEnds:    counter("sumachead_gateway_under_ends_total", "Requests that a backend server may have been running when it ended."),
		rests:        counter("sumachead_gateway_rests_total", "Answers by which a backend server asked this router to send nothing for a time."),
		keptBack:     counters("sumachead_gateway_kept_back_total", "Requests that were not sent to the backend server that was chosen, since it has asked for rest or leaves since then.", "reason"),
		leaving:      counter("sumachead_gateway_leaving_answers_total", "Answers by which a backend server said that it leaves, while it was not known to."),
		unreadable:   counter("sumachead_gateway_unreadable_notices_total", "Answers that say of their backend server what can't be read."),
		limitAnswers: counter("sumachead_gateway_limit_answers_total", "Answers in which a backend server named a request limit."),
		permits:      counters("sumachead_gateway_permits_total", "Permits asked for to send a request to a backend server with a request limit, by whether one was granted.", "granted"),
		limitedSends: counter("sumachead_gateway_limited_sends_total", "Requests sent to backend servers with a request limit."),
		samples:      counter("sumachead_gateway_samples_total", "Requests that were sent to backend servers of a version on trial."),
		overdue:      counter("sumachead_gateway_overdue_loan_tokens_total", "Escrow lent to other routers that counts as spent since no bill came."),
		first:        histogram("sumachead_gateway_first_byte_seconds", "Time to the first byte of an answer."),
		whole:        histogram("sumachead_gateway_answer_seconds", "Time to the end of a whole answer."),
		pause:        histogram("sumachead_gateway_pause_seconds", "Longest pause between events of a whole answer."),
		ledger:       histogram("sumachead_gateway_ledger_seconds", "Time of a report of escrow that was taken."),
	}
	for _, r := range sumachead.Reasons() {
		m.refusals.WithLabelValues(string(r))
		m.retries.WithLabelValues(string(r))
	}
	m.outcomes.WithLabelValues("", outcomeNotWhole) // of requests that no route was found for
	for _, what := range []string{waitDeclaration, waitEscrow} {
		m.waits.WithLabelValues(what, "true")
		m.waits.WithLabelValues(what, "false")
	}
	for _, r := range []sumachead.Reason{sumachead.ReasonResting, sumachead.ReasonLeaving} {
		m.keptBack.WithLabelValues(string(r))
	}
	for _, granted := range []string{"true", "false"} {
		m.admits.WithLabelValues(granted)
		m.permits.WithLabelValues(granted)
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.outcomes, m.waits, m.served, m.dials, m.first, m.whole, m.pause, m.ledger, m.admits, m.overloads, m.underEnds, m.rests, m.keptBack, m.leaving, m.unreadable, m.limitAnswers, m.limitedSends, m.permits, m.samples, m.overdue, rpc.Traffic{})
	m.gauges(g)
	return m
}

// gauges registers what is read when it is asked for.
func (m *Metrics) gauges(g *Gateway) {
	gauge := func(name, help string, f func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("sumachead_gateway_declaration_number", "Number of the declaration in force; 0 before the first.", func() float64 {
		if v := g.client.View(); v != nil {
			return float64(v.Number)
		}
		return 0
	})
	gauge("sumachead_gateway_open_requests", "Requests under way.", func() float64 { return float64(g.Open()) })
	gauge("sumachead_gateway_servers", "Backend servers known that are not leaving.", func() float64 { return float64(g.servers.Count()) })
	gauge("sumachead_gateway_resting_servers", "Backend servers that have asked this router to send nothing at present.", func() float64 { return float64(g.rests.Count()) })
	gauge("sumachead_gateway_limited_servers", "Backend servers that limit requests at present.", func() float64 { return float64(g.limits.Count()) })
	gauge("sumachead_gateway_vacated_halls", "Data halls known to be vacated.", func() float64 { return float64(g.servers.Vacated()) })
	gauge("sumachead_gateway_suspects", "Requests of which it is known that something is held against them.", func() float64 { return float64(g.client.Suspects.Held()) })
	gauge("sumachead_gateway_relayed", "1 while the leading keeper is reached through a relay.", func() float64 {
		if w, _ := g.client.Way(); w.Relay != "" {
			return 1
		}
		return 0
	})
	gauge("sumachead_gateway_keeper_age_seconds", "Time since the leading keeper last answered.", func() float64 {
		return time.Since(g.client.HeardAt()).Seconds()
	})
	for _, s := range []struct {
		state string
		of    func(escrow.Sum) sumachead.Tokens
	}{
		{"at_hand", func(s escrow.Sum) sumachead.Tokens { return s.AtHand }},
		{"reserved", func(s escrow.Sum) sumachead.Tokens { return s.Reserved }},
		{"spent", func(s escrow.Sum) sumachead.Tokens { return s.Spent }},
		{"returned", func(s escrow.Sum) sumachead.Tokens { return s.Returned }},
	} {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sumachead_gateway_escrow_tokens", Help: "Escrow of all workspaces, by state.", ConstLabels: prometheus.Labels{"state": s.state},
		}, func() float64 { return float64(s.of(g.wallet.Sum())) }))
	}
}

// noteServed takes in a request with a whole answer.
func (m *Metrics) noteServed(x *exchange) {
	m.served.Inc()
	m.outcomes.WithLabelValues(x.route.GetName(), x.outcome()).Inc()
	m.first.Observe(x.firstAt.Sub(x.arrived).Seconds())
	m.whole.Observe(time.Since(x.arrived).Seconds())
	if x.events > 1 {
		m.pause.Observe(x.pause.Seconds())
	}
}

// noteRefused takes in a request without a whole answer.
func (m *Metrics) noteRefused(x *exchange, r sumachead.Reason) {
	m.refusals.WithLabelValues(string(r)).Inc()
	m.outcomes.WithLabelValues(x.route.GetName(), outcomeNotWhole).Inc()
}

// noteAdmit takes in whether there was a grant for a cold server.
func (m *Metrics) noteAdmit(granted bool) {
	m.admits.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

// notePermit records whether a permit was granted.
func (m *Metrics) notePermit(granted bool) {
	m.permits.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

// The outcomes of requests.
const (
	outcomeInTime    = "in_time"
	outcomeLateFirst = "late_first"
	outcomeLatePause = "late_pause"
	outcomeNotWhole  = "not_whole"
)

// What requests wait for.
const (
	waitDeclaration = "declaration"
	waitEscrow      = "escrow"
)

// leastWaited is the time below which a request has not waited.
const leastWaited = time.Millisecond

// noteWait takes in a request that waited for something since a time.
func (m *Metrics) noteWait(what string, since time.Time, came bool) {
	if took := time.Since(since); took >= leastWaited {
		m.waits.WithLabelValues(what, strconv.FormatBool(came)).Observe(took.Seconds())
	}
}

package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sumachead"
	"sumachead/internal/escrow"
	"sumachead/internal/intake"
	"sumachead/internal/rpc"
	"sumachead/internal/upstream"
)

// Metrics holds a gateway's metrics.
type Metrics struct {
	// Registry contains all of them; metrics of the process may be added.
	Registry *prometheus.Registry

	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	// serviceRequests counts the requests for each service, and serviceRetries the retries that
	// were due there, by whether the retry budget allowed them.
	serviceRequests *prometheus.CounterVec
	serviceRetries  *prometheus.CounterVec
	served          prometheus.Counter
	// outcomes counts requests by route: in time, late by the first event or by a gap, or without a
	// complete response.
	outcomes *prometheus.CounterVec
	// waits observes how long requests waited for a missing resource, by resource and whether it
	// became available.
	waits *prometheus.HistogramVec
	dials prometheus.Counter
	// firstByte, responseTime and maxGap observe requests with a complete response.
	firstByte    prometheus.Histogram
	responseTime prometheus.Histogram
	maxGap       prometheus.Histogram
	// ledgerReports observes the duration of escrow reports.
	ledgerReports prometheus.Histogram
	// coldGrants counts requests for cold servers, by whether there was a grant.
	coldGrants *prometheus.CounterVec
	// overloads counts how often callers filled the link.
	overloads prometheus.Counter
	// loadCloses counts connections of callers closed because of that.
	loadCloses prometheus.Counter
	// callerCloses counts the callers' connections that this router closed by the reason, and
	// lateRequests the requests that were read from a connection which it was closing.
	callerCloses *prometheus.CounterVec
	lateRequests *prometheus.CounterVec
	// crashes counts requests during which a server crashed.
	crashes prometheus.Counter
	// backoffs counts responses in which servers asked for a backoff, and withheldSends the
	// requests that were not sent to the chosen server because it no longer accepts any.
	backoffs      prometheus.Counter
	withheldSends *prometheus.CounterVec
	// leavingNotices counts incarnations of servers that announced in a response that they leave,
	// and malformedNotices the responses with malformed notices about their server.
	leavingNotices prometheus.Counter
	// limitResponses counts responses that name a request limit, and limitedSends the requests sent
	// to servers while they had one.
	limitResponses prometheus.Counter
	limitedSends   prometheus.Counter
	// permits counts requests for servers with a request limit, by whether there was a permit.
	permits          *prometheus.CounterVec
	malformedNotices prometheus.Counter
	// canaryRequests counts requests sent to canary servers.
	canaryRequests prometheus.Counter
	// resumedStreams counts streams that were resumed, by whether that was within one response and by
	// how the version of the server's software compares with that of the server before.
	resumedStreams *prometheus.CounterVec
	// responseEnds counts the ends of servers' responses by framing and whether they were complete.
	responseEnds *prometheus.CounterVec
	// overdueLoans counts tokens of escrow lent to other routers that count as spent because no bill
	// arrived.
	overdueLoans prometheus.Counter
}

// latencyBuckets are the buckets of all histograms: from a call within a data hall to the longest
// time that callers wait.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 2, 14)

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newMetrics(g *Gateway) *Metrics {
	m := &Metrics{
		Registry:        prometheus.NewRegistry(),
		refusals:        counters("sumachead_gateway_refusals_total", "Requests without a complete response, by reason.", "reason"),
		retries:         counters("sumachead_gateway_retries_total", "Retries, by the reason why the previous attempt failed.", "reason"),
		serviceRequests: counters("sumachead_gateway_service_requests_total", "Requests of callers, by service.", "service"),
		serviceRetries:  counters("sumachead_gateway_service_retries_total", "Retries that were due, by service and whether the retry budget allowed them.", "service", "allowed"),
		outcomes:        counters("sumachead_gateway_outcomes_total", "Requests by route (empty if none was found) and outcome: in_time, late_first, late_pause, not_whole.", "route", "outcome"),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sumachead_gateway_waits_seconds", Help: "Time that requests waited for a declaration or escrow, by whether it became available.", Buckets: latencyBuckets,
		}, []string{"what", "came"}),
		served:           counter("sumachead_gateway_served_total", "Requests with a complete response."),
		dials:            counter("sumachead_gateway_dials_total", "New connections to backend servers."),
		coldGrants:       counters("sumachead_gateway_cold_admits_total", "Requests placed on a cold backend server, by whether there was a grant.", "granted"),
		overloads:        counter("sumachead_gateway_link_overloads_total", "Number of times the router became not ready because callers filled its link."),
		loadCloses:       counter("sumachead_gateway_link_closes_total", "Connections closed so that their callers use another router, because callers filled the link."),
		callerCloses:     counters("sumachead_gateway_caller_closes_total", "Connections of callers closed by this router, by reason.", "reason"),
		lateRequests:     counters("sumachead_gateway_late_requests_total", "Requests read from a connection that this router was closing, by the reason for closing it.", "reason"),
		crashes:          counter("sumachead_gateway_under_ends_total", "Requests that a backend server may have been running when it crashed."),
		backoffs:         counter("sumachead_gateway_rests_total", "Responses in which a backend server asked this router for a backoff."),
		withheldSends:    counters("sumachead_gateway_kept_back_total", "Requests withheld from the chosen backend server because it has since asked for a backoff or is leaving.", "reason"),
		leavingNotices:   counter("sumachead_gateway_leaving_answers_total", "Responses in which a backend server first announced that it is leaving."),
		malformedNotices: counter("sumachead_gateway_unreadable_notices_total", "Responses with a malformed notice about their backend server."),
		limitResponses:   counter("sumachead_gateway_limit_answers_total", "Responses in which a backend server named a request limit."),
		permits:          counters("sumachead_gateway_permits_total", "Permits requested for a backend server with a request limit, by whether one was granted.", "granted"),
		limitedSends:     counter("sumachead_gateway_limited_sends_total", "Requests sent to backend servers with a request limit."),
		canaryRequests:   counter("sumachead_gateway_samples_total", "Requests sent to canary backend servers."),
		resumedStreams:   counters("sumachead_gateway_resumed_streams_total", "Streams resumed at another backend server, within one response or by another request of the caller, by how the version of its software compares with that of the server that began the stream: same, other, unknown.", "within", "version"),
		responseEnds:     counters("sumachead_gateway_response_ends_total", "Ends of responses of backend servers, by how the end of the body is marked (length, chunked, close) and how they ended: complete, in_event (within an event of a stream), broken (before the marked end, or reset).", "framing", "end"),
		overdueLoans:     counter("sumachead_gateway_overdue_loan_tokens_total", "Escrow lent to other routers that counts as spent because no bill arrived."),
		firstByte:        histogram("sumachead_gateway_first_byte_seconds", "Time to the first byte of a response."),
		responseTime:     histogram("sumachead_gateway_answer_seconds", "Time to the end of a complete response."),
		maxGap:           histogram("sumachead_gateway_pause_seconds", "Longest gap between events of a complete response."),
		ledgerReports:    histogram("sumachead_gateway_ledger_seconds", "Duration of successful escrow reports."),
	}
	for _, r := range sumachead.Reasons() {
		m.refusals.WithLabelValues(string(r))
		m.retries.WithLabelValues(string(r))
	}
	m.outcomes.WithLabelValues("", outcomeIncomplete) // for requests without a route
	m.serviceRequests.WithLabelValues("")             // services are named by declarations
	m.serviceRetries.WithLabelValues("", "true")
	for _, what := range []string{waitDeclaration, waitEscrow} {
		m.waits.WithLabelValues(what, "true")
		m.waits.WithLabelValues(what, "false")
	}
	for _, r := range []sumachead.Reason{sumachead.ReasonResting, sumachead.ReasonLeaving} {
		m.withheldSends.WithLabelValues(string(r))
	}
	for _, version := range []string{versionSame, versionOther, versionUnknown} {
		m.resumedStreams.WithLabelValues(withinResponse, version)
		m.resumedStreams.WithLabelValues(withinRequests, version)
	}
	for _, f := range upstream.Framings() {
		for _, end := range []string{endComplete, endInEvent, endBroken} {
			m.responseEnds.WithLabelValues(string(f), end)
		}
	}
	for _, r := range intake.CloseReasons() {
		m.callerCloses.WithLabelValues(string(r))
		m.lateRequests.WithLabelValues(string(r))
	}
	for _, granted := range []string{"true", "false"} {
		m.coldGrants.WithLabelValues(granted)
		m.permits.WithLabelValues(granted)
	}
	m.Registry.MustRegister(m.refusals, m.retries, m.serviceRequests, m.serviceRetries, m.outcomes, m.waits, m.served, m.dials, m.firstByte, m.responseTime, m.maxGap, m.ledgerReports, m.coldGrants, m.overloads, m.loadCloses, m.callerCloses, m.lateRequests, m.crashes, m.backoffs, m.withheldSends, m.leavingNotices, m.malformedNotices, m.limitResponses, m.limitedSends, m.permits, m.canaryRequests, m.resumedStreams, m.responseEnds, m.overdueLoans, rpc.TrafficCollector{})
	m.registerGauges(g)
	return m
}

// registerGauges registers the gauges that are computed when they are collected.
func (m *Metrics) registerGauges(g *Gateway) {
	gauge := func(name, help string, f func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	gauge("sumachead_gateway_declaration_number", "Number of the declaration in force; 0 before the first.", func() float64 {
		if v := g.client.View(); v != nil {
			return float64(v.Number)
		}
		return 0
	})
	gauge("sumachead_gateway_open_requests", "Requests in flight.", func() float64 { return float64(g.OpenRequests()) })
	gauge("sumachead_gateway_servers", "Known backend servers that are not leaving.", func() float64 { return float64(g.servers.Count()) })
	gauge("sumachead_gateway_resting_servers", "Backend servers that this router is backing off from.", func() float64 { return float64(g.backoffs.Count()) })
	gauge("sumachead_gateway_limited_servers", "Backend servers that currently limit requests.", func() float64 { return float64(g.limits.Count()) })
	gauge("sumachead_gateway_neighbors_link_percent", "Mean use of the links of the other routers of the data hall, in percent; 0 if unknown.", func() float64 { return float64(g.neighborsPercent()) })
	gauge("sumachead_gateway_vacated_halls", "Data halls known to be vacated.", func() float64 { return float64(g.servers.VacatedCount()) })
	gauge("sumachead_gateway_suspects", "Known active suspects: requests and prompt blocks under which backend servers have crashed.", func() float64 { return float64(g.client.Suspects.ActiveCount()) })
	gauge("sumachead_gateway_relayed", "1 while the leading keeper is reached through a relay.", func() float64 {
		if w, _ := g.client.Path(); w.Relay != "" {
			return 1
		}
		return 0
	})
	gauge("sumachead_gateway_keeper_age_seconds", "Time since the leading keeper last responded.", func() float64 {
		return time.Since(g.client.LastResponseAt()).Seconds()
	})
	for _, s := range []struct {
		state string
		of    func(escrow.Totals) sumachead.Tokens
	}{
		{"at_hand", func(s escrow.Totals) sumachead.Tokens { return s.Available }},
		{"reserved", func(s escrow.Totals) sumachead.Tokens { return s.Reserved }},
		{"spent", func(s escrow.Totals) sumachead.Tokens { return s.Spent }},
		{"returned", func(s escrow.Totals) sumachead.Tokens { return s.Returned }},
	} {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sumachead_gateway_escrow_tokens", Help: "Escrow of all workspaces, by state.", ConstLabels: prometheus.Labels{"state": s.state},
		}, func() float64 { return float64(s.of(g.wallet.Totals())) }))
	}
}

// recordServed records a request with a complete response.
func (m *Metrics) recordServed(x *exchange) {
	m.served.Inc()
	m.outcomes.WithLabelValues(x.route.GetName(), x.outcome()).Inc()
	m.firstByte.Observe(x.firstByteAt.Sub(x.arrived).Seconds())
	m.responseTime.Observe(time.Since(x.arrived).Seconds())
	if x.events > 1 {
		m.maxGap.Observe(x.maxGap.Seconds())
	}
}

// recordRefused records a request without a complete response.
func (m *Metrics) recordRefused(x *exchange, r sumachead.Reason) {
	m.refusals.WithLabelValues(string(r)).Inc()
	m.outcomes.WithLabelValues(x.route.GetName(), outcomeIncomplete).Inc()
}

// recordGrant records whether there was a grant for a cold server.
func (m *Metrics) recordGrant(granted bool) {
	m.coldGrants.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

func (m *Metrics) recordPermit(granted bool) {
	m.permits.WithLabelValues(strconv.FormatBool(granted)).Inc()
}

// Outcomes of requests.
const (
	outcomeInTime         = "in_time"
	outcomeLateFirstEvent = "late_first"
	outcomeLateGap        = "late_pause"
	outcomeIncomplete     = "not_whole"
)

// Where streams are resumed, and how the software versions of their servers compare.
const (
	withinResponse = "response"
	withinRequests = "requests"
	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

// How the responses of servers end.
const (
	endComplete = "complete"
	endInEvent  = "in_event"
	endBroken   = "broken"
)

// Resources that requests wait for.
const (
	waitDeclaration = "declaration"
	waitEscrow      = "escrow"
)

// minRecordedWait is the duration below which a request counts as not having waited.
const minRecordedWait = time.Millisecond

// recordWait records a request that has waited for a resource since a time.
func (m *Metrics) recordWait(what string, since time.Time, available bool) {
	if took := time.Since(since); took >= minRecordedWait {
		m.waits.WithLabelValues(what, strconv.FormatBool(available)).Observe(took.Seconds())
	}
}

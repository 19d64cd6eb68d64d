package gateway

import "sumachead/internal/intake"

// RecordClose records that the router closes a caller's connection.
func (g *Gateway) RecordClose(why intake.CloseReason) {
	g.metrics.callerCloses.WithLabelValues(string(why)).Inc()
}

// RecordLateRequest records that a request was read from a connection that the router was closing.
func (g *Gateway) RecordLateRequest(why intake.CloseReason) {
	g.metrics.lateRequests.WithLabelValues(string(why)).Inc()
	g.failureLog.Info(g.Log, "Request read from a connection that is being closed.", "reason", string(why))
}

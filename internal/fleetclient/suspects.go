package fleetclient

import (
	"context"

	"sumachead/api/wire"
)

// ReportCrashes reports requests that may crash servers to the leading keeper, and returns their
// standings.
func (c *Client) ReportCrashes(ctx context.Context, r *wire.EndsReport) (*wire.Suspects, error) {
	return Call[wire.Suspects](ctx, c, "Fleet.Ended", r)
}

// RequestTrial asks the leading keeper for the trial of a suspected request.
func (c *Client) RequestTrial(ctx context.Context, r *wire.TrialRequest) (*wire.TrialReply, error) {
	return Call[wire.TrialReply](ctx, c, "Fleet.Try", r)
}

package fleetclient

import (
	"context"

	"sumachead/api/wire"
)

// ReportEnds tells the leading keeper of requests that may end servers, and returns how these
// stand by it.
func (c *Client) ReportEnds(ctx context.Context, r *wire.EndsReport) (*wire.Suspects, error) {
	return Call[wire.Suspects](ctx, c, "Fleet.Ended", r)
}

// Try asks the leading keeper for the trial of a request that is suspected.
func (c *Client) Try(ctx context.Context, r *wire.TrialRequest) (*wire.TrialReply, error) {
	return Call[wire.TrialReply](ctx, c, "Fleet.Try", r)
}

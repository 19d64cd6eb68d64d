package fleetclient

import (
	"context"

	"sumachead/api/wire"
)

// ReportOutcomes reports outcomes for a service that is being rolled out to the leading keeper,
// and returns how many requests this node may send to the target version.
func (c *Client) ReportOutcomes(ctx context.Context, r *wire.RolloutReport) (*wire.RolloutGrants, error) {
	return Call[wire.RolloutGrants](ctx, c, "Fleet.Sample", r)
}

package fleetclient

import (
	"context"

	"sumachead/api/wire"
)

// Sample tells the leading keeper of a service that is rolled out, and returns what this node may
// send to the target version.
func (c *Client) Sample(ctx context.Context, r *wire.RolloutReport) (*wire.RolloutGrants, error) {
	return Call[wire.RolloutGrants](ctx, c, "Fleet.Sample", r)
}

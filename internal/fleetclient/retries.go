package fleetclient

import (
	"context"

	"sumachead/api/wire"
)

// RequestRetries asks the leading keeper for grants to retry requests.
func (c *Client) RequestRetries(ctx context.Context, r *wire.RetryRequest) (*wire.RetryReply, error) {
	r.Node = string(c.Node)
	return Call[wire.RetryReply](ctx, c, "Fleet.GrantRetries", r)
}

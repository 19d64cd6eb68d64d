package fleetclient

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// This file applies the leading keeper's replies.

// applyReply applies a reply. State never goes back: a declaration with a lower number is ignored.
func (c *Client) applyReply(r *wire.FollowReply) {
	// Apply halls, suspects and rollouts before the declaration, after which a router accepts
	// callers, and before servers, which may run a canary version.
	c.applyHalls(r.GetHalls())
	c.applyRollouts(r.GetRollouts())
	c.ApplySuspects(r.GetSuspects())
	c.Servers.Apply(r, time.Now())
	c.routers.report(r.GetRouters(), time.Now())
	if part := r.GetDeclaration(); part != nil {
		if p := c.declarations.Add(part, r.GetDeclarationOffset(), r.GetDeclarationBytes()); p != nil {
			c.applyPacked(p)
		}
	}
	if h := r.GetHallLink(); h != nil && c.OnHallLink != nil {
		c.OnHallLink(h)
	}
	c.notifyReclaim(r.GetLacking())
}

// applyHalls applies the states of data halls; nil changes nothing.
func (c *Client) applyHalls(s *wire.HallStates) {
	for _, x := range c.Servers.ApplyHalls(s, time.Now()) {
		c.Log.Info("State of a data hall in force.", "hall", x.GetHall(), "vacated", x.GetVacated(), "revision", x.GetRevision(),
			"age", time.Duration(x.GetAgeMillis())*time.Millisecond)
	}
}

// applyRollouts applies rollouts; nil changes nothing.
func (c *Client) applyRollouts(s *wire.Rollouts) {
	if s == nil {
		return
	}
	if c.Rollouts != nil {
		c.Rollouts.Update(s)
	}
	for _, x := range c.Servers.ApplyRollouts(s) {
		c.Log.Info("Rollout phase in force.", "service", x.GetService(), "target", x.GetTarget(), "phase", x.GetPhase().String(),
			"revision", x.GetRevision(), "age", time.Duration(x.GetAgeMillis())*time.Millisecond, "reason", x.GetReason())
	}
}

// ApplySuspects applies the standings of requests that crash servers; nil changes nothing.
func (c *Client) ApplySuspects(s *wire.Suspects) {
	if c.Suspects == nil || s == nil {
		return
	}
	changed := c.Suspects.Merge(s)
	for _, x := range changed {
		c.limitedLog.Info(c.Log, "Standing of a request in force.", "fingerprint", sumachead.Fingerprint(x.GetFingerprint()).String(),
			"standing", x.GetStanding().String(), "block", x.GetBlock().GetId(), "servers", x.GetServers(), "revision", x.GetRevision())
	}
	if len(changed) > 0 && c.OnSuspects != nil {
		c.OnSuspects(changed)
	}
}

// notifyReclaim passes on for which workspaces another node is short of escrow.
func (c *Client) notifyReclaim(names []string) {
	if len(names) == 0 || c.OnReclaim == nil {
		return
	}
	ids := make([]sumachead.WorkspaceID, 0, len(names))
	for _, id := range names {
		ids = append(ids, sumachead.WorkspaceID(id))
	}
	c.OnReclaim(ids)
}

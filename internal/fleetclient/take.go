package fleetclient

import (
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// What the leading keeper tells is put in force here.

// take puts an answer in force. What is known never goes back: a declaration
// with a lower number is passed over.
func (c *Client) take(r *wire.FollowReply) {
	// Halls, suspects and roll-outs come before the declaration, with which a router begins to
	// take callers, and before servers, which may be of a version that is on trial.
	c.takeHalls(r.GetHalls())
	c.takeRollouts(r.GetRollouts())
	c.TakeSuspects(r.GetSuspects())
	c.Servers.Take(r, time.Now())
	c.routers.Store(r.GetRouters())
	if p := r.GetDeclaration(); p != nil {
		c.unpack(p)
	}
	c.tellLacking(r.GetLacking())
}

// takeHalls puts the states of data halls in force; nil changes nothing.
func (c *Client) takeHalls(s *wire.HallStates) {
	for _, x := range c.Servers.TakeHalls(s, time.Now()) {
		c.Log.Info("A data hall's state is in force.", "hall", x.GetHall(), "vacated", x.GetVacated(), "revision", x.GetRevision(),
			"age", time.Duration(x.GetAgeMillis())*time.Millisecond)
	}
}

// takeRollouts puts roll-outs in force; nil changes nothing.
func (c *Client) takeRollouts(s *wire.Rollouts) {
	if s == nil {
		return
	}
	if c.Rollouts != nil {
		c.Rollouts.Update(s)
	}
	for _, x := range c.Servers.TakeRollouts(s) {
		c.Log.Info("A roll-out's phase is in force.", "service", x.GetService(), "target", x.GetTarget(), "phase", x.GetPhase().String(),
			"revision", x.GetRevision(), "age", time.Duration(x.GetAgeMillis())*time.Millisecond, "reason", x.GetReason())
	}
}

// TakeSuspects puts how requests stand in force that end servers; nil changes nothing.
func (c *Client) TakeSuspects(s *wire.Suspects) {
	if c.Suspects == nil || s == nil {
		return
	}
	for _, x := range c.Suspects.Merge(s) {
		c.lines.Info(c.Log, "How a request stands is in force.", "fingerprint", sumachead.Fingerprint(x.GetFingerprint()).String(),
			"standing", x.GetStanding().String(), "servers", x.GetServers(), "revision", x.GetRevision())
	}
}

// tellLacking passes on of which workspaces another node lacks escrow.
func (c *Client) tellLacking(names []string) {
	if len(names) == 0 || c.OnLacking == nil {
		return
	}
	ids := make([]sumachead.WorkspaceID, 0, len(names))
	for _, id := range names {
		ids = append(ids, sumachead.WorkspaceID(id))
	}
	c.OnLacking(ids)
}

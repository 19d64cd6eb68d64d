package fleet

import (
	"maps"
	"slices"
	"time"

	"sumachead/api/wire"
)

// GrantRetries grants a router retries of requests for a service.
func (s *service) GrantRetries(r *wire.RetryRequest, reply *wire.RetryReply) error {
	k := s.keeper
	if err := k.startLeadingRetries(); err != nil {
		return err
	}
	granted, wait, err := k.retries.Grant(k.history(), r.GetService(), r.GetRequests(), int(r.GetWanted()))
	if err != nil {
		return err
	}
	reply.Granted, reply.WaitMillis = uint32(granted), wait.Milliseconds()
	k.metrics.retryGrants.Add(float64(granted))
	if granted < int(r.GetWanted()) {
		k.limitedLog.Info(k.Log, "Retries denied.", "service", r.GetService(), "node", r.GetNode(), "wanted", r.GetWanted(), "granted", granted, "wait", wait.Round(time.Millisecond))
	}
	return nil
}

// startLeadingRetries returns an error unless this keeper leads and its state is current.
func (k *Keeper) startLeadingRetries() error {
	if err := k.requireLeadership(); err != nil {
		return err
	}
	k.retries.StartLeading(k.history(), k.machine.RetryServices())
	return nil
}

// recordRetryUse commits whether retries of a service are granted.
func (k *Keeper) recordRetryUse(service string, active bool) error {
	_, err := k.propose(&wire.FleetCommand{Command: &wire.FleetCommand_RetryUse{RetryUse: &wire.RetryUse{Service: service, Active: active}}})
	return err
}

// RetryServices returns the services for which retries may have been granted within the last window.
func (m *StateMachine) RetryServices() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.retryServices))
}

// applyRetryUse applies a command. The caller holds mu.
func (m *StateMachine) applyRetryUse(u *wire.RetryUse) {
	if u.GetActive() {
		m.retryServices[u.GetService()] = true
		return
	}
	delete(m.retryServices, u.GetService())
}

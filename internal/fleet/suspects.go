package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// The standing of requests and prompt blocks that crash servers is replicated by the log, so that it
// survives the crashes of keepers, and so that a router knows it before it accepts its first caller. It
// costs one commit for each report by which some become suspected, barred or cleared, and nothing until
// two servers have crashed under the same one.

// Suspects returns the suspects that changed after a revision.
func (m *StateMachine) Suspects(since uint64) *wire.Suspects {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Since(since)
}

// SuspectsRevision returns the revision of the newest change of a suspect.
func (m *StateMachine) SuspectsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Revision()
}

// Standing returns the standing of a request.
func (m *StateMachine) Standing(f sumachead.Fingerprint) wire.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Standing(f)
}

// CountSuspects returns the number of requests with a standing.
func (m *StateMachine) CountSuspects(s wire.Standing) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Count(s)
}

// suspectsIn returns the standings of the requests in a report.
func (m *StateMachine) suspectsIn(r *wire.EndsReport) *wire.Suspects {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.ForReport(r)
}

// Ended records a router's report on requests that may crash servers, and returns their standings.
func (s *service) Ended(r *wire.EndsReport, reply *wire.Suspects) error {
	k := s.keeper
	if err := k.requireLeadership(); err != nil {
		return err
	}
	if err := k.commitStandings(k.crashTracker.HandleReport(r, k.machine.Standing, time.Now()), r.GetNode()); err != nil {
		return err
	}
	proto.Merge(reply, k.machine.suspectsIn(r))
	return nil
}

// Try grants a router the trial of a suspected request.
func (s *service) Try(r *wire.TrialRequest, reply *wire.TrialReply) error {
	k := s.keeper
	if err := k.requireLeadership(); err != nil {
		return err
	}
	reply.Trial = k.crashTracker.DecideTrial(r, k.machine.Standing, time.Now())
	return nil
}

// Suspects returns the standings of all suspects; the read is linearizable.
func (s *service) Suspects(_ *wire.Empty, reply *wire.Suspects) error {
	if err := s.keeper.requireLeadership(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.machine.Suspects(0))
	return nil
}

// commitStandings commits changed standings of requests.
func (k *Keeper) commitStandings(changes []*wire.Suspect, from string) error {
	if len(changes) == 0 {
		return nil
	}
	for _, x := range changes {
		k.limitedLog.Info(k.Log, "Standing of a request changed.", "fingerprint", sumachead.Fingerprint(x.GetFingerprint()).String(),
			"standing", x.GetStanding().String(), "block", x.GetBlock().GetId(), "servers", x.GetServers(), "told_by", from)
	}
	_, err := k.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Suspects{Suspects: &wire.Suspects{Suspects: changes}}})
	return err
}

// expireSuspects commits the changes for suspects whose standing has expired.
func (k *Keeper) expireSuspects(now time.Time) {
	if err := k.commitStandings(k.crashTracker.Expire(k.machine.Suspects(0).GetSuspects(), now), ""); err != nil {
		// The next sweep retries it.
		k.limitedLog.Info(k.Log, "Failed to commit expired standings of suspects.", "error", err)
	}
}

// decideSuspects commits the changes that become due some time after a crash.
func (k *Keeper) decideSuspects(now time.Time) {
	if err := k.commitStandings(k.crashTracker.DecidePending(k.machine.Standing, now), ""); err != nil {
		// The next check retries it.
		k.limitedLog.Info(k.Log, "Failed to commit standings of suspects.", "error", err)
	}
}

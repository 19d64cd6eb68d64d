package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
)

// How requests stand that end servers is part of the log, so that it survives what may end
// meanwhile, and so that a router knows it before it takes its first caller. It costs a
// commit for each request that is suspected, barred or cleared, and nothing on a day without
// two ends under one request.

// Suspects returns the suspects that changed after a revision.
func (m *Machine) Suspects(since uint64) *wire.Suspects {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Since(since)
}

// SuspectsRevision returns the revision of the newest change of a suspect.
func (m *Machine) SuspectsRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Revision()
}

// Standing returns how a request stands.
func (m *Machine) Standing(f sumachead.Fingerprint) wire.Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Standing(f)
}

// CountSuspects returns how many requests stand in a way.
func (m *Machine) CountSuspects(s wire.Standing) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.Count(s)
}

// some returns how the requests of a report stand.
func (m *Machine) some(r *wire.EndsReport) *wire.Suspects {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspects.ForReport(r)
}

// Ended takes in what a router tells of requests that may end servers, and answers how these
// stand by it.
func (s *service) Ended(r *wire.EndsReport, reply *wire.Suspects) error {
	k := s.keeper
	if err := k.leading(); err != nil {
		return err
	}
	if err := k.setSuspects(k.docket.HandleReport(r, k.machine.Standing, time.Now()), r.GetNode()); err != nil {
		return err
	}
	proto.Merge(reply, k.machine.some(r))
	return nil
}

// Try grants a router the trial of a request that is suspected.
func (s *service) Try(r *wire.TrialRequest, reply *wire.TrialReply) error {
	k := s.keeper
	if err := k.leading(); err != nil {
		return err
	}
	reply.Trial = k.docket.DecideTrial(r, k.machine.Standing, time.Now())
	return nil
}

// Suspects lists how all suspects stand; the answer is linearizable.
func (s *service) Suspects(_ *wire.Empty, reply *wire.Suspects) error {
	if err := s.keeper.leading(); err != nil {
		return err
	}
	proto.Merge(reply, s.keeper.machine.Suspects(0))
	return nil
}

// setSuspects commits how requests stand anew.
func (k *Keeper) setSuspects(changes []*wire.Suspect, from string) error {
	if len(changes) == 0 {
		return nil
	}
	for _, x := range changes {
		k.lines.Info(k.Log, "A request stands anew for what ended under it.", "fingerprint", sumachead.Fingerprint(x.GetFingerprint()).String(),
			"standing", x.GetStanding().String(), "servers", x.GetServers(), "told_by", from)
	}
	_, err := k.propose(&wire.FleetCommand{Command: &wire.FleetCommand_Suspects{Suspects: &wire.Suspects{Suspects: changes}}})
	return err
}

// sweepSuspects looks for suspects that have stood as they do for long.
func (k *Keeper) sweepSuspects(now time.Time) {
	if err := k.setSuspects(k.docket.Expire(k.machine.Suspects(0).GetSuspects(), now), ""); err != nil {
		// The next sweep finds them again.
		k.lines.Info(k.Log, "Suspects stand as they did: the change was not committed.", "error", err)
	}
}

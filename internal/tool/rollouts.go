package tool

import (
	"strings"

	"sumachead/api/wire"
)

// rolloutsShow prints the newest rollout of each service of a declared fleet.
type rolloutsShow struct {
	app *app
	fleetOptions
}

// Execute implements flags.Commander.
func (r *rolloutsShow) Execute([]string) error {
	s, err := callLeader[wire.Rollouts](r.app, &r.fleetOptions, "Fleet.Rollouts", &wire.Empty{})
	if err != nil {
		return err
	}
	return r.print(s)
}

func (r *rolloutsShow) print(s *wire.Rollouts) error {
	if r.app.JSON {
		return r.app.printProto(s)
	}
	if len(s.GetRollouts()) == 0 {
		r.app.printf("no rollout has been ordered\n")
	}
	for _, x := range s.GetRollouts() {
		r.app.printf("%s to %s: %s, ordered %s, until %s (order %d)\n", x.GetService(), x.GetTarget(), phaseName(x.GetPhase()),
			formatTime(x.GetOrderedUnixMillis()), formatTime(x.GetDeadlineUnixMillis()), x.GetOrder())
		r.app.printf("  canary requests allowed: %d, of %d requests to the service\n", x.GetAllowed(), x.GetReached())
		if x.GetReason() != "" {
			r.app.printf("  %s\n", x.GetReason())
		}
	}
	return nil
}

// phaseName returns the name of a phase for printing.
func phaseName(p wire.RolloutPhase) string {
	name := strings.TrimPrefix(p.String(), "ROLLOUT_PHASE_")
	return strings.ReplaceAll(strings.ToLower(name), "_", " ")
}

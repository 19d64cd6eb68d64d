package tool

import (
	"strings"

	"sumachead/api/wire"
)

// rolloutsShow prints the newest roll-outs of a declared fleet's services.
type rolloutsShow struct {
	app *app
	fleetKeepers
}

// Execute implements flags.Commander.
func (r *rolloutsShow) Execute([]string) error {
	s, err := callLeader[wire.Rollouts](r.app, &r.fleetKeepers, "Fleet.Rollouts", &wire.Empty{})
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
		r.app.printf("no roll-out was ever ordered\n")
	}
	for _, x := range s.GetRollouts() {
		r.app.printf("%s to %s: %s, ordered %s, until %s (order %d)\n", x.GetService(), x.GetTarget(), phaseName(x.GetPhase()),
			since(x.GetOrderedUnixMillis()), since(x.GetDeadlineUnixMillis()), x.GetOrder())
		r.app.printf("  on trial %d requests may go to it, of %d that came\n", x.GetAllowed(), x.GetReached())
		if x.GetReason() != "" {
			r.app.printf("  %s\n", x.GetReason())
		}
	}
	return nil
}

// phaseName returns the name of a phase as it is printed.
func phaseName(p wire.RolloutPhase) string {
	name := strings.TrimPrefix(p.String(), "ROLLOUT_PHASE_")
	return strings.ReplaceAll(strings.ToLower(name), "_", " ")
}

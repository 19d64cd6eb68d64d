package tool

import (
	"time"

	"sumachead/api/wire"
)

// hallsShow prints which data halls of a declared fleet are vacated.
type hallsShow struct {
	app *app
	fleetKeepers
}

// Execute implements flags.Commander.
func (h *hallsShow) Execute([]string) error {
	s, err := callLeader[wire.HallStates](h.app, &h.fleetKeepers, "Fleet.Halls", &wire.Empty{})
	if err != nil {
		return err
	}
	return h.print(s)
}

func (h *hallsShow) print(s *wire.HallStates) error {
	if h.app.JSON {
		return h.app.printProto(s)
	}
	if len(s.GetHalls()) == 0 {
		h.app.printf("no data hall was ever vacated\n")
	}
	for _, x := range s.GetHalls() {
		state := "open"
		if x.GetVacated() {
			state = "vacated"
		}
		h.app.printf("%s: %s since %s (order %d)\n", x.GetHall(), state, since(x.GetSinceUnixMillis()), x.GetRevision())
	}
	return nil
}

// since prints a moment in Unix milliseconds.
func since(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

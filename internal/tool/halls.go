package tool

import (
	"time"

	"sumachead/api/wire"
)

// hallsShow prints which data halls of a declared fleet are vacated.
type hallsShow struct {
	app *app
	fleetOptions
}

// Execute implements flags.Commander.
func (h *hallsShow) Execute([]string) error {
	s, err := callLeader[wire.HallStates](h.app, &h.fleetOptions, "Fleet.Halls", &wire.Empty{})
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
		h.app.printf("no data hall has been vacated\n")
	}
	for _, x := range s.GetHalls() {
		state := "open"
		if x.GetVacated() {
			state = "vacated"
		}
		h.app.printf("%s: %s since %s (order %d)\n", x.GetHall(), state, formatTime(x.GetSinceUnixMillis()), x.GetRevision())
	}
	return nil
}

// formatTime formats a time given in Unix milliseconds.
func formatTime(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

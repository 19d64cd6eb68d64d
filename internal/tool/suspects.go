package tool

import (
	"encoding/hex"
	"strings"

	"sumachead"
	"sumachead/api/wire"
)

// suspectsShow prints the requests of a declared fleet that end servers, or clears one.
type suspectsShow struct {
	app *app
	fleetKeepers
	Clear string `long:"clear" value-name:"FINGERPRINT" description:"hold nothing against this request any more"`
}

// Execute implements flags.Commander.
func (s *suspectsShow) Execute([]string) error {
	if s.Clear != "" {
		return s.clear()
	}
	list, err := callLeader[wire.Suspects](s.app, &s.fleetKeepers, "Fleet.Suspects", &wire.Empty{})
	if err != nil {
		return err
	}
	return s.print(list)
}

// clear lifts what is held against a request.
func (s *suspectsShow) clear() error {
	f, err := hex.DecodeString(s.Clear)
	if err != nil || len(f) != len(sumachead.Fingerprint{}) {
		return exit(ExitUsage, "a fingerprint has 32 digits, as the lines show it")
	}
	_, err = callLeader[wire.Suspects](s.app, &s.fleetKeepers, "Fleet.Ended", &wire.EndsReport{Node: "operator", Survived: [][]byte{f}})
	return err
}

func (s *suspectsShow) print(list *wire.Suspects) error {
	if s.app.JSON {
		return s.app.printProto(list)
	}
	words := map[wire.Standing]string{
		wire.Standing_STANDING_CLEARED: "cleared", wire.Standing_STANDING_SUSPECTED: "suspected", wire.Standing_STANDING_BARRED: "barred",
	}
	if len(list.GetSuspects()) == 0 {
		s.app.printf("nothing is held against any request\n")
	}
	for _, x := range list.GetSuspects() {
		s.app.printf("%s: %s since %s; servers that ended: %s\n", hex.EncodeToString(x.GetFingerprint()), words[x.GetStanding()],
			since(x.GetSinceUnixMillis()), strings.Join(x.GetServers(), " "))
	}
	return nil
}

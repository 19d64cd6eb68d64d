package tool

import (
	"encoding/hex"
	"fmt"
	"strings"

	"sumachead"
	"sumachead/api/wire"
)

// suspectsShow prints the requests and prompt blocks of a declared fleet that crash servers, or clears
// one.
type suspectsShow struct {
	app *app
	fleetOptions
	Clear string `long:"clear" value-name:"FINGERPRINT" description:"clear this request or prompt block"`
}

// Execute implements flags.Commander.
func (s *suspectsShow) Execute([]string) error {
	if s.Clear != "" {
		return s.clear()
	}
	list, err := callLeader[wire.Suspects](s.app, &s.fleetOptions, "Fleet.Suspects", &wire.Empty{})
	if err != nil {
		return err
	}
	return s.print(list)
}

// clear lifts the suspicion or bar on a request or prompt block.
func (s *suspectsShow) clear() error {
	f, err := hex.DecodeString(s.Clear)
	if err != nil || len(f) != len(sumachead.Fingerprint{}) {
		return exitErrorf(ExitUsage, "a fingerprint has 32 hexadecimal digits, as printed without --clear")
	}
	_, err = callLeader[wire.Suspects](s.app, &s.fleetOptions, "Fleet.Ended", &wire.EndsReport{Node: "operator", Survived: [][]byte{f}})
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
		what := ""
		if b := x.GetBlock(); b != nil {
			what = fmt.Sprintf("; prompt block %s at version %q of %s", b.GetId(), b.GetSoftware(), b.GetService())
		}
		s.app.printf("%s: %s since %s; crashed servers: %s%s\n", hex.EncodeToString(x.GetFingerprint()), words[x.GetStanding()],
			formatTime(x.GetSinceUnixMillis()), strings.Join(x.GetServers(), " "), what)
	}
	return nil
}

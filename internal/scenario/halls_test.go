package scenario

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxVacateDelay is how long after the acknowledgement a vacated data hall may still get new
// requests. Times without a quorum of keepers don't count, since routers can't be notified of
// an order acknowledged just before.
const maxVacateDelay = 2 * time.Second

// Limits of a cold engine, and how far routers may exceed them in any second, as the platform
// configures them.
const (
	coldDuration = 3 * time.Second
	coldRate     = 6.6
	coldOverage  = 1.5
	coldSlack    = 5
)

// vacatedSpan is a period in which a data hall was vacated.
type vacatedSpan struct {
	hall string
	// ackedAt is when the order was acknowledged, and reopenedAt when the first order to reopen
	// the hall was sent, or zero if none was.
	ackedAt    time.Time
	reopenedAt time.Time
}

// vacate sends an order for a data hall to the keepers in turn until one accepts it, and records
// it for the check of invariants.
func (f *fleet) vacate(hall string, vacated bool, timeout time.Duration) error {
	if !vacated {
		f.recordReopening(hall)
	}
	n := 0
	err := eventually(timeout, fmt.Sprintf("the order for %s (vacated: %t) is accepted", hall, vacated), func() bool {
		n++
		c := f.controlAddresses()
		return f.orderVacateAt(c[n%len(c)], hall, vacated) == http.StatusOK
	})
	if err == nil && vacated {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.vacatedSpans = append(f.vacatedSpans, vacatedSpan{hall: hall, ackedAt: time.Now()})
	}
	return err
}

// recordReopening records that a data hall is about to be reopened.
func (f *fleet) recordReopening(hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, v := range f.vacatedSpans {
		if v.hall == hall && v.reopenedAt.IsZero() {
			f.vacatedSpans[i].reopenedAt = time.Now()
		}
	}
}

// orderVacateAt sends an order to one keeper and returns the status, or 0 without a response.
func (f *fleet) orderVacateAt(address, hall string, vacated bool) int {
	verb := "End"
	if vacated {
		verb = "Start"
	}
	return f.post(fmt.Sprintf("http://%s/v1/Evacuate.%s/%s", address, verb, hall), http.NoBody)
}

// vacatedSpanAt returns the span in which a data hall may get no new requests at the given time,
// or nil. The caller holds mu.
func (f *fleet) vacatedSpanAt(hall string, at time.Time) *vacatedSpan {
	for i, v := range f.vacatedSpans {
		if v.hall == hall && at.After(f.net.effectDeadline(v.ackedAt, maxVacateDelay)) && (v.reopenedAt.IsZero() || at.Before(v.reopenedAt)) {
			return &f.vacatedSpans[i]
		}
	}
	return nil
}

// vacate HALL [off=true] [at=KEEPER] [want=200] [within=5s] orders a data hall to be vacated, or
// reopened with off. With at, the order goes to that keeper only, which must answer with want.
func cmdVacate(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	at, want, timeout, off := "", http.StatusOK, 5*time.Second, false
	parseOptions(ts, args[1:], map[string]func(string) error{
		"at": toString(&at), "want": toInt(&want), "within": toDuration(&timeout), "off": toBool(&off),
	})
	if at == "" {
		ts.Check(f.vacate(args[0], !off, timeout))
		return
	}
	if got := f.orderVacateAt(fmt.Sprintf("%s:%d", f.advertisedIP(f.indexOf(at)), f.controlPort), args[0], !off); got != want {
		ts.Fatalf("%s at %s: status %d, want %d", args[0], at, got, want)
	}
}

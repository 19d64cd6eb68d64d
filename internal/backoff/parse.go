package backoff

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxBackoff bounds a backoff window; longer requests are cut to it.
const MaxBackoff = 24 * time.Hour

// ErrInvalid is returned for a value that tells no time.
var ErrInvalid = errors.New("it is neither a number of seconds nor a date")

// Parse parses the Retry-After header (RFC 9110, 10.2.3) of an answer received at now: seconds,
// here with fractions, or a date, relative to the Date header of the answer where there is one.
// Times in the past are 0. The error is [ErrInvalid].
func Parse(value, answered string, now time.Time) (time.Duration, error) {
	value = strings.TrimSpace(value)
	const bits = 64
	if s, err := strconv.ParseFloat(value, bits); err == nil || errors.Is(err, strconv.ErrRange) {
		if math.IsNaN(s) || s < 0 {
			return 0, ErrInvalid
		}
		return time.Duration(min(s, MaxBackoff.Seconds()) * float64(time.Second)), nil
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, ErrInvalid
	}
	from, err := http.ParseTime(answered)
	if err != nil {
		from = now
	}
	return min(max(at.Sub(from), 0), MaxBackoff), nil
}

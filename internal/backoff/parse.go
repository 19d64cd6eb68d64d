package backoff

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxBackoff is the longest backoff window; longer requests are truncated to it.
const MaxBackoff = 24 * time.Hour

// ErrInvalid is returned for a value that is not a valid Retry-After.
var ErrInvalid = errors.New("neither a number of seconds nor an HTTP date")

// Parse parses the Retry-After header (RFC 9110, section 10.2.3) of a response received at now:
// a number of seconds, which may have a fraction here, or a date, taken relative to the Date header
// of the response if there is one. Dates in the past yield 0. The error is always [ErrInvalid].
func Parse(value, dateHeader string, now time.Time) (time.Duration, error) {
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
	from, err := http.ParseTime(dateHeader)
	if err != nil {
		from = now
	}
	return min(max(at.Sub(from), 0), MaxBackoff), nil
}

package backoff

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Longest bounds what a server may ask for: nobody knows a day ahead that it wants nothing,
// and a larger number would not fit a time.
const Longest = 24 * time.Hour

// ErrNoRest says that a value tells no time for which to stay away.
var ErrNoRest = errors.New("it is neither a number of seconds nor a date")

// Parse reads a Retry-After header (RFC 9110, 10.2.3) of an answer that came at now: seconds,
// here with fractions, or a date, which counts from the date of the answer where it tells one,
// since hosts' clocks differ. What is over already is 0, and what is longer than [Longest] is
// that. The error is [ErrNoRest].
func Parse(value, answered string, now time.Time) (time.Duration, error) {
	value = strings.TrimSpace(value)
	const bits = 64
	if s, err := strconv.ParseFloat(value, bits); err == nil || errors.Is(err, strconv.ErrRange) {
		if math.IsNaN(s) || s < 0 {
			return 0, ErrNoRest
		}
		return time.Duration(min(s, Longest.Seconds()) * float64(time.Second)), nil
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, ErrNoRest
	}
	from, err := http.ParseTime(answered)
	if err != nil {
		from = now
	}
	return min(max(at.Sub(from), 0), Longest), nil
}

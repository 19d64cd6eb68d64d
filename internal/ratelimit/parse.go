package ratelimit

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"sumachead"
)

const (
	// MinRate replaces lower limits, 0 among them: a server that receives nothing can't say
	// that it takes requests again.
	MinRate sumachead.RequestRate = 0.1
	// MaxRate is the rate from which on a limit is none.
	MaxRate sumachead.RequestRate = 100_000
)

// ErrNoRate is returned for a value that is not a rate.
var ErrNoRate = errors.New("not a number of requests a second")

// Parse parses the request limit that a server names in an answer, in requests a second. It
// returns 0 for a rate that limits nothing, such as an infinite one. The error is [ErrNoRate].
func Parse(value string) (sumachead.RequestRate, error) {
	const bits = 64
	r, err := strconv.ParseFloat(strings.TrimSpace(value), bits)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(r) || r < 0 {
		return 0, ErrNoRate
	}
	if r >= float64(MaxRate) {
		return 0, nil
	}
	return max(sumachead.RequestRate(r), MinRate), nil
}

package ratelimit

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"sumachead"
)

const (
	// MinRate replaces lower limits, including 0: a server that receives no requests can't respond
	// that it accepts them again.
	MinRate sumachead.RequestRate = 0.1
	// MaxRate is the rate from which on a limit counts as unlimited.
	MaxRate sumachead.RequestRate = 100_000
)

// ErrInvalid is returned for a value that is not a rate.
var ErrInvalid = errors.New("not a number of requests per second")

// Parse parses the request limit in a server's response, in requests per second. It returns 0 for a
// rate that limits nothing, such as an infinite one. The error is always [ErrInvalid].
func Parse(value string) (sumachead.RequestRate, error) {
	const bits = 64
	r, err := strconv.ParseFloat(strings.TrimSpace(value), bits)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(r) || r < 0 {
		return 0, ErrInvalid
	}
	if r >= float64(MaxRate) {
		return 0, nil
	}
	return max(sumachead.RequestRate(r), MinRate), nil
}

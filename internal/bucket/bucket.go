// Package bucket is a token bucket that may be one of many small parts of a whole.
//
// A bound that many processes share without messages is divided by their number, and a
// part may then be less than one token. Such a [Bucket] gives out a whole token by chance,
// with the probability of what it holds, and is empty after the draw, whichever way that
// went: all parts together give out what the whole may, on average, and in any short time
// by hardly more than chance. (Where a draw that failed used nothing up, 410 parts of 3.3
// a second gave out 22 within one second.)
package bucket

import (
	"math/rand/v2"
	"time"
)

// Bucket holds tokens up to a size that the caller tells with each call, since it may
// change. It is full at first; the zero value is ready. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	// filled is when tokens was last brought up to date; zero before the first call.
	filled time.Time
}

// Fill earns what the time since the last call is worth, at a rate of tokens a second, up
// to size.
func (b *Bucket) Fill(rate, size float64, now time.Time) {
	if b.filled.IsZero() {
		b.tokens = size
	} else {
		b.tokens += rate * now.Sub(b.filled).Seconds()
	}
	b.filled = now
	b.tokens = min(b.tokens, size)
}

// Start makes the bucket hold so many tokens instead of being full at first.
func (b *Bucket) Start(tokens float64, now time.Time) { b.tokens, b.filled = tokens, now }

// Add puts tokens in, up to size.
func (b *Bucket) Add(tokens, size float64) { b.tokens = min(b.tokens+tokens, size) }

// Take takes a whole token and reports whether there was one. A bucket of a size below one
// draws for it.
func (b *Bucket) Take(size float64) bool {
	if size < 1 {
		p := max(b.tokens, 0)
		b.tokens = 0
		return rand.Float64() < p
	}
	return b.TakeAbove(0)
}

// TakeAbove takes a whole token if so many more are left afterwards.
func (b *Bucket) TakeAbove(left float64) bool {
	if b.tokens < 1+left {
		return false
	}
	b.tokens--
	return true
}

// Until returns how long it takes, at a rate of tokens a second, until the bucket holds so
// many; 0 if it does.
func (b *Bucket) Until(tokens, rate float64) time.Duration {
	if b.tokens >= tokens || rate <= 0 {
		return 0
	}
	return time.Duration((tokens - b.tokens) / rate * float64(time.Second))
}

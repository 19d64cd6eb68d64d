// Package bucket provides a token bucket that may be a small part of a rate limit shared by many
// processes.
//
// A limit that processes share without coordination is divided by their number, and the size of a
// part may then be less than one token. Such a [Bucket] grants a whole token at random, with a
// probability equal to the tokens it holds, and is empty afterwards whether it granted one or not. So
// all parts together grant the shared rate on average, and hardly exceed it for short times beyond
// random variation. If a failed attempt left the tokens in the bucket, 410 parts that share 3.3 tokens
// per second could grant 22 in one second.
package bucket

import (
	"math/rand/v2"
	"time"
)

// Bucket holds tokens up to a size, which callers pass to each call since it may change. It is
// initially full; the zero value is ready to use. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	// refilledAt is when tokens was last updated; zero before the first call.
	refilledAt time.Time
}

// Refill adds the tokens for the time since the last call, at a rate in tokens per second, up to size.
func (b *Bucket) Refill(rate, size float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = size
	} else {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, size)
}

// Reset sets the tokens that the bucket holds. Before the first Refill it replaces the initial full
// bucket.
func (b *Bucket) Reset(tokens float64, now time.Time) { b.tokens, b.refilledAt = tokens, now }

// Add adds tokens, up to size.
func (b *Bucket) Add(tokens, size float64) { b.tokens = min(b.tokens+tokens, size) }

// Take takes a whole token and reports whether there was one. With a size below one, it grants the
// token at random.
func (b *Bucket) Take(size float64) bool {
	if size < 1 {
		p := max(b.tokens, 0)
		b.tokens = 0
		return rand.Float64() < p
	}
	return b.TakeAbove(0)
}

// TakeAbove takes a whole token if at least the reserved tokens remain afterwards, and reports whether
// it did.
func (b *Bucket) TakeAbove(reserved float64) bool {
	if b.tokens < 1+reserved {
		return false
	}
	b.tokens--
	return true
}

// TimeUntil returns how long it takes, at a rate in tokens per second, until the bucket holds the given
// number of tokens, or 0 if it already does.
func (b *Bucket) TimeUntil(tokens, rate float64) time.Duration {
	if b.tokens >= tokens || rate <= 0 {
		return 0
	}
	return time.Duration((tokens - b.tokens) / rate * float64(time.Second))
}

package rollout

import (
	"math"
	"time"
)

// Durations are counted in buckets, each a quarter wider than the previous one. All routers use the
// same buckets, so that their histograms can be added.

const (
	// firstBound is the upper bound of the first bucket.
	firstBound = time.Millisecond
	// boundFactor is the ratio of the bounds of consecutive buckets.
	boundFactor = 1.25
	// numBuckets is the number of buckets. The last one holds all durations from a few minutes on.
	numBuckets = 56
)

// bucketOf returns the index of the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	c := math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(boundFactor))
	return min(int(c), numBuckets-1)
}

// histogram counts durations by bucket.
type histogram [numBuckets]int64

// add counts a duration.
func (h *histogram) add(d time.Duration) { h[bucketOf(d)]++ }

// total returns the number of durations counted.
func (h *histogram) total() int64 { return h.above(-1) }

// above returns the number of durations in buckets above one.
func (h *histogram) above(bucket int) int64 {
	var n int64
	for _, x := range h[min(max(bucket+1, 0), numBuckets):] {
		n += x
	}
	return n
}

// quantile returns the lowest bucket at or below which there is the given fraction of all durations.
func (h *histogram) quantile(fraction float64) int {
	want := fraction * float64(h.total())
	var n int64
	for c, x := range h {
		n += x
		if float64(n) >= want {
			return c
		}
	}
	return numBuckets - 1
}

// merge adds the counts of another histogram, which may omit zeros at the end.
func (h *histogram) merge(counts []uint32) {
	for c, x := range counts[:min(len(counts), numBuckets)] {
		h[c] += int64(x)
	}
}

// encode returns the counts without zeros at the end.
func (h *histogram) encode() []uint32 {
	var out []uint32
	for c, x := range h {
		if x == 0 {
			continue
		}
		for len(out) <= c {
			out = append(out, 0)
		}
		out[c] = uint32(x)
	}
	return out
}

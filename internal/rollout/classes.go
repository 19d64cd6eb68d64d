package rollout

import (
	"math"
	"time"
)

// Lengths of time are counted by classes, each a quarter longer than the one before, so that
// histograms of many routers add up.

const (
	// firstClass is the upper end of the first class.
	firstClass = time.Millisecond
	// classFactor is how many times longer each class is than the one before.
	classFactor = 1.25
	// classes is how many there are: the last one holds all from some minutes on.
	classes = 56
)

// classOf returns the class of a length of time.
func classOf(d time.Duration) int {
	if d <= firstClass {
		return 0
	}
	c := math.Ceil(math.Log(float64(d)/float64(firstClass)) / math.Log(classFactor))
	return min(int(c), classes-1)
}

// histogram counts lengths of time by class.
type histogram [classes]int64

// add counts one more.
func (h *histogram) add(d time.Duration) { h[classOf(d)]++ }

// total returns how many are counted.
func (h *histogram) total() int64 { return h.above(-1) }

// above returns how many are of a higher class.
func (h *histogram) above(class int) int64 {
	var n int64
	for _, x := range h[min(max(class+1, 0), classes):] {
		n += x
	}
	return n
}

// quantile returns the class below or in which a part of all is.
func (h *histogram) quantile(part float64) int {
	want := part * float64(h.total())
	var n int64
	for c, x := range h {
		n += x
		if float64(n) >= want {
			return c
		}
	}
	return classes - 1
}

// merge adds another's counts, which may end early.
func (h *histogram) merge(counts []uint32) {
	for c, x := range counts[:min(len(counts), classes)] {
		h[c] += int64(x)
	}
}

// encode returns the counts without the zeros at the end.
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

package place

import (
	"math"
	"time"

	"sumachead"
)

const (
	// firstBase, firstPerToken, firstPerPair and firstPerFetched are what a first event
	// takes as long as nothing was measured: the way there and back with some steps, a
	// token of a prompt, a pair of a token that is read and one before it, and a token
	// that is fetched. They are those of a slow engine; a few prompts replace them.
	firstBase       = 40 * time.Millisecond
	firstPerToken   = 33 * time.Microsecond
	firstPerPair    = 0.4 // nanoseconds
	firstPerFetched = 15 * time.Microsecond

	// readingMemory is by how much one measurement makes the earlier ones count less:
	// some two hundred count.
	readingMemory = 0.995
	// priorWeight is how many measurements the first figures count as.
	priorWeight = 3
	// outlier bounds a measurement, as a multiple of what was expected: what else held
	// a prompt up is not known here.
	outlier = 2.5

	// singular is the pivot below which the measurements do not determine a figure.
	singular = 1e-9

	// Scales of the features, so that they are of the same order of size.
	tokenScale = 1e4
	pairScale  = 1e9

	// slowest and fastest bound how a server's speed is taken to differ from the usual
	// one, and factorWeight is the weight of one measurement of it.
	slowest      = 8.0
	fastest      = 0.5
	factorWeight = 0.15
	// factorFrom is the least time of reading, as predicted, that tells of speed: what
	// else a first event takes varies by some ms.
	factorFrom = 30 * time.Millisecond
)

// numFeatures is how many features a prompt has.
const numFeatures = 4

// features of a prompt that is read: 1, tokens, pairs of a token that is read and one
// before it, and tokens that are fetched. Attention makes each token dearer the more
// stand before it.
type features [numFeatures]float64

// featuresOf returns those of the last unread tokens of a prompt.
func featuresOf(unread, prompt, fetched sumachead.Tokens) features {
	u, p := float64(unread), float64(prompt)
	return features{1, u / tokenScale, (p*p - (p-u)*(p-u)) / 2 / pairScale, float64(fetched) / tokenScale}
}

// Reading predicts how long engines take from a request to its first event: a least
// squares fit to what was observed, in which old measurements fade. The zero value is
// not ready; use newReading.
type Reading struct {
	// gram and moment are the sums of the normal equations.
	gram   [numFeatures]features
	moment features
	// per is the solution, in nanoseconds for each feature; none is below 0.
	per features
}

// newReading returns a model that expects the first figures.
func newReading() *Reading {
	r := &Reading{per: features{
		float64(firstBase), float64(firstPerToken) * tokenScale, firstPerPair * pairScale, float64(firstPerFetched) * tokenScale,
	}}
	for i := range r.per {
		r.gram[i][i] = priorWeight
		r.moment[i] = priorWeight * r.per[i]
	}
	return r
}

// Base returns what a first event takes beside the reading.
func (r *Reading) Base() time.Duration { return time.Duration(r.per[0]) }

// Time returns how long the last unread tokens of a prompt take to be read.
func (r *Reading) Time(unread, prompt sumachead.Tokens) time.Duration {
	f := featuresOf(unread, prompt, 0)
	return time.Duration(f[1]*r.per[1] + f[2]*r.per[2])
}

// Fetch returns how long tokens take to be fetched from another engine.
func (r *Reading) Fetch(fetched sumachead.Tokens) time.Duration {
	return time.Duration(float64(fetched) / tokenScale * r.per[3])
}

// Note takes in a first event that came after a time, with nothing else to read.
func (r *Reading) Note(unread, prompt, fetched sumachead.Tokens, took time.Duration) {
	expected := r.Base() + r.Time(unread, prompt) + r.Fetch(fetched)
	y := min(float64(took), outlier*float64(expected))
	f := featuresOf(unread, prompt, fetched)
	for i := range f {
		for j := range f {
			r.gram[i][j] = r.gram[i][j]*readingMemory + f[i]*f[j]
		}
		r.moment[i] = r.moment[i]*readingMemory + f[i]*y
	}
	r.solve()
}

// solve fits the figures by elimination with pivots. Where the measurements do not
// determine them, they stay.
func (r *Reading) solve() {
	m, v := r.gram, r.moment
	for i := range v {
		p := i
		for j := i + 1; j < numFeatures; j++ {
			if math.Abs(m[j][i]) > math.Abs(m[p][i]) {
				p = j
			}
		}
		m[i], m[p] = m[p], m[i]
		v[i], v[p] = v[p], v[i]
		if math.Abs(m[i][i]) < singular {
			return
		}
		for j := i + 1; j < numFeatures; j++ {
			by := m[j][i] / m[i][i]
			for k := i; k < numFeatures; k++ {
				m[j][k] -= by * m[i][k]
			}
			v[j] -= by * v[i]
		}
	}
	for i := numFeatures - 1; i >= 0; i-- {
		for k := i + 1; k < numFeatures; k++ {
			v[i] -= m[i][k] * v[k]
		}
		v[i] /= m[i][i]
	}
	for i := range v {
		r.per[i] = max(v[i], 0)
	}
}

// decaying is a sum that fades with time.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time, with a time constant.
func (d *decaying) value(now time.Time, memory time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(memory))
}

// add adds an amount.
func (d *decaying) add(amount float64, now time.Time, memory time.Duration) {
	d.sum, d.at = d.value(now, memory)+amount, now
}

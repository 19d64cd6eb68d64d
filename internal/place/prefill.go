package place

import (
	"math"
	"time"

	"sumachead"
)

const (
	// initialBase, initialPerToken, initialPerPair and initialPerFetched are the parts of the
	// time to the first event before any was observed: the round trip and some engine steps,
	// each token of the prompt, each pair of a prefilled token and one before it, and each
	// fetched token. They are those of a slow engine; a few prompts replace them.
	initialBase       = 40 * time.Millisecond
	initialPerToken   = 33 * time.Microsecond
	initialPerPair    = 0.4 // nanoseconds
	initialPerFetched = 15 * time.Microsecond

	// sampleDecay is the factor by which each sample reduces the weight of earlier ones: some
	// two hundred count.
	sampleDecay = 0.995
	// priorWeight is how many samples the initial values count as.
	priorWeight = 3
	// maxOutlierRatio bounds a sample as a multiple of the expected time: other causes of delay
	// are not known here.
	maxOutlierRatio = 2.5

	// minPivot is the minimum pivot: below it the samples don't determine the coefficients.
	minPivot = 1e-9

	// The scales give the features the same order of magnitude.
	tokenScale = 1e4
	pairScale  = 1e9

	// maxSlowdown and minSlowdown bound the slowdown of a server, and slowdownWeight is the
	// weight of one sample of it.
	maxSlowdown    = 8.0
	minSlowdown    = 0.5
	slowdownWeight = 0.15
	// minPrefillForSlowdown is the minimum predicted prefill time from which a slowdown is
	// computed: other parts of the time to the first event vary by some ms.
	minPrefillForSlowdown = 30 * time.Millisecond
)

// numFeatures is the number of features of a prompt.
const numFeatures = 4

// features of a prompt are: 1, prefilled tokens, pairs of a prefilled token and one before it,
// and fetched tokens. The pairs are the cost of attention, which grows with the tokens before
// each one.
type features [numFeatures]float64

// featuresOf returns the features of a prompt whose last tokens are uncached.
func featuresOf(uncached, prompt, fetched sumachead.Tokens) features {
	u, p := float64(uncached), float64(prompt)
	return features{1, u / tokenScale, (p*p - (p-u)*(p-u)) / 2 / pairScale, float64(fetched) / tokenScale}
}

// PrefillModel predicts the time from a request to its first event: a least squares fit to
// observed times in which old samples decay. The zero value is not ready; use newPrefillModel.
type PrefillModel struct {
	// gram and moment are the two sides of the normal equations.
	gram   [numFeatures]features
	moment features
	// coefficients is the solution, in nanoseconds for each feature; none is below 0.
	coefficients features
}

// newPrefillModel returns a model with the initial coefficients.
func newPrefillModel() *PrefillModel {
	r := &PrefillModel{coefficients: features{
		float64(initialBase), float64(initialPerToken) * tokenScale, initialPerPair * pairScale, float64(initialPerFetched) * tokenScale,
	}}
	for i := range r.coefficients {
		r.gram[i][i] = priorWeight
		r.moment[i] = priorWeight * r.coefficients[i]
	}
	return r
}

// Base returns the part of the time to the first event that does not depend on the prompt.
func (r *PrefillModel) Base() time.Duration { return time.Duration(r.coefficients[0]) }

// PrefillTime returns how long the prefill of a prompt's uncached tokens takes.
func (r *PrefillModel) PrefillTime(uncached, prompt sumachead.Tokens) time.Duration {
	f := featuresOf(uncached, prompt, 0)
	return time.Duration(f[1]*r.coefficients[1] + f[2]*r.coefficients[2])
}

// FetchTime returns how long it takes to fetch tokens from another engine.
func (r *PrefillModel) FetchTime(fetched sumachead.Tokens) time.Duration {
	return time.Duration(float64(fetched) / tokenScale * r.coefficients[3])
}

// Observe adds a sample: the time to a first event when no other prefill was queued.
func (r *PrefillModel) Observe(uncached, prompt, fetched sumachead.Tokens, took time.Duration) {
	expected := r.Base() + r.PrefillTime(uncached, prompt) + r.FetchTime(fetched)
	y := min(float64(took), maxOutlierRatio*float64(expected))
	f := featuresOf(uncached, prompt, fetched)
	for i := range f {
		for j := range f {
			r.gram[i][j] = r.gram[i][j]*sampleDecay + f[i]*f[j]
		}
		r.moment[i] = r.moment[i]*sampleDecay + f[i]*y
	}
	r.solve()
}

// solve computes the coefficients by Gaussian elimination with pivoting. If the samples don't
// determine them, it leaves them as they are.
func (r *PrefillModel) solve() {
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
		if math.Abs(m[i][i]) < minPivot {
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
		r.coefficients[i] = max(v[i], 0)
	}
}

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time, decayed with a time constant.
func (d *decayingSum) value(now time.Time, memory time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(memory))
}

// add adds an amount.
func (d *decayingSum) add(amount float64, now time.Time, memory time.Duration) {
	d.sum, d.at = d.value(now, memory)+amount, now
}

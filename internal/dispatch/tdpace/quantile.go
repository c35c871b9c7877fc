package tdpace

// quantileStep is the step by which a quantile follows its samples, as a share of its value.
const quantileStep = 0.05

// minQuantile is the smallest value of a quantile, in seconds.
const minQuantile = 1e-5

// quantile follows one quantile of samples that change over time: it steps up with each
// sample above it, and down with each one below, in the ratio that keeps it at the quantile.
type quantile struct {
	q     float64
	value float64
	count int
}

func newQuantile(q float64) quantile { return quantile{q: q} }

func (e *quantile) add(sample float64) {
	if e.count++; e.count == 1 {
		e.value = max(sample, minQuantile)
		return
	}
	e.value = max(minQuantile, followQuantile(e.value, sample, e.q))
}

// followQuantile returns the value of quantile q after one more sample.
func followQuantile(value, sample, q float64) float64 {
	if sample > value {
		return value + quantileStep*q*value
	}
	return value - quantileStep*(1-q)*value
}

// Package speed estimates the speed of endpoints and the length of answers from
// finished requests.
package speed

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate and defaultDecodeRate are the rates, in tokens per second, of an
	// endpoint that declares none.
	defaultPrefillRate = 4000
	defaultDecodeRate  = 30
	// unknownPrefillRate and unknownDecodeRate are the rates, in tokens per second,
	// assumed for an engine before any engine like it has served a request: mid-range
	// for engines of large models.
	unknownPrefillRate = 40_000
	unknownDecodeRate  = 150
	// batchSlope is the relative slowdown of decoding that each further request in
	// flight is assumed to cause.
	batchSlope = 0.05
	// baseWeight is the minimum weight of a sample in the long-run rate. The first
	// samples weigh more, against a declared rate that counts as priorSamples.
	baseWeight   = 0.02
	priorSamples = 8
	// paceWeight is the weight of a sample in the short-run pace.
	paceWeight = 0.2
	// minRatio and maxRatio bound the influence of one sample.
	minRatio = 0.25
	maxRatio = 8
	// assumedPriorSamples is the number of samples that an assumed rate counts as.
	// settledSamples is the number of samples after which the rate is the endpoint's
	// own; its pace isn't updated before.
	assumedPriorSamples = 1
	settledSamples      = 24
	// minAssumedPrefill is the minimum expected time of a prefill sample while the
	// rate is assumed. In a shorter prefill the fixed cost of a request dominates.
	minAssumedPrefill = 20 * time.Millisecond
	// minSampleTokens is the minimum work of a sample that is used.
	minSampleTokens = 16
	// paceHold is how long the pace is kept without a sample. Afterwards its excess over
	// 1 halves every paceHalfLife, so that a slow endpoint is tried again.
	paceHold     = 5 * time.Second
	paceHalfLife = 5 * time.Second
)

// Endpoint holds the speed of one endpoint: its long-run rates, the pace, which is the
// factor by which its recent samples were slower than these, and the momentary factors that
// it reports. The rates and the pace are those without the momentary factors.
type Endpoint struct {
	prefill, decode float64
	samples         float64
	pace            float64
	sampledAt       time.Duration
	// assumed says that the initial rates were not declared for this endpoint.
	assumed bool
	moments moments
}

// NewEndpoint returns the speed of an endpoint with declared rates in tokens per
// second. Defaults replace rates of 0, which are not declared.
func NewEndpoint(prefill, decode float64) Endpoint {
	if prefill <= 0 {
		prefill = defaultPrefillRate
	}
	if decode <= 0 {
		decode = defaultDecodeRate
	}
	return Endpoint{prefill: prefill, decode: decode, pace: 1}
}

// NewAssumed returns the speed of an endpoint without declared rates, based on the
// rates of similar endpoints. Rates of 0 mean that these are unknown too.
func NewAssumed(prefill, decode float64) Endpoint {
	e := NewEndpoint(prefill, decode)
	e.assumed = true
	return e
}

// NewEngine returns the speed of an engine whose rates are unknown.
func NewEngine() Endpoint {
	return NewAssumed(unknownPrefillRate, unknownDecodeRate)
}

// ShareRates sets the rates of the endpoints with assumed rates and no samples to the
// geometric mean of those with assumed rates and samples.
func ShareRates(likes []*Endpoint) {
	var prefill, decode, n float64
	for _, e := range likes {
		if e.assumed && e.samples > 0 {
			prefill += math.Log(e.prefill)
			decode += math.Log(e.decode)
			n++
		}
	}
	if n == 0 {
		return
	}
	for _, e := range likes {
		if e.assumed && e.samples == 0 {
			e.prefill, e.decode = math.Exp(prefill/n), math.Exp(decode/n)
		}
	}
}

// PrefillRate returns the long-run rate in tokens per second.
func (e *Endpoint) PrefillRate() float64 { return e.prefill }

// DecodeRate returns the long-run rate of a single request in tokens per second.
func (e *Endpoint) DecodeRate() float64 { return e.decode }

// Pace returns the factor by which the endpoint is slower than in the long run.
func (e *Endpoint) Pace(now time.Duration) float64 {
	idle := now - e.sampledAt - paceHold
	if idle <= 0 || e.pace <= 1 {
		return e.pace
	}
	return 1 + (e.pace-1)*math.Exp2(-float64(idle)/float64(paceHalfLife))
}

// Prefill estimates the time to prefill tokens from now.
func (e *Endpoint) Prefill(now time.Duration, tokens int) time.Duration {
	return seconds(e.stretch(now, 0, float64(tokens)/e.prefill))
}

// Decode estimates the time to generate tokens from now, beside others in flight.
func (e *Endpoint) Decode(now time.Duration, tokens float64, others int) time.Duration {
	return e.DecodeAfter(now, 0, tokens, others)
}

// DecodeAfter estimates the time to generate tokens, beside others in flight, that begins
// after a delay.
func (e *Endpoint) DecodeAfter(now, delay time.Duration, tokens float64, others int) time.Duration {
	return seconds(e.stretch(now, delay, tokens/e.decode*batchFactor(others)))
}

// UsualPrefill estimates the time to prefill tokens at another time than now.
func (e *Endpoint) UsualPrefill(now time.Duration, tokens int) time.Duration {
	return seconds(float64(tokens) / e.prefill * e.Pace(now) * e.meanFactor())
}

// UsualDecode estimates the time to generate tokens at another time than now.
func (e *Endpoint) UsualDecode(now time.Duration, tokens float64, others int) time.Duration {
	return seconds(tokens / e.decode * batchFactor(others) * e.Pace(now) * e.meanFactor())
}

// ObservePrefill records that tokens were prefilled in the given time.
func (e *Endpoint) ObservePrefill(now time.Duration, tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	if e.assumed && seconds(float64(tokens)/e.prefill) < minAssumedPrefill {
		return
	}
	rate := float64(tokens) / took.Seconds() * e.between(now-took, now)
	e.updatePace(now, e.prefill/rate)
	e.prefill = e.updateRate(e.prefill, rate)
}

// ObserveDecode records that tokens were generated in the given time, with others in
// flight.
func (e *Endpoint) ObserveDecode(now time.Duration, tokens int, took time.Duration, others float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds() * (1 + batchSlope*others) * e.between(now-took, now)
	if tokens >= minSampleTokens {
		e.updatePace(now, e.decode/rate)
	}
	e.decode = e.updateRate(e.decode, rate)
}

// ObserveCall records that a call to a plain service took the given time, with others in
// flight.
func (e *Endpoint) ObserveCall(now time.Duration, took time.Duration, others float64) {
	if took <= 0 {
		return
	}
	rate := (1 + batchSlope*others) / took.Seconds() * e.between(now-took, now)
	e.updatePace(now, e.decode/rate)
	e.decode = e.updateRate(e.decode, rate)
}

// updatePace moves the pace towards a sample's.
func (e *Endpoint) updatePace(now time.Duration, ratio float64) {
	if e.assumed && e.samples < settledSamples {
		return
	}
	ratio = min(max(ratio, minRatio), maxRatio)
	pace := e.Pace(now)
	e.pace = pace + paceWeight*(ratio-pace)
	e.sampledAt = now
}

// updateRate returns a long-run rate moved towards a sample, on a logarithmic scale.
func (e *Endpoint) updateRate(rate, sample float64) float64 {
	e.samples++
	prior := float64(priorSamples)
	if e.assumed {
		prior = assumedPriorSamples
	}
	weight := max(baseWeight, 1/(e.samples+prior))
	ratio := min(max(sample/rate, 1.0/maxRatio), maxRatio)
	return rate * math.Pow(ratio, weight)
}

func batchFactor(others int) float64 {
	return 1 + batchSlope*float64(others)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Package speed learns how fast endpoints are and how long answers get, from
// finished work.
package speed

import (
	"math"
	"time"
)

const (
	// defaultPrefill and defaultDecode are tokens per second of an endpoint
	// that declares no speed.
	defaultPrefill = 4000
	defaultDecode  = 30
	// neutralPrefill and neutralDecode are tokens per second of an engine before any of
	// its likes has served a request: the middle of what engines of large models do.
	neutralPrefill = 40_000
	neutralDecode  = 150
	// batchSlope is by how much each further request in flight is taken to
	// slow the decoding of every one.
	batchSlope = 0.05
	// baseWeight is the weight of a sample in the long-run speed; the first
	// samples weigh more, against a declared speed that counts as priorSamples.
	baseWeight   = 0.02
	priorSamples = 8
	// paceWeight is the weight of a sample in the short-run pace.
	paceWeight = 0.2
	// minRatio and maxRatio bound what one sample can say.
	minRatio = 0.25
	maxRatio = 8
	// assumedPrior counts as many samples as an assumed speed is worth, and
	// settledSamples is how many samples tell an endpoint's own speed, before which
	// nothing is said of its pace.
	assumedPrior   = 1
	settledSamples = 24
	// minAssumedPrefill is the least expected time of a sample of prefill, where
	// speeds are assumed: fixed costs of a request weigh more in a shorter one.
	minAssumedPrefill = 20 * time.Millisecond
	// minTokens is the least work of a sample: less says nothing of speed.
	minTokens = 16
	// paceMemory is how long without a sample the pace stands; then half of
	// its excess is forgotten every paceHalfLife, so that a slow endpoint is
	// tried again.
	paceMemory   = 5 * time.Second
	paceHalfLife = 5 * time.Second
)

// Endpoint is what is known of one endpoint's speed: long-run rates, and a
// pace that tells how much slower than these it is just now.
type Endpoint struct {
	prefill, decode float64
	samples         float64
	pace            float64
	seen            time.Duration
	// assumed says that the first rates are not the endpoint's own.
	assumed bool
}

// NewEndpoint returns the speed of an endpoint by its declared rates in tokens
// per second; a rate of 0 is not declared.
func NewEndpoint(prefill, decode float64) Endpoint {
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	if decode <= 0 {
		decode = defaultDecode
	}
	return Endpoint{prefill: prefill, decode: decode, pace: 1}
}

// NewAssumed returns the speed of an endpoint whose own rates nobody has declared, by
// those of endpoints like it; rates of 0 if these aren't known either.
func NewAssumed(prefill, decode float64) Endpoint {
	e := NewEndpoint(prefill, decode)
	e.assumed = true
	return e
}

// NewEngine returns the speed of an engine of which nothing is known.
func NewEngine() Endpoint {
	return NewAssumed(neutralPrefill, neutralDecode)
}

// ShareRates gives the endpoints whose rates are assumed, and of which no work was seen, the
// mean rates of those that have done some.
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

// DecodeRate returns the long-run rate of a lone request in tokens per second.
func (e *Endpoint) DecodeRate() float64 { return e.decode }

// Pace returns how many times slower than in the long run the endpoint is.
func (e *Endpoint) Pace(now time.Duration) float64 {
	idle := now - e.seen - paceMemory
	if idle <= 0 || e.pace <= 1 {
		return e.pace
	}
	return 1 + (e.pace-1)*math.Exp2(-float64(idle)/float64(paceHalfLife))
}

// Prefill estimates the time to prefill tokens.
func (e *Endpoint) Prefill(now time.Duration, tokens int) time.Duration {
	return seconds(float64(tokens) / e.prefill * e.Pace(now))
}

// Decode estimates the time to generate tokens beside others in flight.
func (e *Endpoint) Decode(now time.Duration, tokens float64, others int) time.Duration {
	return seconds(tokens / e.decode * batchFactor(others) * e.Pace(now))
}

// ObservePrefill takes in that tokens were prefilled in a time.
func (e *Endpoint) ObservePrefill(now time.Duration, tokens int, took time.Duration) {
	if tokens < minTokens || took <= 0 {
		return
	}
	if e.assumed && seconds(float64(tokens)/e.prefill) < minAssumedPrefill {
		return
	}
	rate := float64(tokens) / took.Seconds()
	e.see(now, e.prefill/rate)
	e.prefill = e.learn(e.prefill, rate)
}

// ObserveDecode takes in that tokens were generated in a time beside others.
func (e *Endpoint) ObserveDecode(now time.Duration, tokens int, took time.Duration, others float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds() * (1 + batchSlope*others)
	if tokens >= minTokens {
		e.see(now, e.decode/rate)
	}
	e.decode = e.learn(e.decode, rate)
}

// ObserveCall takes in that a call to a plain service took a time beside others.
func (e *Endpoint) ObserveCall(now time.Duration, took time.Duration, others float64) {
	if took <= 0 {
		return
	}
	rate := (1 + batchSlope*others) / took.Seconds()
	e.see(now, e.decode/rate)
	e.decode = e.learn(e.decode, rate)
}

// see moves the pace towards a sample.
func (e *Endpoint) see(now time.Duration, ratio float64) {
	if e.assumed && e.samples < settledSamples {
		return
	}
	ratio = min(max(ratio, minRatio), maxRatio)
	pace := e.Pace(now)
	e.pace = pace + paceWeight*(ratio-pace)
	e.seen = now
}

// learn moves a long-run rate towards a sample, on a logarithmic scale.
func (e *Endpoint) learn(rate, sample float64) float64 {
	e.samples++
	prior := float64(priorSamples)
	if e.assumed {
		prior = assumedPrior
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

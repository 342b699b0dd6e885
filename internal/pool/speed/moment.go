package speed

import (
	"math"
	"time"
)

const (
	// figureValid is how long a momentary factor is used. Work on shared machines is
	// slowed in spells of about half a second, so an older figure says nothing.
	figureValid = time.Second
	// meanTime is the time constant of the mean factor. It covers many spells.
	meanTime = 10 * time.Second
	// maxSpans bounds the history of factors: at two changes a second it covers the
	// requests of some seconds.
	maxSpans = 16
	// minFactor and maxFactorSaid bound the factors that are used.
	minFactorSaid = 0.1
	maxFactorSaid = 10
)

// moments holds the momentary factors that an endpoint has reported: by how much longer
// than usual its work takes. The zero value is an endpoint that has reported none.
type moments struct {
	// spans holds the factors in the order of their times.
	spans []span
	mean  float64
}

// span is a time for which a factor was reported, from the first report of it to the last.
type span struct {
	factor     float64
	start, end time.Duration
}

// ObserveFactor records that the endpoint's work took the given multiple of its usual
// time at a time. A report from before the latest one is ignored.
func (e *Endpoint) ObserveFactor(at time.Duration, factor float64) {
	factor = min(max(factor, minFactorSaid), maxFactorSaid)
	m := &e.moments
	n := len(m.spans)
	if n == 0 {
		m.mean = 1
		m.spans = append(m.spans, span{factor, at, at})
		return
	}
	last := &m.spans[n-1]
	if at < last.end {
		return
	}
	elapsed := min(at-last.end, figureValid)
	m.mean += (1 - math.Exp(-float64(elapsed)/float64(meanTime))) * (last.factor - m.mean)
	if factor == last.factor && at-last.end <= figureValid {
		last.end = at
		return
	}
	if n == maxSpans {
		copy(m.spans, m.spans[1:])
		m.spans = m.spans[:n-1]
	}
	m.spans = append(m.spans, span{factor, at, at})
}

// ForgetFactors discards the momentary factors of an earlier lifetime of the endpoint.
func (e *Endpoint) ForgetFactors() { e.moments = moments{} }

// Factor returns the momentary factor, and false if there is no valid one.
func (e *Endpoint) Factor(now time.Duration) (float64, bool) {
	n := len(e.moments.spans)
	if n == 0 || now-e.moments.spans[n-1].end >= figureValid {
		return 1, false
	}
	return e.moments.spans[n-1].factor, true
}

// meanFactor returns the mean factor over the long run; 1 if the endpoint reports none.
func (e *Endpoint) meanFactor() float64 {
	if len(e.moments.spans) == 0 {
		return 1
	}
	return e.moments.mean
}

// between returns the mean factor over a time. Where none is known, the long-run mean
// stands for it.
func (e *Endpoint) between(from, to time.Duration) float64 {
	spans := e.moments.spans
	if len(spans) == 0 || to <= from {
		return e.meanFactor()
	}
	var sum float64
	var known time.Duration
	for i, x := range spans {
		end := x.end + figureValid
		if i+1 < len(spans) {
			end = min(end, spans[i+1].start)
		}
		if d := min(end, to) - max(x.start, from); d > 0 {
			sum += x.factor * float64(d)
			known += d
		}
	}
	return (sum + e.moments.mean*float64(to-from-known)) / float64(to-from)
}

// stretch returns the seconds that work takes which begins after a delay, from the seconds
// that it takes at the long-run rates. The momentary factor is expected to last for half of
// its remaining validity; then the endpoint is expected to be as slow as it is in the mean.
func (e *Endpoint) stretch(now, delay time.Duration, work float64) float64 {
	if len(e.moments.spans) == 0 {
		return work * e.Pace(now)
	}
	usual := e.Pace(now) * e.moments.mean
	factor, known := e.Factor(now)
	if !known {
		return work * usual
	}
	last := e.moments.spans[len(e.moments.spans)-1]
	lasts := ((figureValid-now+last.end)/2 - delay).Seconds()
	if lasts <= 0 {
		return work * usual
	}
	if work*factor <= lasts {
		return work * factor
	}
	return lasts + (work-lasts/factor)*usual
}

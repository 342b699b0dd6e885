package rollout

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Sample is the end of a run at an endpoint.
type Sample struct {
	// Candidate says that the endpoint has the order's version.
	Candidate bool
	Endpoint  ident.Endpoint
	// Route is the hash of the route's name, Domain the endpoint's failure domain, and Local
	// says that the request's custodian is in that domain.
	Route  uint64
	Domain ident.Domain
	Local  bool
	// Failed says that there was no complete, successful answer, and Broken that the answer
	// broke off, as all answers of an endpoint do when it crashes.
	Failed, Broken bool
	// First and Total are the times to the first token and to the end, divided by the size
	// of the work, so that requests of different length compare; 0: not known.
	First, Total float64
	// Took is the time that the run took.
	Took time.Duration
	// Cut says that the run ended without an answer because nobody waited for it any more,
	// or is still in progress. Its times are lower bounds.
	Cut bool
}

const (
	// slowFactor is the multiple of the usual time from which on an answer is slow: callers
	// notice times that are several times the usual.
	slowFactor = 3
	// minUsual is the number of baseline answers from which on a median is used.
	minUsual = 16
	// usualMemory is the number of answers that a median rests on: at twice that number the
	// older half loses half of its weight.
	usualMemory = 400
	// binWidth is the natural logarithm of the ratio of two neighbouring bins.
	binWidth = 0.1
	// binCount bins cover 12 decades from smallestTime on.
	binCount     = 280
	smallestTime = 1e-7
)

// usual learns the median of a time on a logarithmic scale.
type usual struct {
	bins  [binCount]float64
	total float64
}

func (u *usual) observe(x float64) {
	if x <= 0 {
		return
	}
	i := int(math.Log(x/smallestTime) / binWidth)
	u.bins[min(max(i, 0), binCount-1)]++
	u.total++
	if u.total >= 2*usualMemory {
		for i := range u.bins {
			u.bins[i] /= 2
		}
		u.total /= 2
	}
}

// median returns the median, or false while too few answers are known.
func (u *usual) median() (float64, bool) {
	if u == nil || u.total < minUsual {
		return 0, false
	}
	sum := 0.0
	for i, n := range u.bins {
		if sum += n; sum >= u.total/2 {
			return smallestTime * math.Exp((float64(i)+0.5)*binWidth), true
		}
	}
	return 0, false
}

// ratio returns a time as a multiple of the median, or 0 if either is not known.
func (u *usual) ratio(x float64) float64 {
	m, known := u.median()
	if !known {
		return 0
	}
	return x / m
}

// usuals holds the usual times of the baseline on one route.
type usuals struct{ first, total usual }

// slowness returns the time of a run as a multiple of the usual one, or 0 if that is not known.
func (u *usuals) slowness(x *Sample) float64 {
	return max(u.first.ratio(x.First), u.total.ratio(x.Total))
}

package platform

import "time"

// bucket is a token bucket that holds up to one second's calls. A nil bucket
// has no limit. It is not safe for concurrent use.
type bucket struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

// newBucket returns a full bucket, or nil if the rate is 0 or less.
func newBucket(perSecond int) *bucket {
	if perSecond <= 0 {
		return nil
	}
	return &bucket{perSecond: float64(perSecond), tokens: float64(perSecond)}
}

// take takes one token and says whether there was one.
func (b *bucket) take(now time.Time) bool {
	if b == nil {
		return true
	}
	if !b.last.IsZero() {
		b.tokens += now.Sub(b.last).Seconds() * b.perSecond
	}
	b.last = now
	b.tokens = min(b.tokens, b.perSecond)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

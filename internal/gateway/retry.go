package gateway

import "time"

// failure is how a try that was sent to an endpoint failed before any part of a response
// was sent to the caller.
type failure int

const (
	// notRun: the endpoint reported that it did not run the request.
	notRun failure = iota
	// runFailed: the endpoint responded that the run failed.
	runFailed
	// outcomeUnknown: no valid response was received. The request may have run.
	outcomeUnknown
)

// tryState is the input of the retry decision.
type tryState struct {
	failure    failure
	idempotent bool
	// tries is the number of endpoints that the request was sent to, and maxTries the
	// maximum.
	tries, maxTries int
	// timeLeft is the time until the request's deadline.
	timeLeft time.Duration
	// callerGone is set when the caller has disconnected.
	callerGone bool
}

// minTryTime is the minimum time left for a retry to be worth sending: an exchange with a
// fast endpoint takes some tens of milliseconds.
const minTryTime = 50 * time.Millisecond

// mayRetry reports whether a request may be sent to another endpoint, provided that the retry
// budget allows it. A request that is not idempotent may be sent again only if the endpoint
// reported that it did not run it.
func mayRetry(s tryState) bool {
	if s.callerGone || s.tries >= s.maxTries || s.timeLeft < minTryTime {
		return false
	}
	return s.failure == notRun || s.idempotent
}

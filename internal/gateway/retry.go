package gateway

import "time"

// failure is how a try that was sent to an endpoint went wrong, before anything of
// an answer went to the caller.
type failure int

const (
	// notRun: the endpoint said that it did not run the request.
	notRun failure = iota
	// ranBadly: the endpoint answered that the run failed.
	ranBadly
	// unknown: no answer, or none that can be passed on. It may have run.
	unknown
)

// tryState is what a further try depends on.
type tryState struct {
	failure    failure
	idempotent bool
	// tries is the number of endpoints that the request was sent to, maxTries the
	// most allowed.
	tries, maxTries int
	// left is the time left for the request.
	left time.Duration
	// callerGone says that nobody waits for the answer.
	callerGone bool
}

// leastForTry is the time that a further try needs at least to be worth sending:
// an exchange with a fast endpoint takes some tens of milliseconds.
const leastForTry = 50 * time.Millisecond

// mayTryAgain reports whether a request may be sent to another endpoint, if the
// budget allows it. A request that isn't idempotent may only after an endpoint said
// that it did not run it.
func mayTryAgain(s tryState) bool {
	if s.callerGone || s.tries >= s.maxTries || s.left < leastForTry {
		return false
	}
	return s.failure == notRun || s.idempotent
}

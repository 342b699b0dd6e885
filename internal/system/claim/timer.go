package claim

import "time"

// timer is the time at which a call is to be sent again.
type timer struct {
	at  time.Duration
	set bool
}

// start sets the timer.
func (t *timer) start(at time.Duration) {
	t.at = at
	t.set = true
}

// fire reports whether the timer is due, and clears it if so.
func (t *timer) fire(now time.Duration) bool {
	if !t.set || now < t.at {
		return false
	}
	t.set = false
	return true
}

// earliest is the earliest of the times added to it.
type earliest struct {
	at  time.Duration
	set bool
}

func (e *earliest) add(at time.Duration) {
	if !e.set || at < e.at {
		e.at = at
		e.set = true
	}
}

func (e *earliest) addTimer(t timer) {
	if t.set {
		e.add(t.at)
	}
}

// backoff returns an exponential delay: first, doubled with each try, and last
// at most.
func backoff(first, last time.Duration, tries int) time.Duration {
	wait := first
	for range tries {
		wait *= 2
		if wait >= last {
			return last
		}
	}
	return wait
}

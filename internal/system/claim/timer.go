package claim

import "time"

// timer is a point in time at which a call is to be sent again.
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

// earliest finds the earliest of several times.
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

// backoff doubles the first wait with each try, up to the last.
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

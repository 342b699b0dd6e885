package pool

import "time"

const (
	// shrinkPace is from which pace on a window shrinks; growPace up to which
	// it grows.
	shrinkPace = 1.8
	growPace   = 1.3
	// shrinkFactor is what a window shrinks to, at most once per shrinkEvery.
	shrinkFactor = 0.8
	shrinkEvery  = time.Second
	// reportPeriod is how long a peak of the own ledger is compared with load
	// reports.
	reportPeriod = 4 * time.Second
)

// window bounds an endpoint's requests in flight. It shrinks by a factor while
// the endpoint is slow, down to its part of the speed, and grows back by one for each window of work done at
// speed, so that probing is bounded by the work that went well.
type window struct {
	width  float64
	most   int
	shrunk time.Duration
}

// limit sets the most that the window may be. A new window starts there.
func (w *window) limit(slots int) {
	if w.most == 0 {
		w.width = float64(slots)
	}
	if w.width >= float64(w.most) {
		w.width = float64(slots)
	}
	w.most = slots
	w.width = min(w.width, float64(slots))
}

func (w *window) size() int { return int(w.width) }

// saw adapts the window to the pace after a sample.
func (w *window) saw(now time.Duration, pace float64) {
	switch {
	case pace >= shrinkPace && now-w.shrunk >= shrinkEvery:
		w.shrunk = now
		w.width = max(1, float64(w.most)/pace, w.width*shrinkFactor)
	case pace <= growPace:
		w.width = min(float64(w.most), w.width+1/max(1, w.width))
	}
}

// restart closes the window to one request, after a crash.
func (w *window) restart() {
	w.width = min(1, float64(w.most))
}

// reportedLoad compares an endpoint's lagging load reports with the own
// ledger: what the endpoint reports beyond anything that the ledger had in
// the time of the report is others' work.
type reportedLoad struct {
	foreign int
	// peak and before are the ledger's peaks of this period and the last.
	peak, before int
	since        time.Duration
}

// note takes in the ledger's number in flight.
func (l *reportedLoad) note(now time.Duration, inFlight int) {
	if now-l.since >= reportPeriod {
		l.before, l.peak, l.since = l.peak, inFlight, now
	}
	l.peak = max(l.peak, inFlight)
}

// report takes in a report. One that is too old to compare says nothing.
func (l *reportedLoad) report(r LoadReport) {
	if r.Age > reportPeriod {
		return
	}
	l.foreign = max(0, r.Running+r.Waiting-max(l.peak, l.before))
}

// Package window bounds the requests in flight at an endpoint and compares its
// load reports with the own ledger.
package window

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

// Window bounds an endpoint's requests in flight. It shrinks by a factor while
// the endpoint is slow, down to its part of the speed, and grows back by one for each window of work done at
// speed, so that probing is bounded by the work that went well.
type Window struct {
	width  float64
	most   int
	shrunk time.Duration
	// batch says that the most is the endpoint's batch: fewer requests in it would
	// not make each of them faster.
	batch bool
}

// Batch says that the window's most is the endpoint's batch. Such a window isn't
// narrowed by the pace, and opens with every answer after a restart.
func (w *Window) Batch() {
	w.batch = true
}

// SetMax sets the most that the window may be. A new window starts there.
func (w *Window) SetMax(slots int) {
	if w.most == 0 {
		w.width = float64(slots)
	}
	if w.width >= float64(w.most) {
		w.width = float64(slots)
	}
	w.most = slots
	w.width = min(w.width, float64(slots))
}

// Size returns the number of requests that the endpoint may have.
func (w *Window) Size() int { return int(w.width) }

// Observe adapts the window to the pace after a sample.
func (w *Window) Observe(now time.Duration, pace float64) {
	switch {
	case w.batch:
		w.width = min(float64(w.most), 2*w.width)
	case pace >= shrinkPace && now-w.shrunk >= shrinkEvery:
		w.shrunk = now
		w.width = max(1, float64(w.most)/pace, w.width*shrinkFactor)
	case pace <= growPace:
		w.width = min(float64(w.most), w.width+1/max(1, w.width))
	}
}

// Restart closes the window to one request, after a crash.
func (w *Window) Restart() {
	w.width = min(1, float64(w.most))
}

// ForeignLoad compares an endpoint's lagging load reports with the own
// ledger: what the endpoint reports beyond anything that the ledger had in
// the time of the report is others' work.
type ForeignLoad struct {
	// Foreign is the number of requests that others have at the endpoint.
	Foreign int
	// peak and before are the ledger's peaks of this period and the last.
	peak, before int
	since        time.Duration
}

// ObserveInFlight takes in the ledger's number in flight.
func (l *ForeignLoad) ObserveInFlight(now time.Duration, inFlight int) {
	if now-l.since >= reportPeriod {
		l.before, l.peak, l.since = l.peak, inFlight, now
	}
	l.peak = max(l.peak, inFlight)
}

// ObserveReport takes in a report of running and waiting requests. One that is too old to compare says nothing.
func (l *ForeignLoad) ObserveReport(load int, age time.Duration) {
	if age > reportPeriod {
		return
	}
	l.Foreign = max(0, load-max(l.peak, l.before))
}

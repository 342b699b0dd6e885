// Package window limits the requests in flight at an endpoint and derives the load that
// others put on it from its load reports.
package window

import "time"

const (
	// shrinkPace is the pace from which on a window shrinks, growPace the pace up to
	// which it grows.
	shrinkPace = 1.8
	growPace   = 1.3
	// shrinkFactor is the factor by which a window shrinks, at most once per
	// shrinkEvery.
	shrinkFactor = 0.8
	shrinkEvery  = time.Second
	// reportPeriod is how long a peak of this pool's requests in flight is compared
	// with load reports.
	reportPeriod = 4 * time.Second
)

// Window limits an endpoint's requests in flight. It shrinks by a factor while the
// endpoint is slow, but not below the limit divided by the pace. It grows by one for
// each window of requests served at normal speed, so that growth is bounded by the
// work that succeeded.
type Window struct {
	width    float64
	limit    int
	shrunkAt time.Duration
	// batch says that the limit is the endpoint's batch size: fewer requests would
	// not make each of them faster.
	batch bool
}

// Batch sets that the window's limit is the endpoint's batch size. Such a window isn't
// narrowed by the pace, and doubles with every answer after a restart.
func (w *Window) Batch() {
	w.batch = true
}

// SetMax sets the maximum size of the window. A new window starts at it.
func (w *Window) SetMax(slots int) {
	if w.limit == 0 {
		w.width = float64(slots)
	}
	if w.width >= float64(w.limit) {
		w.width = float64(slots)
	}
	w.limit = slots
	w.width = min(w.width, float64(slots))
}

// Size returns the number of requests that the endpoint may have in flight.
func (w *Window) Size() int { return int(w.width) }

// Observe adapts the window to the pace after a sample.
func (w *Window) Observe(now time.Duration, pace float64) {
	switch {
	case w.batch:
		w.width = min(float64(w.limit), 2*w.width)
	case pace >= shrinkPace && now-w.shrunkAt >= shrinkEvery:
		w.shrunkAt = now
		w.width = max(1, float64(w.limit)/pace, w.width*shrinkFactor)
	case pace <= growPace:
		w.width = min(float64(w.limit), w.width+1/max(1, w.width))
	}
}

// Restart reduces the window to one request, after a crash.
func (w *Window) Restart() {
	w.width = min(1, float64(w.limit))
}

// ForeignLoad derives the load that others put on an endpoint from the endpoint's delayed
// load reports: any load beyond the most requests that this pool had in flight during
// the report's period.
type ForeignLoad struct {
	// Foreign is the number of requests that others have at the endpoint.
	Foreign int
	// peak and previousPeak are the most requests in flight in this period and the
	// previous one.
	peak, previousPeak int
	since              time.Duration
}

// ObserveInFlight records this pool's number of requests in flight.
func (l *ForeignLoad) ObserveInFlight(now time.Duration, inFlight int) {
	if now-l.since >= reportPeriod {
		l.previousPeak, l.peak, l.since = l.peak, inFlight, now
	}
	l.peak = max(l.peak, inFlight)
}

// ObserveReport handles a report of running and waiting requests. A report that is too old
// to compare is ignored.
func (l *ForeignLoad) ObserveReport(load int, age time.Duration) {
	if age > reportPeriod {
		return
	}
	l.Foreign = max(0, load-max(l.peak, l.previousPeak))
}

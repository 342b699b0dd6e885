package engine

import (
	"strconv"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

const (
	// maxCacheEvents bounds the events that are kept for readers.
	maxCacheEvents = 4096
	// maxEventPage bounds the events of one answer.
	maxEventPage = 256
	// perMille is the whole that CacheLossPerMille is a share of.
	perMille = 1000
)

// loadSample is the load from a time on.
type loadSample struct {
	at      time.Duration
	running int
	waiting int
}

// loadHistory answers what the load was some time ago.
type loadHistory struct {
	lag time.Duration
	// samples is in order of time. The first one may be older than the lag.
	samples []loadSample
}

// record notes the load from now on.
func (h *loadHistory) record(now time.Duration, running, waiting int) {
	h.prune(now)
	h.samples = append(h.samples, loadSample{at: now, running: running, waiting: waiting})
}

// report returns the load as it was one lag ago.
func (h *loadHistory) report(now time.Duration) engine.Load {
	h.prune(now)
	load := engine.Load{AgeMillis: h.lag.Milliseconds()}
	if len(h.samples) > 0 && h.samples[0].at <= now-h.lag {
		load.Running = h.samples[0].running
		load.Waiting = h.samples[0].waiting
	}
	return load
}

// prune drops samples that were replaced more than one lag ago.
func (h *loadHistory) prune(now time.Duration) {
	for len(h.samples) > 1 && h.samples[1].at <= now-h.lag {
		h.samples = h.samples[1:]
	}
}

// cacheLog publishes changes of the prefix cache late and with gaps.
type cacheLog struct {
	lag  time.Duration
	loss int
	// lastSeq counts all events, lost ones too.
	lastSeq uint64
	events  []loggedEvent
	// changed is closed, and replaced, when an event is added.
	changed chan struct{}
}

// loggedEvent is an event and the time from which it can be read.
type loggedEvent struct {
	event   engine.CacheEvent
	visible time.Duration
}

// newCacheLog returns an empty log.
func newCacheLog(lag time.Duration, lossPerMille int) *cacheLog {
	return &cacheLog{lag: lag, loss: lossPerMille, changed: make(chan struct{})}
}

// add numbers a change and keeps it, unless it is to be lost.
func (l *cacheLog) add(now time.Duration, change cacheChange) {
	l.lastSeq++
	if l.loses(l.lastSeq) {
		return
	}
	l.events = append(l.events, loggedEvent{
		event:   engine.CacheEvent{Seq: l.lastSeq, Stored: change.stored, Evicted: change.evicted},
		visible: now + l.lag,
	})
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// loses says whether the event with a number is lost. It depends on the number
// alone.
func (l *cacheLog) loses(seq uint64) bool {
	hash := Fingerprint(strconv.AppendUint(nil, seq, 10))
	return int(hash%perMille) < l.loss
}

// after returns a page of the visible events after a sequence number. If there
// is none yet, pending is the time at which the next one becomes visible, and 0
// if there is no next one.
func (l *cacheLog) after(seq uint64, now time.Duration) (page []engine.CacheEvent, pending time.Duration) {
	page = []engine.CacheEvent{}
	for _, logged := range l.events {
		if logged.event.Seq <= seq {
			continue
		}
		if logged.visible > now {
			return page, logged.visible
		}
		page = append(page, logged.event)
		if len(page) == maxEventPage {
			return page, 0
		}
	}
	return page, 0
}

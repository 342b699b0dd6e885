package soak

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

// check holds everything seen by callers against everything run by endpoints.
func (w *world) check() {
	requests := w.requests()
	w.mu.Lock()
	all := w.all
	w.mu.Unlock()
	runs := map[string][]runner.Run{}
	for _, s := range all {
		said := firstSaid(s, requests)
		for _, r := range s.runner.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
			w.checkRun(s, r, requests[r.Attempt])
			w.checkLeft(s, r, requests[r.Attempt], said)
		}
		w.checkTurnedAway(s, requests)
	}
	for attempt, o := range requests {
		w.checkRequest(o, runs[attempt])
	}
	if late := w.lateRuns(); late > poisonRuns {
		w.fail("a request that had ended %d endpoints ended %d more later than %v after that", poisonCrashes, late, calmTime)
	}
	if late := w.latePoisonPartRuns(); late > poisonPartRuns {
		w.fail("%d requests with a part that had crashed %d engines reached one later than %v after that", late, partCrashesAllowed, calmTime)
	}
}

// checkRun checks one run.
func (w *world) checkRun(s *server, r runner.Run, o *observed) {
	if o == nil {
		// Its caller's request was cut off by the end of the run.
		return
	}
	q := &o.request
	switch {
	case r.Path != q.Path || r.Body != q.Body:
		w.fail("%s: run with another path or body: %s %.40q", r.Attempt, r.Path, r.Body)
	case r.Keyed:
		w.fail("%s: the key was passed on", r.Attempt)
	case r.Team != "blue":
		w.fail("%s: run for the team %q", r.Attempt, r.Team)
	}
	w.mu.Lock()
	revoked, taken := w.revoked[q.Key]
	removed, changed := w.removed[o.route]
	calm := w.calm(s.leaves, r.Began, "", "")
	calmConfig := w.calm(removed, r.Began, "", "")
	w.mu.Unlock()
	if taken && o.answer.Began.Sub(revoked) > revokeBound {
		w.fail("%s at %s: sent %v after its key was taken away, and run", r.Attempt, o.host, o.answer.Began.Sub(revoked))
	}
	if !s.leaves.IsZero() && calm && r.Began.Sub(s.leaves) > drainBound {
		w.fail("%s at %s: run at %s %v after that was to leave", r.Attempt, o.host, s.id, r.Began.Sub(s.leaves))
	}
	if changed && calmConfig && o.answer.Began.Sub(removed) > configBound {
		w.fail("%s at %s: run on a route that was removed %v before", r.Attempt, o.host, o.answer.Began.Sub(removed))
	}
}

// requests returns what was observed by the names of the requests.
func (w *world) requests() map[string]*observed {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests := make(map[string]*observed, len(w.seen))
	for i := range w.seen {
		requests[w.seen[i].request.Attempt] = &w.seen[i]
	}
	return requests
}

// firstSaid returns when each host had first passed an answer on in which an endpoint said
// that it leaves.
func firstSaid(s *server, requests map[string]*observed) map[string]time.Time {
	said := map[string]time.Time{}
	for _, r := range s.runner.Runs() {
		o := requests[r.Attempt]
		if o == nil || !o.answer.Leaving() || !o.answer.Whole || o.answer.Header.Get("Runner-Id") != s.id {
			continue
		}
		if first, ok := said[o.host]; !ok || o.answer.Ended.Before(first) {
			said[o.host] = o.answer.Ended
		}
	}
	return said
}

// checkLeft checks that a host sends an endpoint nothing that came to it later than a bound
// after it had passed on that the endpoint leaves. A restart or a pause since then is an
// excuse.
func (w *world) checkLeft(s *server, r runner.Run, o *observed, said map[string]time.Time) {
	if o == nil {
		return
	}
	first, ok := said[o.host]
	if !ok || o.answer.Began.Sub(first) <= drainBound {
		return
	}
	w.mu.Lock()
	excused := slices.ContainsFunc(w.spans, func(x spoilt) bool {
		return x.host == o.host && (x.what == "kill" || x.what == "term" || x.what == "pause") &&
			x.from.Before(r.Began) && (x.to.IsZero() || x.to.After(first))
	})
	w.mu.Unlock()
	if !excused {
		w.fail("%s at %s: run at %s, sent %v after that had said there that it leaves", r.Attempt, o.host, s.id, o.answer.Began.Sub(first))
	}
}

const (
	// turnSlack is how long after it was turned away a host may still send, and mostAfter
	// how many requests it may send in the time in which it is to send none.
	turnSlack = 500 * time.Millisecond
	mostAfter = 2
)

// checkTurnedAway checks that a host sends an endpoint nothing while that has asked it to
// wait. A restart, a pause or a cut of the host since then is an excuse.
func (w *world) checkTurnedAway(s *server, requests map[string]*observed) {
	arrivals := s.runner.Arrivals()
	for _, away := range s.runner.TurnedAway() {
		o := requests[away.Attempt]
		if o == nil {
			continue
		}
		end := away.At.Add(away.Wait)
		after := 0
		for _, a := range arrivals {
			other := requests[a.Attempt]
			if other != nil && other.host == o.host && a.At.After(away.At.Add(turnSlack)) && a.At.Before(end) {
				after++
			}
		}
		w.mu.Lock()
		excused := slices.ContainsFunc(w.spans, func(x spoilt) bool {
			return x.host == o.host && x.from.Before(end) && (x.to.IsZero() || x.to.After(away.At))
		})
		w.mu.Unlock()
		if after > mostAfter && !excused {
			w.fail("%s at %s: %d more requests sent to %s, which had asked to wait for %v", away.Attempt, o.host, after, s.id, away.Wait)
		}
	}
}

// checkRequest checks a request with all its runs.
func (w *world) checkRequest(o *observed, runs []runner.Run) {
	a, attempt := &o.answer, o.request.Attempt
	once := o.route != "safe" && o.route != "resumable"
	if once && len(runs) > 1 {
		w.fail("%s at %s: run %d times", attempt, o.host, len(runs))
	}
	if once && caller.Promises(a.Status) && len(runs) > 0 {
		w.fail("%s at %s: status %d, and it has run", attempt, o.host, a.Status)
	}
	if a.Status == 200 && a.Whole && len(runs) == 0 {
		w.fail("%s at %s: answered, and no endpoint ran it", attempt, o.host)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	added, extra := w.added[o.route]
	_, removed := w.removed[o.route]
	if a.Status == 404 && (!extra || !removed && a.Began.Sub(added) > configBound && w.calm(added, a.Ended, "", "")) {
		w.broken = append(w.broken, attempt+" at "+o.host+": 404 on a route that is there")
	}
	_, revoked := w.revoked[o.request.Key]
	// The first keys were there from the start, the zero time.
	if a.Status == 401 && !revoked && w.calm(a.Began, a.Ended, "", "") && a.Began.Sub(w.keyed[o.request.Key]) > configBound {
		w.broken = append(w.broken, attempt+" at "+o.host+": 401 for a key that is there")
	}
	// A request that crosses the end of its connection was not read: its caller sends
	// it again.
	crossed := len(runs) == 0 && a.Ended.Sub(a.Began) <= lossSlack
	if a.Sent && a.Status == 0 && !crossed && w.stopping(o) && w.calm(a.Began, a.Ended, "term", o.host) {
		w.broken = append(w.broken, attempt+" at "+o.host+": lost in a planned stop: "+a.Err.Error())
	}
}

// stopping reports whether a request was sent to a host in a planned stop, early enough
// to end in it.
func (w *world) stopping(o *observed) bool {
	for _, s := range w.spans {
		if s.what == "term" && s.host == o.host && o.answer.Began.After(s.from) &&
			o.answer.Began.Sub(s.from) < grace/2 && (s.to.IsZero() || o.answer.Began.Before(s.to)) {
			return true
		}
	}
	return false
}

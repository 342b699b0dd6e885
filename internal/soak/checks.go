package soak

import (
	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

// check holds everything seen by callers against everything run by endpoints.
func (w *world) check() {
	w.mu.Lock()
	seen, all := w.seen, w.all
	w.mu.Unlock()
	requests := map[string]*observed{}
	for i := range seen {
		requests[seen[i].request.Attempt] = &seen[i]
	}
	runs := map[string][]runner.Run{}
	for _, s := range all {
		for _, r := range s.runner.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
			w.checkRun(s, r, requests[r.Attempt])
		}
	}
	for attempt, o := range requests {
		w.checkRequest(o, runs[attempt])
	}
	if late := w.lateRuns(); late > poisonRuns {
		w.fail("a request that had ended %d endpoints ended %d more later than %v after that", poisonCrashes, late, calmTime)
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

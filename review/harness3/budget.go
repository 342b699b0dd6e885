package main

import (
	"syscall"
	"time"
)

const (
	// budgetRate is the number of requests a second.
	budgetRate = 180
	// failingPercent is the part of the runs that fail.
	failingPercent = 45
	// killAfter is the time from the first failures to the kill.
	killAfter = 3300 * time.Millisecond
	// budgetRatio, budgetExtra and budgetWindow are the bounds of the rule, windowStep the step at which
	// windows are looked at.
	budgetRatio, budgetExtra = 0.2, 56
	budgetWindow, windowStep = 10 * time.Second, 100 * time.Millisecond
)

// budgetKill kills all hosts at the same moment while runners fail a part of their requests.
func budgetKill(w *world) (bool, error) {
	w.quotaTeam()
	w.config.Tenants[0]["per_s"] = 0
	if err := w.service("assist-llm", "depot-b", 8); err != nil {
		return false, err
	}
	w.config.Routes[0]["resumable"], w.config.Routes[0]["max_attempts"] = true, 2
	w.publish()
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	w.record.notef("all hosts are ready")
	end := time.Now().Add(26 * time.Second)
	for _, h := range w.hosts {
		x := dossier(h, "assist-llm")
		x.prompt = 500
		w.load(x, budgetRate/float64(len(w.hosts)), end)
	}
	time.Sleep(12 * time.Second)
	for _, r := range w.runners {
		r.failing.Store(failingPercent)
	}
	w.record.notef("%d in 100 runs fail from now on", failingPercent)
	time.Sleep(killAfter)
	if w.trouble {
		w.record.notef("all processes are killed, and started again")
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts {
			h.wait()
			if err := h.start(); err != nil {
				return false, err
			}
		}
	}
	w.callers.Wait()
	return w.judgeBudget(), nil
}

// judgeBudget checks in every window how many runs there were beyond the first of each request. Runs stand
// for arrivals, of which there are no fewer.
func (w *world) judgeBudget() bool {
	r := w.record
	r.mu.Lock()
	known := map[string]bool{}
	var repeats, requests []time.Time
	for _, x := range r.runs {
		if known[x.attempt] {
			repeats = append(repeats, x.at)
		}
		known[x.attempt] = true
	}
	for _, x := range r.sent {
		requests = append(requests, x.at)
	}
	r.mu.Unlock()
	worst, allowedThen, at := 0, 0.0, r.start
	for from := r.start; from.Before(time.Now().Add(-budgetWindow)); from = from.Add(windowStep) {
		n := within(repeats, from)
		most := max(within(requests, from), within(requests, from.Add(-budgetWindow/2)), within(requests, from.Add(-budgetWindow)))
		allowed := budgetRatio*float64(most) + budgetExtra
		if float64(n)-allowed > float64(worst)-allowedThen || at.Equal(r.start) {
			worst, allowedThen, at = n, allowed, from
		}
	}
	r.notef("BUDGET: %d arrivals beyond the first of each request in the window of %v from second %.3f; allowed %.1f",
		worst, budgetWindow, r.seconds(at), allowedThen)
	return float64(worst) > allowedThen
}

// within counts the times in the window that begins at one.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
			n++
		}
	}
	return n
}

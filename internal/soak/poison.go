package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

const (
	// poisonBody ends each endpoint that begins to run a request with it.
	poisonBody = "a body that ends what runs it"
	// poisonDown is how long such an endpoint is away.
	poisonDown = 2 * time.Second
	// poisonEvery is the time between two sendings of such a request.
	poisonEvery = 300 * time.Millisecond
	// poisonCrashes is how many endpoints such a request may end before it counts, and
	// poisonRuns how often it may reach one later than calmTime after that.
	poisonCrashes, poisonRuns = 3, 3
)

// poisoned notes that a request ended an endpoint, which comes back.
func (w *world) poisoned(s *server) {
	if w.crashMode.silent {
		_ = s.proxy.listener.Close()
		s.proxy.set(silent)
	}
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		w.bringBack(s, poisonDown)
	}()
}

// sendPoison sends one request again and again at the hosts in turn, each time as another
// attempt.
func (w *world) sendPoison(ctx context.Context, span time.Duration) []caller.Answer {
	return w.sendPoisonTo(ctx, w.hosts, span)
}

// sendPoisonTo is sendPoison at some of the hosts.
func (w *world) sendPoisonTo(ctx context.Context, to []*host, span time.Duration) []caller.Answer {
	var answers []caller.Answer
	until := time.Now().Add(span)
	for ctx.Err() == nil && time.Now().Before(until) {
		w.mu.Lock()
		n := w.poisons
		w.poisons++
		w.mu.Unlock()
		c := caller.New(to[n%len(to)].address)
		answers = append(answers, c.Do(caller.Request{
			Method: "POST", Host: "app.test", Path: "/unsafe/poison", Attempt: fmt.Sprintf("poison-%d", n),
			Key: w.firstKey(), Limit: callLimit, Body: poisonBody,
		}))
		c.Close()
		sleep(ctx, poisonEvery)
	}
	return answers
}

// firstKey returns a key that is in force.
func (w *world) firstKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.keys[0]
}

// lateRuns returns the runs of the request that ends endpoints which began later than
// calmTime after it had ended the last one that it may, sent by hosts in touch.
func (w *world) lateRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashes) < poisonCrashes {
		return 0
	}
	late := 0
	for _, at := range w.crashes[poisonCrashes:] {
		if at.Sub(w.crashes[poisonCrashes-1]) > calmTime && w.inTouch(at) {
			late++
		}
	}
	return late
}

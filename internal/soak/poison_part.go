package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

const (
	// poisonPart is the ID of the prompt part that crashes engines, and sharedPart that of a
	// sound part that stands before it and in the requests of other callers.
	poisonPart, sharedPart = "dead0001", "f1"
	// poisonPartInterval is the time between two requests with poisonPart.
	poisonPartInterval = 300 * time.Millisecond
	// partCrashesAllowed is how many engines the part may crash before later requests with
	// it count, and poisonPartRuns how many of these may reach an engine later than calmTime
	// after that.
	partCrashesAllowed, poisonPartRuns = 5, 3
	// poisonPartPrefix begins the attempt IDs of requests with poisonPart.
	poisonPartPrefix = "part-"
)

// partPoisoned records that poisonPart crashed an engine and brings the engine back.
func (w *world) partPoisoned(s *server) {
	w.mu.Lock()
	w.partCrashes = append(w.partCrashes, time.Now())
	w.mu.Unlock()
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		w.bringBack(s, poisonDown)
	}()
}

// sendPoisonPart sends requests with poisonPart, no two alike, at some of the hosts in turn.
func (w *world) sendPoisonPart(ctx context.Context, to []*host, span time.Duration) []caller.Answer {
	var answers []caller.Answer
	for until := time.Now().Add(span); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, poisonPartInterval) {
		w.mu.Lock()
		n := w.poisonPartRequests
		w.poisonPartRequests++
		w.mu.Unlock()
		c := caller.New(to[n%len(to)].address)
		answers = append(answers, c.Do(w.partRequest(fmt.Sprintf("%s%d", poisonPartPrefix, n), sharedPart, poisonPart)))
		c.Close()
	}
	return answers
}

// partRequest returns a request for a stream whose prompt begins with some parts and ends with
// one of its own.
func (w *world) partRequest(attempt string, parts ...string) caller.Request {
	const partTokens = 100
	var list []string
	for _, id := range append(parts, "own"+attempt) {
		list = append(list, fmt.Sprintf("%s:%d", id, partTokens))
	}
	return caller.Request{
		Method: "POST", Host: "app.test", Path: "/stream/" + attempt, Attempt: attempt, Key: w.firstKey(), Limit: callLimit,
		Body: "body of " + attempt, PromptTokens: partTokens * len(list), MaxTokens: maxOutput, Parts: strings.Join(list, ","),
	}
}

// latePoisonPartRuns returns how many requests with poisonPart reached an engine later than calmTime
// after the part had crashed the last engine that it may, sent by hosts in touch.
func (w *world) latePoisonPartRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.partCrashes) < partCrashesAllowed {
		return 0
	}
	last := w.partCrashes[partCrashesAllowed-1]
	late := 0
	for _, s := range w.all {
		for _, a := range s.runner.Arrivals() {
			if strings.HasPrefix(a.Attempt, poisonPartPrefix) && a.At.Sub(last) > calmTime && w.inTouch(a.At) {
				late++
			}
		}
	}
	return late
}

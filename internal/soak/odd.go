package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

const (
	// oddEvery is the time between two odd requests, and oddLimit how long their caller waits.
	oddEvery = 40 * time.Millisecond
	oddLimit = 1 * time.Second
	// latestHalfClose bounds the time after a request until its caller closes its sending side. Some
	// answers are whole by then.
	latestHalfClose = 80 * time.Millisecond
)

// oddFigures are figures, and texts that are none.
var oddFigures = []string{
	"0", "-1", "1e999", "NaN", "Inf", "-Inf", "0x7f", "2147483648", "3000000000", "4294967296",
	"9223372036854775807", "9223372036854775808", "99999999999999999999999999", "1.5", "", "seven", ",", ":",
}

// setOddFigure gives one header of a request for a stream an odd value.
func setOddFigure(r *rand.Rand, q *caller.Request) (route string) {
	route = "stream"
	q.Method, q.Path, q.Body = "POST", "/"+route+"/"+q.Attempt, "body of "+q.Attempt
	q.PromptTokens, q.MaxTokens = minPrompt, maxOutput
	q.SetOdd(r.IntN(caller.FigureHeaders), func() string { return oddFigures[r.IntN(len(oddFigures))] })
	return route
}

// closeHalf lets the caller of a request close its sending side and read on.
func closeHalf(r *rand.Rand, q *caller.Request) (route string) {
	q.HalfClose = 1 + time.Duration(r.Int64N(int64(latestHalfClose)))
	return ""
}

// sendOdd sends requests that differ from ordinary ones at the hosts in turn, for a time. change alters
// one and returns its route, if that has changed. What they get is checked by itself; they need not be
// served.
func (w *world) sendOdd(d draws, name string, change func(*rand.Rand, *caller.Request) string) {
	r := rand.New(rand.NewPCG(uint64(d.a), uint64(d.b)))
	until := time.Now().Add(d.span)
	for n := 0; time.Now().Before(until) && w.life.Err() == nil; n++ {
		h := w.hosts[n%len(w.hosts)]
		q, route := w.draw(r, fmt.Sprintf("%s%d-%d-%d", name, d.a, d.b, n))
		q.Limit = oddLimit
		route = cmp.Or(change(r, &q), route)
		c := caller.New(h.address)
		o := observed{request: q, answer: c.Do(q), route: route, host: h.name}
		c.Close()
		w.checkAnswer(&o)
		sleep(w.life, oddEvery)
	}
}

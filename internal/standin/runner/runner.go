// Package runner is a stand-in for an endpoint on the users' platform, a model engine
// or a plain service. It keeps a record of every run, by which a test can tell what
// was run, when, and how often.
package runner

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt   = "Attempt-Id"
	headerExpect    = "Expect-Runner"
	headerSeal      = "Runner-Seal"
	headerNotRun    = "Not-Executed"
	headerRunner    = "Runner-Id"
	headerTeam      = "Tenant"
	headerLastEvent = "Last-Event-Id"
	headerLeaving   = "Server-Leaving"
	headerRetry     = "Retry-After"
	headerParts     = "Prompt-Prefix"
)

// Options configures a Runner.
type Options struct {
	ID    string
	Slots int
	// Queue is how many requests may wait for a slot.
	Queue int
	// Streams makes every answer a stream of events, EventTime apart; otherwise an
	// answer takes Work.
	Streams   bool
	EventTime time.Duration
	Work      time.Duration
	// Poison is a body that ends the endpoint as it begins to run it; empty: none does.
	Poison string
	// Ended is told when Poison has ended the endpoint; nil: nobody is.
	Ended func()
	// PoisonPart is the ID of a prompt part that ends a streaming endpoint as it begins to
	// answer a request with it; empty: none does. PartEnded is called then, if not nil.
	PoisonPart string
	PartEnded  func()
}

// Run is one run of a request.
type Run struct {
	Attempt string
	Path    string
	Team    string
	Body    string
	Began   time.Time
	Runner  string
	// Resumed is the event behind which a stream went on; empty for its start.
	Resumed string
	// Keyed says that the request still had its caller's key.
	Keyed bool
}

// Runner is the stand-in.
type Runner struct {
	opts  Options
	http  *http.Server
	slots chan struct{}
	// places holds a place for each request that runs or waits.
	places chan struct{}
	// lose is how many of the next answers are lost after their run, fail how many
	// of the next runs fail.
	lose, fail atomic.Int64
	// leaving says that every answer tells that the endpoint leaves.
	leaving atomic.Bool
	// turn is how many of the next requests are turned away, and wait for how long, in
	// milliseconds.
	turn, wait atomic.Int64
	// garble is how many of the next answers are spoilt, and how in which way.
	garble, how atomic.Int64
	// flaw is what is wrong with the software; nil: nothing.
	flaw atomic.Pointer[Flaw]

	mu   sync.Mutex
	runs []Run
	// away are the requests that were turned away with a time to wait, and arrived all that
	// came.
	away    []Away
	arrived []Arrival
	// bad holds the ends of the runs that were bad because of a flaw.
	bad []time.Time
}

// Arrival is a request that came, run or not.
type Arrival struct {
	Attempt string
	At      time.Time
}

// Away is a request that was turned away.
type Away struct {
	Attempt string
	At      time.Time
	// Wait is for how long its sender is to send nothing more.
	Wait time.Duration
}

// New returns a runner that isn't serving.
func New(opts Options) *Runner {
	r := &Runner{opts: opts, slots: make(chan struct{}, opts.Slots), places: make(chan struct{}, opts.Slots+opts.Queue)}
	r.http = &http.Server{Handler: r}
	return r
}

// Serve answers on a listener until Close.
func (r *Runner) Serve(ln net.Listener) error {
	return r.http.Serve(ln)
}

// Close ends every connection at once, as a crash does.
func (r *Runner) Close() error {
	return r.http.Close()
}

// Lose lets the answers of the next n runs be lost, and Fail the next n runs fail.
func (r *Runner) Lose(n int) { r.lose.Store(int64(n)) }

// Fail lets the next n runs fail.
func (r *Runner) Fail(n int) { r.fail.Store(int64(n)) }

// Leave lets every answer from now on tell that the endpoint leaves.
func (r *Runner) Leave() { r.leaving.Store(true) }

// TurnAway lets the next n requests be turned away, and their senders asked to wait.
func (r *Runner) TurnAway(n int, wait time.Duration) {
	r.wait.Store(wait.Milliseconds())
	r.turn.Store(int64(n))
}

// TurnedAway returns the requests that were, and Arrivals all that came.
func (r *Runner) TurnedAway() []Away {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Away(nil), r.away...)
}

// Arrivals returns every request that came.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrived...)
}

// Runs returns every run so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get(headerAttempt)
	w.Header().Set(headerRunner, r.opts.ID)
	w.Header().Set(headerAttempt, attempt)
	if r.leaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	body, err := io.ReadAll(req.Body)
	switch {
	case err != nil:
		return
	case attempt == "":
		r.refuse(w, http.StatusBadRequest)
		return
	case req.Header.Get(headerExpect) != "" && req.Header.Get(headerExpect) != r.opts.ID:
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if r.turnsAway(w, attempt) {
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	default:
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-req.Context().Done():
		return
	}
	r.record(req, attempt, string(body))
	if r.opts.Poison != "" && string(body) == r.opts.Poison {
		if r.opts.Ended != nil {
			r.opts.Ended()
		}
		_ = r.Close()
		return
	}
	w.Header().Set(headerSeal, r.opts.ID+"."+attempt)
	if r.fail.Add(-1) >= 0 {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if r.garbled(w, attempt) {
		return
	}
	slower := 1.0
	if f := r.badRun(req.URL.Path, attempt); f != nil {
		defer r.noteBad()
		if f.Slow == 0 {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		slower = f.Slow
	}
	if r.opts.Streams {
		r.stream(w, req, attempt, times(r.opts.EventTime, slower))
		return
	}
	select {
	case <-time.After(times(r.opts.Work, slower)):
	case <-req.Context().Done():
		return
	}
	r.loseAnswer()
	_, _ = io.WriteString(w, Body(attempt))
}

// turnsAway notes a request and turns it away if that is asked for.
func (r *Runner) turnsAway(w http.ResponseWriter, attempt string) bool {
	now := time.Now()
	r.mu.Lock()
	r.arrived = append(r.arrived, Arrival{attempt, now})
	r.mu.Unlock()
	if r.turn.Add(-1) < 0 {
		return false
	}
	wait := time.Duration(r.wait.Load()) * time.Millisecond
	r.mu.Lock()
	r.away = append(r.away, Away{attempt, now, wait})
	r.mu.Unlock()
	w.Header().Set(headerRetry, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	r.refuse(w, http.StatusServiceUnavailable)
	return true
}

// refuse answers that the request was not run.
func (r *Runner) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// record keeps a run.
func (r *Runner) record(req *http.Request, attempt, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, Run{
		Attempt: attempt, Path: req.URL.Path, Team: req.Header.Get(headerTeam), Body: body, Began: time.Now(),
		Runner: r.opts.ID, Resumed: req.Header.Get(headerLastEvent), Keyed: req.Header.Get("Credential") != "",
	})
}

// loseAnswer ends the connection in place of an answer, if one is to be lost.
func (r *Runner) loseAnswer() {
	if r.lose.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events of a stream behind the last that the caller has.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, attempt string, eventTime time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 0
	if last, err := strconv.Atoi(req.Header.Get(headerLastEvent)); err == nil {
		next = last + 1
	}
	flusher := http.NewResponseController(w)
	if r.opts.PoisonPart != "" && hasPart(req.Header.Get(headerParts), r.opts.PoisonPart) {
		_ = flusher.Flush()
		_ = r.Close()
		if r.opts.PartEnded != nil {
			r.opts.PartEnded()
		}
		return
	}
	for i := next; i < Events(attempt); i++ {
		select {
		case <-time.After(eventTime):
		case <-req.Context().Done():
			return
		}
		if i > next {
			r.loseAnswer()
		}
		if _, err := io.WriteString(w, Event(attempt, i)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}

// times multiplies a time.
func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// hasPart reports whether a list of ID:TOKENS has a part with an ID.
func hasPart(list, id string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// hashOf spreads attempts evenly.
func hashOf(attempt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt))
	return h.Sum64()
}

// Body is the whole answer of a plain service to an attempt.
func Body(attempt string) string {
	return attempt + " " + strings.Repeat("x", int(hashOf(attempt)%1500)) + " end"
}

// Events is the number of events in the answer to an attempt.
func Events(attempt string) int {
	return 2 + int(hashOf(attempt)%25)
}

// Event is one event of the answer to an attempt.
func Event(attempt string, i int) string {
	end := ""
	if i == Events(attempt)-1 {
		end = " end"
	}
	return fmt.Sprintf("id: %d\ndata: %s.%d%s\n\n", i, attempt, i, end)
}

// Stream is the whole stream of an attempt.
func Stream(attempt string) string {
	var b strings.Builder
	for i := range Events(attempt) {
		b.WriteString(Event(attempt, i))
	}
	return b.String()
}

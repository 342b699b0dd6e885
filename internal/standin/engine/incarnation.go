package engine

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

// maxRuns bounds the requests that an incarnation remembers for resumes.
const maxRuns = 1 << 14

// incarnation is one life of the engine, from its start to its crash. All that
// it holds is lost with it. The fields down to cancel never change; the others
// are guarded by the server's mutex.
type incarnation struct {
	boot     string
	start    time.Time
	listener *conns.Listener
	app      *fiber.App
	// ctx ends with the incarnation.
	ctx    context.Context
	cancel context.CancelFunc

	crashed bool
	model   *Model
	loads   loadHistory
	cache   *cacheLog
	runs    map[string]*run
	jobs    map[uint64]*run
	// order holds the ids of runs in order of arrival.
	order   []string
	lastJob uint64
	// wake tells the driver that the model has something new to do.
	wake chan struct{}
}

// newIncarnation returns an idle incarnation on a listener.
func newIncarnation(options Options, listener *conns.Listener) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
		boot:     uuid.NewString(),
		start:    time.Now(),
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		model:    NewModel(options.Speed),
		loads:    loadHistory{lag: options.LoadLag},
		cache:    newCacheLog(options.CacheLag, options.CacheLossPerMille),
		runs:     map[string]*run{},
		jobs:     map[uint64]*run{},
		wake:     make(chan struct{}, 1),
	}
}

// now returns the time since the start.
func (i *incarnation) now() time.Duration {
	return time.Since(i.start)
}

// submit starts a run.
func (i *incarnation) submit(r *run, prefix []uint64) {
	i.lastJob++
	r.job = i.lastJob
	if i.runs[r.id] == nil {
		i.order = append(i.order, r.id)
	}
	i.runs[r.id] = r
	i.jobs[r.job] = r
	i.forget()
	i.model.Submit(i.now(), Job{
		ID:           r.job,
		Prefix:       prefix,
		PromptTokens: r.promptSize,
		OutputTokens: r.length,
	})
	i.recordLoad()
	i.wakeDriver()
}

// forget drops the oldest runs over the limit.
func (i *incarnation) forget() {
	for len(i.order) > maxRuns {
		delete(i.runs, i.order[0])
		i.order = i.order[1:]
	}
}

// abort ends a run early and says whether it was known.
func (i *incarnation) abort(id string) bool {
	r := i.runs[id]
	if r == nil {
		return false
	}
	if r.produced < r.length && !r.canceled {
		r.canceled = true
		i.model.Cancel(r.job)
		delete(i.jobs, r.job)
		r.signal()
		i.recordLoad()
	}
	return true
}

// step brings the model up to now, passes its tokens on to the runs and says
// whether one of them kills the engine.
func (i *incarnation) step() (crash bool) {
	tokens := i.model.Step(i.now())
	for _, token := range tokens {
		r := i.jobs[token.Job]
		if r == nil {
			continue
		}
		if r.crash {
			return true
		}
		i.advance(r, token)
	}
	if len(tokens) > 0 {
		i.recordLoad()
	}
	i.logCacheChanges()
	return false
}

// advance passes one token on to its run.
func (i *incarnation) advance(r *run, token Token) {
	r.produced = token.Index + 1
	r.cached = token.Cached
	r.signal()
	if token.Last {
		delete(i.jobs, token.Job)
	}
}

// recordLoad notes the load for the report.
func (i *incarnation) recordLoad() {
	running, waiting := i.model.Load()
	i.loads.record(i.now(), running, waiting)
}

// logCacheChanges hands the cache's changes to the log.
func (i *incarnation) logCacheChanges() {
	now := i.now()
	for _, change := range i.model.cacheChanges() {
		i.cache.add(now, change)
	}
}

// other returns a run that isn't the given one: the last one that came, or a
// made-up one if there is none.
func (i *incarnation) other(r *run) *run {
	for n := len(i.order) - 1; n >= 0; n-- {
		if known := i.runs[i.order[n]]; known != nil && known.id != r.id {
			return known
		}
	}
	return &run{
		id:          "not-" + r.id,
		model:       r.model,
		created:     r.created,
		fingerprint: ^r.fingerprint,
		length:      r.length,
	}
}

// wakeDriver makes the driver look at the model again.
func (i *incarnation) wakeDriver() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

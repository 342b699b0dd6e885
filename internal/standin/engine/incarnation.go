package engine

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// maxRuns bounds the requests that an incarnation remembers for resumes.
const maxRuns = 1 << 14

// incarnation is one life of the engine, from its start to its crash. All that
// it holds is lost with it. Its fields are guarded by the server's mutex, but
// ctx and boot never change.
type incarnation struct {
	boot  string
	start time.Time
	// ctx ends with the incarnation.
	ctx    context.Context
	cancel context.CancelFunc
	model  *Model
	runs   map[string]*run
	jobs   map[uint64]*run
	// order holds the ids of runs in order of arrival.
	order   []string
	lastJob uint64
	// wake tells the driver that the model has something new to do.
	wake chan struct{}
}

// newIncarnation returns an idle incarnation.
func newIncarnation(speed Speed) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
		boot:   uuid.NewString(),
		start:  time.Now(),
		ctx:    ctx,
		cancel: cancel,
		model:  NewModel(speed),
		runs:   map[string]*run{},
		jobs:   map[uint64]*run{},
		wake:   make(chan struct{}, 1),
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
	}
	return true
}

// step brings the model up to now, passes its tokens on to the runs and says
// whether one of them kills the engine.
func (i *incarnation) step() (crash bool) {
	for _, token := range i.model.Step(i.now()) {
		r := i.jobs[token.Job]
		if r == nil {
			continue
		}
		if r.crash {
			return true
		}
		r.produced = token.Index + 1
		r.cached = token.Cached
		r.signal()
		if token.Last {
			delete(i.jobs, token.Job)
		}
	}
	return false
}

// wakeDriver makes the driver look at the model again.
func (i *incarnation) wakeDriver() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// Package traffic carries requests to endpoints and their answers back. It
// sends a request only after control has committed its dispatch, and it never
// sends one twice: after a fault it resumes the same request at the same
// endpoint.
package traffic

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// Job is a caller's request on the traffic side.
type Job struct {
	ID   ident.Request
	Type resource.EndpointType
	// Method, Path, ContentType and Body are sent to the endpoint.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Answer      *answer.Answer
	// Tier is the request's tier.
	Tier ident.Tier
	// Keyed says that a resend may ask for the answer.
	Keyed bool

	run atomic.Pointer[Run]
	// heard says that the custodian of a joined request sent word.
	heard  atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// commits holds the attempts that wait for control's word.
	commits map[ident.Attempt]chan bool
}

// expect returns the channel that gets control's word on an attempt.
func (j *Job) expect(attempt ident.Attempt) <-chan bool {
	word := make(chan bool, 1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commits[attempt] = word
	return word
}

// committed passes control's word on an attempt on. It doesn't block.
func (j *Job) committed(attempt ident.Attempt, dispatch bool) {
	j.mu.Lock()
	word := j.commits[attempt]
	delete(j.commits, attempt)
	j.mu.Unlock()
	if word != nil {
		word <- dispatch
	}
}

// await waits for control's word on an attempt. A job that was released
// without it was not dispatched.
func (j *Job) await(word <-chan bool) bool {
	select {
	case dispatch := <-word:
		return dispatch
	case <-j.ctx.Done():
	}
	// A run that is canceled was committed before.
	select {
	case dispatch := <-word:
		return dispatch
	default:
		return false
	}
}

// Run is what became of a job that was dispatched.
type Run struct {
	// Began is when the dispatch was committed.
	Began time.Time
	End   custody.End
}

// Run returns what became of the job, or nil if it wasn't dispatched or hasn't
// ended.
func (j *Job) Run() *Run {
	return j.run.Load()
}

// NewJob returns a job with an empty answer.
func NewJob(id ident.Request) *Job {
	ctx, cancel := context.WithCancel(context.Background())
	return &Job{
		ID: id, Answer: answer.New(), commits: map[ident.Attempt]chan bool{}, ctx: ctx, cancel: cancel,
	}
}

// jobs is the table of jobs by request.
type jobs struct {
	mu   sync.Mutex
	rows map[ident.Request]*Job
}

// put adds a job.
func (t *jobs) put(j *Job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[j.ID] = j
}

// get returns a job, or nil.
func (t *jobs) get(id ident.Request) *Job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[id]
}

// remove drops a job and returns it, or nil.
func (t *jobs) remove(id ident.Request) *Job {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.rows[id]
	delete(t.rows, id)
	return j
}

// all returns every job.
func (t *jobs) all() []*Job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.rows))
}

// size returns the number of jobs.
func (t *jobs) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

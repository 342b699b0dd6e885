// Package traffic carries requests to endpoints and their answers back. It
// sends a request only after control has committed its dispatch, and it never
// sends one twice: after a fault it resumes the same request at the same
// endpoint.
package traffic

import (
	"context"
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

	commit chan bool
	run    atomic.Pointer[Run]
	ctx    context.Context
	cancel context.CancelFunc
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
		ID: id, Answer: answer.New(), commit: make(chan bool, 1), ctx: ctx, cancel: cancel,
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

// remove drops a job.
func (t *jobs) remove(id ident.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// size returns the number of jobs.
func (t *jobs) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

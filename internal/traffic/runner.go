package traffic

import (
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// Options configures a Runner.
type Options struct {
	Self ident.Host
	// Post hands an event to control.
	Post func(control.Event)
	// Send queues a message for another host.
	Send func(ident.Host, *peerpb.Envelope) bool
	// Gap is told of the time between two parts of an answer.
	Gap func(ident.Tier, time.Duration)
}

// Runner runs the jobs of one host.
type Runner struct {
	opts      Options
	conns     *endpoint.Pool
	jobs      jobs
	retention retention
	joins     joins
	group     supervise.Group
	// aborted says that the process ends before its jobs.
	aborted atomic.Bool
}

// NewRunner returns a runner without jobs.
func NewRunner(opts Options) *Runner {
	return &Runner{
		opts:  opts,
		conns: endpoint.NewPool(),
		jobs:  jobs{rows: map[ident.Request]*Job{}},
		joins: joins{latest: map[string]uint64{}},
	}
}

// Add makes a job known. It is to be called before control hears of the
// request.
func (r *Runner) Add(j *Job) {
	r.jobs.put(j)
}

// Find returns the job of a request, or nil.
func (r *Runner) Find(id ident.Request) *Job {
	return r.jobs.get(id)
}

// Jobs returns the number of jobs known.
func (r *Runner) Jobs() int {
	return r.jobs.size()
}

// Abort ends every job that hasn't ended: the process can't wait for them. The
// endpoints go on with what they run, so that a resend may still find its answer.
func (r *Runner) Abort() {
	r.aborted.Store(true)
	for _, j := range r.jobs.all() {
		j.cancel()
		j.Answer.Finish(answer.Final{
			Code: result.OutcomeUnknown, Reason: "the host stopped before the answer was whole",
		})
	}
}

// Wait waits for the running jobs and closes the connections.
func (r *Runner) Wait() {
	r.group.Wait()
	r.conns.Close()
}

// Apply acts on a directive of control. It doesn't block.
func (r *Runner) Apply(d custody.Directive) {
	j := r.jobs.get(d.ID)
	if j == nil {
		return
	}
	switch d.Kind {
	case custody.Connect:
		word := j.expect(d.Attempt)
		r.group.Go("run", func() { r.connect(j, d, word) })
	case custody.Commit:
		j.committed(d.Attempt, d.Proceed)
	case custody.Refuse:
		j.Answer.Finish(answer.Final{
			Code: d.Err.Code, Reason: d.Err.Reason, RetryAfter: d.Err.RetryAfter,
		})
	case custody.CancelRun:
		j.cancel()
	}
}

// connect gets a connection for a grant, asks control to commit the dispatch
// and runs the job.
func (r *Runner) connect(j *Job, d custody.Directive, word <-chan bool) {
	conn, err := r.open(j, d.Address)
	if err != nil {
		r.opts.Post(control.Unreachable{ID: j.ID, Attempt: d.Attempt})
		return
	}
	r.opts.Post(control.Connected{ID: j.ID, Attempt: d.Attempt})
	if !j.await(word) {
		r.giveBack(j, conn)
		return
	}
	run := &run{
		runner: r, job: j, request: j.ID, address: d.Address, attempt: d.Attempt, began: time.Now(),
	}
	if j.Type == resource.EndpointEngine {
		run.engine(conn)
		return
	}
	run.service(conn)
}

// open returns a connection for a job. A plain service gets a new one each
// time: a kept one could not be probed, since a service declares no call
// without an effect.
func (r *Runner) open(j *Job, address string) (*endpoint.Conn, error) {
	if j.Type == resource.EndpointEngine {
		return r.conns.Get(address)
	}
	return endpoint.Dial(address)
}

// giveBack returns a connection that was not used.
func (r *Runner) giveBack(j *Job, conn *endpoint.Conn) {
	if j.Type == resource.EndpointEngine {
		r.conns.Put(conn)
		return
	}
	_ = conn.Close()
}

// run is one dispatched job.
type run struct {
	runner *Runner
	job    *Job
	// request is the request that the endpoint knows: the job's own, or an earlier
	// one with its key.
	request ident.Request
	address string
	attempt ident.Attempt
	began   time.Time
	// heard is when the last chunk came.
	heard time.Time
	// boot is the engine's incarnation that the request was sent to; empty if it
	// isn't known.
	boot string
	end  custody.End
}

// finish ends the job: the answer first, so that the caller doesn't wait for
// control, then the word to control.
func (x *run) finish(phase peerpb.Report_Phase, f answer.Final) {
	x.end.Phase = phase
	x.end.Total = time.Since(x.began)
	x.job.run.Store(&Run{Began: x.began, End: x.end})
	x.job.Answer.Finish(f)
	x.runner.opts.Post(control.Ended{ID: x.job.ID, End: x.end, Answer: keptAnswer(x.job.Answer)})
}

// lost ends the job without a whole answer.
func (x *run) lost(code result.Code, reason string) {
	phase := peerpb.Report_PHASE_LOST
	if x.job.ctx.Err() != nil {
		phase = peerpb.Report_PHASE_CANCELED
	}
	x.finish(phase, answer.Final{Code: code, Reason: reason})
}

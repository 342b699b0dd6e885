package traffic

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// RecoverAnswer reads the answer of an earlier request, whose custodian is lost, from
// the endpoint that knows it.
func (r *Runner) RecoverAnswer(rescue control.AnswerRecovery) {
	job := r.jobs.get(rescue.ID)
	if job == nil {
		return
	}
	r.group.Go("answer of a lost host", func() {
		final := r.readFromAny(job, rescue)
		job.Answer.Finish(final)
		r.opts.Post(control.AnswerRecovered{ID: rescue.ID, Answer: keptAnswer(job.Answer)})
	})
}

// readFromAny asks the endpoints in order until one has the whole answer.
func (r *Runner) readFromAny(job *Job, rescue control.AnswerRecovery) answer.Final {
	for _, address := range rescue.Addresses {
		x := &run{
			runner: r, job: job, address: address, request: rescue.Request,
			began: time.Now(), heard: time.Now(),
		}
		if x.read() {
			return answer.Final{Code: result.OK}
		}
	}
	return answer.Final{
		Code: result.OutcomeUnknown, Reason: "the host that ran this key is lost, and no endpoint has its answer",
	}
}

// read follows a request's stream at one endpoint to its end. It returns false
// where the endpoint doesn't know the request or can't be reached.
func (x *run) read() bool {
	for range maxFaults {
		conn, err := endpoint.Dial(x.address)
		if err != nil {
			return false
		}
		stream, err := x.reopen(conn)
		if err != nil {
			return false
		}
		if err = x.follow(stream, silenceMost); err == nil {
			stream.Reuse(x.runner.conns)
			return true
		}
		stream.Close()
		if x.job.ctx.Err() != nil {
			return false
		}
	}
	return false
}

package traffic

import (
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const (
	// joinRetry is how long a joiner waits for the next part before it asks
	// again.
	joinRetry = 2 * time.Second
	// joinTries bounds the asking without any word from the custodian.
	joinTries = 2
	// indexWaiting is the index of a part without data that says that the
	// custodian has the request, though no part may have come yet.
	indexWaiting = -1
)

// joins numbers the wishes of the joiners that this host serves, so that the
// latest of a joiner replaces the ones before.
type joins struct {
	mu     sync.Mutex
	latest map[string]uint64
	count  uint64
}

// begin returns the number of a joiner's new wish.
func (t *joins) begin(joiner string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	t.latest[joiner] = t.count
	return t.count
}

// current says whether a wish was not replaced.
func (t *joins) current(joiner string, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest[joiner] == number
}

// end forgets a wish that was served.
func (t *joins) end(joiner string, number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest[joiner] == number {
		delete(t.latest, joiner)
	}
}

// Join lets a job take part in the answer of an earlier request with its key,
// here or at another host.
func (r *Runner) Join(j control.Join) {
	job := r.jobs.get(j.ID)
	if job == nil {
		return
	}
	if j.Custodian != r.opts.Self {
		r.group.Go("join", func() { r.joinRemote(job, j) })
		return
	}
	first := r.jobs.get(j.Request)
	if first == nil {
		job.Answer.Finish(noLongerKept())
		return
	}
	part := func(b []byte) bool {
		job.Answer.Append(b)
		return true
	}
	end := func(f answer.Final) { job.Answer.Finish(f) }
	r.group.Go("join", func() { follow(first.Answer, 0, part, end) })
}

// noLongerKept ends a join whose answer was dropped to make room.
func noLongerKept() answer.Final {
	return answer.Final{
		Code: result.KeyExpired, Reason: "the answer to this key is no longer kept",
	}
}

// follow copies an answer from a part on until it ends, or until part returns
// false.
func follow(from *answer.Answer, i int, part func([]byte) bool, end func(answer.Final)) {
	for ; ; i++ {
		v := from.At(i)
		for !v.HasPart && v.Final == nil {
			<-v.Changed
			v = from.At(i)
		}
		if !v.HasPart {
			end(*v.Final)
			return
		}
		if !part(v.Part) {
			return
		}
	}
}

// joinRemote asks the custodian for the answer until it ends. Every try starts
// at the first part that is missing.
func (r *Runner) joinRemote(job *Job, j control.Join) {
	for tries := 0; tries < joinTries; tries++ {
		before := job.Answer.Len()
		r.opts.Send(j.Custodian, peerpb.Wrap(&peerpb.Envelope_Join{Join: &peerpb.Join{
			Request: string(j.Request), Joiner: string(job.ID), FromPart: int64(before),
		}}))
		if awaitEnd(job.Answer) {
			return
		}
		if heard := job.heard.Swap(false); heard || job.Answer.Len() > before {
			tries = -1
		}
	}
	r.opts.Post(control.JoinLost{Join: j})
}

// awaitEnd waits until an answer has ended, which gives true, or has not grown
// for joinRetry.
func awaitEnd(a *answer.Answer) bool {
	for {
		v := a.At(a.Len())
		if v.HasPart {
			continue
		}
		if v.Final != nil {
			return true
		}
		timer := time.NewTimer(joinRetry)
		select {
		case <-v.Changed:
			timer.Stop()
		case <-timer.C:
			return false
		}
	}
}

// Relay takes a message of a join: a wish to join a request of this host, or a
// part for a joiner here.
func (r *Runner) Relay(m *peerpb.Envelope) {
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_Join:
		to := ident.Host(m.GetFrom())
		r.group.Go("join", func() { r.serveJoin(to, body.Join) })
	case *peerpb.Envelope_Part:
		r.takePart(body.Part)
	}
}

// serveJoin sends an answer of this host to a joiner at another.
func (r *Runner) serveJoin(to ident.Host, m *peerpb.Join) {
	number := r.joins.begin(m.GetJoiner())
	defer r.joins.end(m.GetJoiner(), number)
	index := m.GetFromPart()
	send := func(p *peerpb.Part) {
		p.Joiner = m.GetJoiner()
		p.Index = index
		index++
		r.opts.Send(to, peerpb.Wrap(&peerpb.Envelope_Part{Part: p}))
	}
	end := func(f answer.Final) {
		send(&peerpb.Part{
			Last: true, Code: int32(f.Code), Reason: f.Reason,
			RetryAfterUs: f.RetryAfter.Microseconds(), Status: int32(f.Status),
			ContentType: f.ContentType,
		})
	}
	job := r.jobs.get(ident.Request(m.GetRequest()))
	if job == nil {
		end(noLongerKept())
		return
	}
	r.opts.Send(to, peerpb.Wrap(&peerpb.Envelope_Part{Part: &peerpb.Part{
		Joiner: m.GetJoiner(), Index: indexWaiting,
	}}))
	follow(job.Answer, int(index), func(b []byte) bool {
		if !r.joins.current(m.GetJoiner(), number) {
			return false
		}
		send(&peerpb.Part{Data: b})
		return true
	}, end)
}

// takePart adds a part to a joiner's answer. Parts that came already, or before
// one that is missing, are dropped: the joiner asks again.
func (r *Runner) takePart(m *peerpb.Part) {
	job := r.jobs.get(ident.Request(m.GetJoiner()))
	if job == nil {
		return
	}
	job.heard.Store(true)
	if int(m.GetIndex()) != job.Answer.Len() {
		return
	}
	if !m.GetLast() {
		job.Answer.Append(m.GetData())
		return
	}
	job.Answer.Finish(answer.Final{
		Code: result.Code(m.GetCode()), Reason: m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterUs()) * time.Microsecond,
		Status:     int(m.GetStatus()), ContentType: m.GetContentType(),
	})
}

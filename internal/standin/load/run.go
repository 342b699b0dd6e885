package load

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Run sends the load and returns the report when the last answer has ended. A
// context that ends stops the sending; requests under way are still waited
// for.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := newRunner(&options)
	r.sendAll(ctx, makePlan(&options))
	return r.report, nil
}

// runner sends the requests of a plan.
type runner struct {
	sender *sender
	// places holds an item for each request under way.
	places chan struct{}
	group  conc.WaitGroup

	mu     sync.Mutex
	report *Report
}

// newRunner returns a runner that has sent nothing.
func newRunner(options *Options) *runner {
	return &runner{
		sender: newSender(options.Deadline),
		places: make(chan struct{}, options.MaxInFlight),
		report: newReport(options.Deadline),
	}
}

// sendAll sends each request at its time, whatever became of the ones before,
// and waits for the answers.
func (r *runner) sendAll(ctx context.Context, plan []planned) {
	defer r.group.Wait()
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range plan {
		p := &plan[i]
		timer.Reset(time.Until(begin.Add(p.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		r.start(p, time.Since(begin)-p.at)
	}
}

// start sends one request in the background, or counts it as unsent if too many
// are under way.
func (r *runner) start(p *planned, late time.Duration) {
	select {
	case r.places <- struct{}{}:
	default:
		r.count(p, &outcome{kind: unsent, reason: "too many under way"}, late)
		return
	}
	r.group.Go(func() {
		defer func() { <-r.places }()
		o := r.sender.send(p)
		r.count(p, &o, late)
	})
}

// count adds an outcome to the report.
func (r *runner) count(p *planned, o *outcome, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(p, o)
	r.report.lateness.add(late)
}

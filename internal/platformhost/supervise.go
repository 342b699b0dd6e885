package platformhost

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

const (
	// stallTimeout is the time without a step of the control loop after which this host is not ready.
	stallTimeout = 3 * time.Second
	// stallChecks is the number of checks in a row that find no step, and stallInterval the time between
	// two, after which the process ends. Checks are counted, and not time, because a process that was
	// frozen has made no step either.
	stallChecks   = 15
	stallInterval = 1 * time.Second
	// maxStacksBytes bounds the stacks in the log of a stalled process.
	maxStacksBytes = 256 << 10
	// storeMessageQueue is the number of other hosts' queries and answers about the store that may
	// wait. What is beyond it is dropped: the asking host asks again.
	storeMessageQueue = 256
)

// errUnusable is returned if the process can't go on because a part of it has failed.
var errUnusable = errors.New("a part of the process has failed")

// panicked logs the panic of a part of the process and ends the process. It could not serve without
// that part, but would go on to say that it is ready.
func (h *Host) panicked(part string, r *panics.Recovered) {
	logs.With(h.log, logs.Panicked).WithField("part", part).WithField("stack", string(r.Stack)).
		WithField("reason", fmt.Sprint(r.Value)).Error()
	h.fail(errors.Wrapf(errUnusable, "%s: %v", part, r.Value))
}

// fail ends the process with an error.
func (h *Host) fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}

// supersede stops this process because a later one of its host has started. The requests that it has
// accepted are answered, as at a planned stop.
func (h *Host) supersede() {
	h.supersedeOnce.Do(func() {
		logs.With(h.log, logs.Superseded).Error()
		close(h.superseded)
	})
}

// eventDropped logs and counts an event that the control loop has dropped.
func (h *Host) eventDropped(d control.Dropped) {
	h.metrics.EventDropped()
	logs.With(h.log, logs.EventDropped).WithField("event", d.Event).WithField("stack", d.Stack).
		WithField("reason", fmt.Sprint(d.Reason)).Error()
}

// watchLoop checks at an interval whether the control loop makes progress, and otherwise ends the
// process, until ctx is done.
func (h *Host) watchLoop(ctx context.Context, interval time.Duration) {
	for checks := 0; ; {
		if !wait(ctx, interval) {
			return
		}
		if h.loop.Idle() < stallTimeout {
			checks = 0
			continue
		}
		if checks++; checks < stallChecks {
			continue
		}
		stacks := make([]byte, maxStacksBytes)
		stacks = stacks[:runtime.Stack(stacks, true)]
		logs.With(h.log, logs.LoopStalled).WithField("after_ms", h.loop.Idle().Milliseconds()).
			WithField("stack", string(stacks)).Error()
		h.fail(errors.Wrap(errUnusable, "the control loop makes no progress"))
		return
	}
}

// queueStoreMessage queues a message about the store. The control loop calls it, and must not wait for the
// follower, which posts to the loop.
func (h *Host) queueStoreMessage(m *peerpb.Envelope) {
	select {
	case h.storeMessages <- m:
	default:
	}
}

// receiveStoreMessages passes messages about the store to the follower until ctx is done.
func (h *Host) receiveStoreMessages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-h.storeMessages:
			h.follower.Receive(m)
		}
	}
}

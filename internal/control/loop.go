package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

const (
	// mailboxSize is the number of events that may be queued before Post blocks.
	mailboxSize = 8192
	// maxBatch bounds the number of events per step.
	maxBatch = 256
	// maxCalls bounds the number of concurrent platform calls.
	maxCalls = 64
	// callTimeout bounds the duration of one platform call.
	callTimeout = 2 * time.Second
)

// Traffic is the interface of the data path to control. Its methods do not block.
type Traffic interface {
	Apply(custody.Directive)
	ReturnAnswer(ident.Request, claim.Answer)
	Join(Join)
	RecoverAnswer(AnswerRecovery)
	Relay(*peerpb.Envelope)
}

// Ports holds the loop's connections to the rest of the process. The functions must not
// block.
type Ports struct {
	Table    platform.Table
	Objects  platform.Objects
	Send     func(ident.Host, *peerpb.Envelope) bool
	SetPeers func(map[ident.Host]string)
	Traffic  Traffic
	// Configure is called with each configuration that comes into force.
	Configure func(*resource.Snapshot)
	// ExecuteOrder performs an exchange with an endpoint about an order and posts the
	// result as an OrderEvent.
	ExecuteOrder func(order.Effect)
	// Watch is called with the endpoints to watch.
	Watch func([]resource.Endpoint)
	// Superseded is called, possibly repeatedly, when this process must stop because a
	// later one runs under its host's name.
	Superseded func()
	// StoreMessage is called with messages about the platform's store.
	StoreMessage func(*peerpb.Envelope)
	// EndpointLeaving is called with endpoints newly known to be leaving.
	EndpointLeaving func(LeavingEndpoint)
	// Dropped is called with each event that was dropped because its handling panicked.
	Dropped func(Dropped)
	// HostUnresponsive is called with hosts that did not answer a submission.
	HostUnresponsive func(ident.Host)
	// RolloutDecided is called with each decision on a roll-out of a pool that is scheduled
	// here, and again after some seconds while the roll-out's status stays running.
	RolloutDecided func(rollout.Verdict)
	// Record is called with the pool schedulers' steps and the directives for
	// requests in custody, for traces and explain.
	Record func([]scheduling.Step, []custody.Directive)
}

// Loop runs a Core on one goroutine.
type Loop struct {
	core      *Core
	ports     Ports
	mailbox   chan Event
	now       func() time.Duration
	calls     supervise.Group
	callSlots chan struct{}
	// stopped is closed when Run has returned or panicked.
	stopped chan struct{}
	// steppedAt is the time of the last completed step.
	steppedAt atomic.Int64
}

// NewLoop returns a loop for a core. Connect must be called before Run.
func NewLoop(core *Core) *Loop {
	started := time.Now()
	return NewLoopAt(core, func() time.Duration { return time.Since(started) })
}

// NewLoopAt returns a loop that uses the given clock, which must be monotonic.
func NewLoopAt(core *Core, now func() time.Duration) *Loop {
	return &Loop{
		core:      core,
		mailbox:   make(chan Event, mailboxSize),
		now:       now,
		callSlots: make(chan struct{}, maxCalls),
		stopped:   make(chan struct{}),
	}
}

// Connect sets the ports.
func (l *Loop) Connect(p Ports) {
	l.ports = p
}

// Now returns the time of the control clock, which starts when the loop is created.
func (l *Loop) Now() time.Duration {
	return l.now()
}

// Post queues an event for the control goroutine. It blocks while the mailbox is
// full. After the loop has stopped the event is dropped. The control goroutine itself must not
// call Post.
func (l *Loop) Post(e Event) {
	select {
	case l.mailbox <- e:
		return
	default:
	}
	select {
	case l.mailbox <- e:
	case <-l.stopped:
	}
}

// Offer queues an event for the control goroutine. It returns false if the mailbox is full for
// the given time, or if the loop has stopped.
func (l *Loop) Offer(e Event, wait time.Duration) bool {
	select {
	case <-l.stopped:
		return false
	default:
	}
	select {
	case l.mailbox <- e:
		return true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case l.mailbox <- e:
		return true
	case <-l.stopped:
	case <-timer.C:
	}
	return false
}

// Idle returns the time since the last completed step; a running loop completes one at least every
// maxSleep. It returns 0 before the first step.
func (l *Loop) Idle() time.Duration {
	at := time.Duration(l.steppedAt.Load())
	if at == 0 {
		return 0
	}
	return max(0, l.Now()-at)
}

// Inspect runs f on the control goroutine and waits until f has returned and the
// effects of all events posted before are carried out. f must not retain the core
// or any of its state. Inspect returns an error if ctx ends first.
func (l *Loop) Inspect(ctx context.Context, f func(*Core)) error {
	done := make(chan struct{})
	insp := inspection{run: f, done: done}
	select {
	case l.mailbox <- insp:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control: inspect")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control: inspect")
	}
}

// Run steps the core until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.calls.Wait()
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.mailbox:
			l.step(l.batch(e))
		case <-timer.C:
			l.step(nil)
		}
		l.steppedAt.Store(int64(max(1, l.Now())))
		timer.Reset(l.core.NextWake() - l.Now())
	}
}

// batch returns the first event and the events queued behind it, up to maxBatch.
func (l *Loop) batch(first Event) []Event {
	events := []Event{first}
	for len(events) < maxBatch {
		select {
		case e := <-l.mailbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// step runs the core once and carries out its effects.
func (l *Loop) step(events []Event) {
	effects := l.core.Step(l.Now(), time.Now().UnixMilli(), events)
	if effects.Peers != nil {
		l.ports.SetPeers(effects.Peers)
	}
	if effects.Snapshot != nil {
		l.ports.Configure(effects.Snapshot)
	}
	if effects.WatchChanged {
		l.ports.Watch(effects.Watch)
	}
	for _, send := range effects.Sends {
		l.ports.Send(send.To, send.Message)
	}
	if len(effects.Steps) > 0 || len(effects.Directives) > 0 {
		l.ports.Record(effects.Steps, effects.Directives)
	}
	for _, m := range effects.StoreMessages {
		l.ports.StoreMessage(m)
	}
	for _, e := range effects.LeavingEndpoints {
		l.ports.EndpointLeaving(e)
	}
	for _, v := range effects.Verdicts {
		l.ports.RolloutDecided(v)
	}
	for _, d := range effects.Dropped {
		l.ports.Dropped(d)
	}
	for _, h := range effects.UnresponsiveHosts {
		l.ports.HostUnresponsive(h)
	}
	if effects.Superseded {
		l.ports.Superseded()
	}
	l.applyToTraffic(effects)
	for _, e := range effects.Orders {
		l.ports.ExecuteOrder(e)
	}
	for _, call := range effects.Calls {
		l.calls.Go("platform call", func() { l.call(call) })
	}
	for _, e := range events {
		if insp, ok := e.(inspection); ok {
			close(insp.done)
		}
	}
}

// applyToTraffic carries out the effects for the data path.
func (l *Loop) applyToTraffic(effects Effects) {
	for _, d := range effects.Directives {
		l.ports.Traffic.Apply(d)
	}
	for _, s := range effects.Settled {
		l.ports.Traffic.ReturnAnswer(s.ID, s.Answer)
	}
	for _, j := range effects.Joins {
		l.ports.Traffic.Join(j)
	}
	for _, r := range effects.Recoveries {
		l.ports.Traffic.RecoverAnswer(r)
	}
	for _, m := range effects.JoinMessages {
		l.ports.Traffic.Relay(m)
	}
}

// call makes one platform call and posts its reply.
func (l *Loop) call(c system.Call) {
	l.callSlots <- struct{}{}
	defer func() { <-l.callSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := system.Reply{Owner: c.Owner, Token: c.Token}
	switch c.Kind {
	case system.CallGet:
		var row platform.Row
		row, reply.Err = l.ports.Table.Get(ctx, c.Key)
		reply.Rows = []platform.Row{row}
	case system.CallList:
		reply.Rows, reply.Err = l.ports.Table.List(ctx, c.Key, c.After, c.Limit)
	case system.CallCommit:
		reply.Version, reply.Err = l.ports.Table.Commit(ctx, c.Txn)
	case system.CallGetObject:
		var value []byte
		value, reply.Err = l.ports.Objects.GetObject(ctx, c.Key)
		reply.Rows = []platform.Row{{Key: c.Key, Value: value}}
	case system.CallPutObject:
		reply.Err = l.ports.Objects.PutObject(ctx, c.Key, c.Value)
	}
	if reply.Err != nil {
		reply.Rows = nil
	}
	l.Post(Replied{Reply: reply})
}

// inspection is an event that runs a function on the core. done is closed after
// the effects of its step are carried out.
type inspection struct {
	run  func(*Core)
	done chan struct{}
}

func (inspection) event() {}

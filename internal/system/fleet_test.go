package system_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// frameBytes is the overhead of a batch and its frame for a message sent alone.
const frameBytes = 8

// process is the control state of a host under test.
type process interface {
	Tick(now time.Duration, out *system.Outbox)
	Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox)
	Reply(now time.Duration, reply system.Reply, out *system.Outbox)
	NextWake() time.Duration
}

// event is a message, a platform reply or a timer for a host.
type event struct {
	at    time.Duration
	order int
	host  ident.Host
	// boot is the incarnation that the event is for.
	boot  uint64
	env   *peerpb.Envelope
	reply *system.Reply
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fleetHost is a host of the fleet.
type fleetHost struct {
	process
	boot uint64
	// frozen is set while the host handles no events. Events that arrive meanwhile are
	// kept in waiting.
	frozen  bool
	waiting []*event
	// timerPending is set while a timer for wakeAt is scheduled.
	timerPending bool
	wakeAt       time.Duration
	// repeatedTimers counts consecutive timers at the same time.
	repeatedTimers int

	sentMessages, sentBytes uint64
}

// fleet passes messages between processes on a virtual clock.
type fleet struct {
	now    time.Duration
	rand   *rand.Rand
	events eventHeap
	order  int
	hosts  map[ident.Host]*fleetHost
	// cut reports whether messages from one host to another are lost.
	cut func(from, to ident.Host) bool
	// platform answers platform calls; nil if none are expected.
	platform func(host ident.Host, call system.Call) *system.Reply
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		rand:  rand.New(rand.NewPCG(seed, seed)),
		hosts: map[ident.Host]*fleetHost{},
		cut:   func(ident.Host, ident.Host) bool { return false },
	}
}

// hostName returns the name of host n.
func hostName(n int) ident.Host {
	return ident.Host(fmt.Sprintf("entry-%03d", n))
}

// boot starts a process on a host. An earlier process ends without notice.
func (f *fleet) boot(host ident.Host, p process) {
	next := &fleetHost{process: p, boot: 1}
	if old := f.hosts[host]; old != nil {
		next.boot = old.boot + 1
		next.sentMessages, next.sentBytes = old.sentMessages, old.sentBytes
	}
	f.hosts[host] = next
	if p != nil {
		f.schedule(host)
	}
}

// kill ends the process of a host without notice.
func (f *fleet) kill(host ident.Host) {
	f.boot(host, nil)
}

// push schedules an event for the current process of its host.
func (f *fleet) push(e *event) {
	f.order++
	e.order = f.order
	e.boot = f.hosts[e.host].boot
	heap.Push(&f.events, e)
}

// schedule schedules a timer for the host's next wake-up.
func (f *fleet) schedule(host ident.Host) {
	m := f.hosts[host]
	wake := max(m.NextWake(), f.now)
	if m.timerPending && m.wakeAt <= wake {
		return
	}
	m.timerPending, m.wakeAt = true, wake
	f.push(&event{at: wake, host: host})
}

// freeze stops a host. thaw resumes it and handles all events that arrived meanwhile.
func (f *fleet) freeze(host ident.Host) { f.hosts[host].frozen = true }

func (f *fleet) thaw(host ident.Host) {
	m := f.hosts[host]
	m.frozen = false
	waiting := m.waiting
	m.waiting = nil
	for _, e := range waiting {
		f.handle(m, e)
	}
}

// run handles events up to the given time.
func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		m := f.hosts[e.host]
		if m.process == nil || m.boot != e.boot {
			continue
		}
		if m.frozen {
			m.waiting = append(m.waiting, e)
			continue
		}
		f.handle(m, e)
	}
	f.now = until
}

// handle passes an event to its host and carries out the effects.
func (f *fleet) handle(m *fleetHost, e *event) {
	var out system.Outbox
	switch {
	case e.env != nil:
		m.Receive(f.now, e.env, &out)
	case e.reply != nil:
		m.Reply(f.now, *e.reply, &out)
	default:
		f.tick(e.host, m, &out)
	}
	f.emit(e.host, &out)
	f.schedule(e.host)
}

// tick runs a timer. It panics if a process requests the same time over and over.
func (f *fleet) tick(host ident.Host, m *fleetHost, out *system.Outbox) {
	if m.repeatedTimers++; f.now > m.wakeAt {
		m.repeatedTimers = 0
	}
	if m.repeatedTimers > 1000 {
		panic(fmt.Sprintf("%s repeatedly requests a wake-up at %v", host, f.now))
	}
	m.timerPending = false
	m.Tick(f.now, out)
	if m.NextWake() > f.now {
		m.repeatedTimers = 0
	}
}

// step runs a function on a host and carries out its effects.
func (f *fleet) step(host ident.Host, do func(out *system.Outbox)) {
	var out system.Outbox
	do(&out)
	f.emit(host, &out)
	f.schedule(host)
}

// emit carries out the effects of a step.
func (f *fleet) emit(host ident.Host, out *system.Outbox) {
	m := f.hosts[host]
	for _, send := range out.Sends {
		env := proto.Clone(send.Message).(*peerpb.Envelope)
		if send.To != host {
			m.sentMessages++
			m.sentBytes += uint64(proto.Size(env) + frameBytes)
		}
		env.From = string(host)
		env.Incarnation = m.boot
		if f.hosts[send.To] == nil || send.To != host && f.cut(host, send.To) {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(f.rand.Int64N(int64(2*time.Millisecond)))
		f.push(&event{at: f.now + delay, host: send.To, env: env})
	}
	for _, call := range out.Calls {
		if reply := f.platform(host, call); reply != nil {
			delay := time.Millisecond + time.Duration(f.rand.Int64N(int64(10*time.Millisecond)))
			f.push(&event{at: f.now + delay, host: host, reply: reply})
		}
	}
}

// sent returns the total number of messages and bytes sent by all hosts.
func (f *fleet) sent() (messages, bytes uint64) {
	for _, m := range f.hosts {
		messages += m.sentMessages
		bytes += m.sentBytes
	}
	return messages, bytes
}

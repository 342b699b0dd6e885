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

// frameBytes is what a batch and its frame add to a message sent alone.
const frameBytes = 8

// process is the control state of one host under test.
type process interface {
	Tick(now time.Duration, out *system.Outbox)
	Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox)
	Reply(now time.Duration, reply system.Reply, out *system.Outbox)
	NextWake() time.Duration
}

// event is a message, a reply of the platform or a timer on its way to a host.
type event struct {
	at    time.Duration
	order int
	host  ident.Host
	// boot is the incarnation that the event belongs to.
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

// machine is a host of the fleet.
type machine struct {
	process
	boot uint64
	// frozen hosts handle nothing; what comes waits for them.
	frozen  bool
	waiting []*event
	// timed says that a timer is under way, for wakeAt.
	timed  bool
	wakeAt time.Duration
	// spins counts the timers in a row that came at the same instant.
	spins int

	sentMessages, sentBytes uint64
}

// fleet passes messages between processes on a virtual clock.
type fleet struct {
	now      time.Duration
	rand     *rand.Rand
	events   eventHeap
	order    int
	machines map[ident.Host]*machine
	// cut says whether messages from one host to another are lost.
	cut func(from, to ident.Host) bool
	// platform answers calls; nil: none are expected.
	platform func(host ident.Host, call system.Call) *system.Reply
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		rand:     rand.New(rand.NewPCG(seed, seed)),
		machines: map[ident.Host]*machine{},
		cut:      func(ident.Host, ident.Host) bool { return false },
	}
}

// hostName returns the name of the nth host.
func hostName(n int) ident.Host {
	return ident.Host(fmt.Sprintf("entry-%03d", n))
}

// boot starts a process on a host; an earlier one is gone without a word.
func (f *fleet) boot(host ident.Host, p process) {
	next := &machine{process: p, boot: 1}
	if old := f.machines[host]; old != nil {
		next.boot = old.boot + 1
		next.sentMessages, next.sentBytes = old.sentMessages, old.sentBytes
	}
	f.machines[host] = next
	if p != nil {
		f.schedule(host)
	}
}

// kill ends the process of a host.
func (f *fleet) kill(host ident.Host) {
	f.boot(host, nil)
}

// push adds an event.
func (f *fleet) push(e *event) {
	f.order++
	e.order = f.order
	e.boot = f.machines[e.host].boot
	heap.Push(&f.events, e)
}

// schedule adds a timer for the host's next wake-up.
func (f *fleet) schedule(host ident.Host) {
	m := f.machines[host]
	wake := max(m.NextWake(), f.now)
	if m.timed && m.wakeAt <= wake {
		return
	}
	m.timed, m.wakeAt = true, wake
	f.push(&event{at: wake, host: host})
}

// freeze stops a host; thaw lets it go on with all that came meanwhile.
func (f *fleet) freeze(host ident.Host) { f.machines[host].frozen = true }

func (f *fleet) thaw(host ident.Host) {
	m := f.machines[host]
	m.frozen = false
	waiting := m.waiting
	m.waiting = nil
	for _, e := range waiting {
		f.handle(m, e)
	}
}

// run handles events up to a time.
func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		m := f.machines[e.host]
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

// handle gives an event to its host and carries out the effects.
func (f *fleet) handle(m *machine, e *event) {
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

// tick runs a timer, and fails a process that asks for the same instant again
// and again.
func (f *fleet) tick(host ident.Host, m *machine, out *system.Outbox) {
	if m.spins++; f.now > m.wakeAt {
		m.spins = 0
	}
	if m.spins > 1000 {
		panic(fmt.Sprintf("%s wakes again and again at %v", host, f.now))
	}
	m.timed = false
	m.Tick(f.now, out)
	if m.NextWake() > f.now {
		m.spins = 0
	}
}

// step runs something on a host, as an event from outside would.
func (f *fleet) step(host ident.Host, do func(out *system.Outbox)) {
	var out system.Outbox
	do(&out)
	f.emit(host, &out)
	f.schedule(host)
}

// emit carries out the effects of a step of a host.
func (f *fleet) emit(host ident.Host, out *system.Outbox) {
	m := f.machines[host]
	for _, send := range out.Sends {
		env := proto.Clone(send.Message).(*peerpb.Envelope)
		if send.To != host {
			m.sentMessages++
			m.sentBytes += uint64(proto.Size(env) + frameBytes)
		}
		env.From = string(host)
		env.Incarnation = m.boot
		if f.machines[send.To] == nil || send.To != host && f.cut(host, send.To) {
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

// sent returns the messages and bytes that all hosts have sent.
func (f *fleet) sent() (messages, bytes uint64) {
	for _, m := range f.machines {
		messages += m.sentMessages
		bytes += m.sentBytes
	}
	return messages, bytes
}

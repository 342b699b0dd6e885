package custody

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// view is a fake View that a test changes.
type view struct {
	scheduler Scheduler
	has       bool
	// unresponsive lists the hosts that custody found unresponsive.
	unresponsive []ident.Host
	state        resource.EndpointState
}

func (v *view) Domains(string) []ident.Domain { return []ident.Domain{"a"} }

func (v *view) Scheduler(ident.Pool) (Scheduler, bool) { return v.scheduler, v.has }

func (v *view) Unresponsive(h ident.Host) { v.unresponsive = append(v.unresponsive, h) }

func (v *view) Endpoint(name ident.Endpoint) (resource.Endpoint, bool) {
	return resource.Endpoint{Name: name, Address: "127.0.0.1:1", State: v.state}, true
}

// schedulers are the processes that may send grants.
var schedulers = []Scheduler{{"one", 1}, {"one", 2}, {"two", 1}}

// ids are the requests of one run.
var ids = []ident.Request{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"}

// outcomes records the directives that custody issued for each request.
type outcomes struct {
	dispatched map[ident.Request]int
	refused    map[ident.Request]int
	// expires holds when each grant expires, latest the last grant of each request.
	expires map[ident.Attempt]time.Duration
	latest  map[ident.Request]ident.Attempt
	// connected is the attempt whose connection was just reported, or 0.
	connected ident.Attempt
}

// record takes the directives of a step and fails the test if one violates an invariant.
func (o *outcomes) record(rt *rapid.T, s *System, v *view, now time.Duration) {
	for _, d := range s.Take() {
		switch {
		case d.Kind == Commit && d.Proceed:
			o.dispatched[d.ID]++
			if v.state != resource.EndpointActive {
				rt.Fatalf("%s dispatched to a draining endpoint", d.ID)
			}
			if d.Attempt != o.connected || now >= o.expires[d.Attempt] {
				rt.Fatalf("%s dispatched at %s on a connection for grant %d, which expires at %s",
					d.ID, now, o.connected, o.expires[d.Attempt])
			}
		case d.Kind == Refuse:
			o.refused[d.ID]++
		}
		if o.dispatched[d.ID] > 1 || o.refused[d.ID] > 1 || o.dispatched[d.ID]+o.refused[d.ID] > 1 {
			rt.Fatalf("%s dispatched %d times and refused %d times",
				d.ID, o.dispatched[d.ID], o.refused[d.ID])
		}
	}
}

// grantLife is the validity of the grants of a run.
const grantLife = 1500 * time.Millisecond

// eventMix lists the events to draw from, repeated by frequency: 0 a tick, 1 a grant,
// 2 a connection, 3 a failed connection, 4 a claim, 5 a key lookup, 6 a refusal, 7 a new
// scheduler, 8 a change of the endpoint's state, 9 the caller's disconnect, 10 a pause
// of the process.
var eventMix = []int{0, 0, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 3, 4, 4, 4, 5, 6, 7, 8, 8, 9, 10}

// TestRequestIsDispatchedAtMostOnce draws valid and stray events in any order and checks
// that no request is dispatched twice, dispatched and refused, dispatched on an expired
// grant or dispatched to a draining endpoint.
func TestRequestIsDispatchedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := &view{scheduler: schedulers[0], has: true, state: resource.EndpointActive}
		s := New(Config{Self: "self", View: v})
		b := &outcomes{
			dispatched: map[ident.Request]int{}, refused: map[ident.Request]int{},
			expires: map[ident.Attempt]time.Duration{}, latest: map[ident.Request]ident.Attempt{},
		}
		var now time.Duration
		var out system.Outbox
		for i, id := range ids {
			s.Arrive(now, Arrival{ID: id, Target: "m", Key: "k", Idempotent: i > 2, Deadline: time.Minute}, &out)
		}
		for _, id := range ids {
			s.KeyChecked(now, id, nil, &out)
		}
		for range 150 {
			id := rapid.SampledFrom(ids).Draw(rt, "id")
			attempt := b.latest[id]
			if rapid.IntRange(0, 5).Draw(rt, "old") == 0 {
				attempt = ident.Attempt(rapid.IntRange(0, len(b.expires)).Draw(rt, "attempt"))
			}
			b.connected = 0
			from := v.scheduler
			if rapid.IntRange(0, 5).Draw(rt, "stray") == 0 {
				from = rapid.SampledFrom(schedulers).Draw(rt, "from")
			}
			switch rapid.SampledFrom(eventMix).Draw(rt, "event") {
			case 0:
				now += time.Duration(rapid.IntRange(1, 1000).Draw(rt, "pass")) * time.Millisecond
				s.Tick(now, &out)
			case 1:
				attempt = ident.Attempt(len(b.expires) + 1)
				b.latest[id] = attempt
				b.expires[attempt] = now + grantLife
				s.Granted(now, from, &peerpb.Grant{
					Request: string(id), Target: "m", Domain: "a", Endpoint: "e", Attempt: uint64(attempt),
					Epoch: 1, ExpiresAtUs: (now + grantLife).Microseconds(),
				}, &out)
			case 2:
				b.connected = attempt
				s.Connected(now, id, attempt, &out)
			case 3:
				s.Unreachable(now, id, attempt, &out)
			case 4:
				s.Claimed(now, id, drawError(rt), &out)
			case 5:
				s.KeyChecked(now, id, drawError(rt), &out)
			case 6:
				s.Refused(from, &peerpb.Refuse{Request: string(id), Code: int32(result.ShedTier)})
			case 7:
				v.scheduler = from
				s.TakeOver(now, from, &peerpb.TakeOver{Target: "m", Domain: "a"}, nil, &out)
			case 8:
				v.state = rapid.SampledFrom([]resource.EndpointState{
					resource.EndpointActive, resource.EndpointDrain,
				}).Draw(rt, "state")
			case 9:
				s.CallerGone(now, id, &out)
			case 10:
				now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause")) * time.Millisecond
			}
			b.record(rt, s, v, now)
		}
	})
}

// drawError draws the error of a lookup or claim: mostly none.
func drawError(rt *rapid.T) *result.Error {
	if rapid.IntRange(0, 9).Draw(rt, "verdict") > 0 {
		return nil
	}
	return result.New(result.PlatformDown, "drawn")
}

// TestLostSubmissionIsSentAgain checks that a request is submitted again when its submission or
// its scheduler is lost, and that a late refusal of the old scheduler is ignored.
func TestLostSubmissionIsSentAgain(t *testing.T) {
	v := &view{scheduler: schedulers[0], has: true, state: resource.EndpointActive}
	s := New(Config{Self: "self", View: v})
	var out system.Outbox
	s.Arrive(0, Arrival{ID: "r", Target: "m", Idempotent: true, Deadline: time.Minute}, &out)
	steps := []struct {
		name   string
		change func()
		at     time.Duration
		to     []ident.Host
	}{
		{"nothing yet", func() {}, 100 * time.Millisecond, nil},
		{"no answer", func() {}, acceptTimeout, []ident.Host{"one"}},
		{"accepted", func() { s.Accepted(schedulers[0], &peerpb.Accept{Request: "r"}) }, time.Second, nil},
		{"told again", func() {}, acceptTimeout + refreshInterval, []ident.Host{"one"}},
		{"restarted", func() { v.scheduler = schedulers[1] }, 3 * time.Second, []ident.Host{"one"}},
		{"moved", func() { v.scheduler = schedulers[2] }, 4 * time.Second, []ident.Host{"one", "two"}},
	}
	for _, step := range steps {
		out = system.Outbox{}
		step.change()
		s.Tick(step.at, &out)
		var to []ident.Host
		for _, send := range out.Sends {
			if send.Message.GetHoldings() == nil {
				to = append(to, send.To)
			}
		}
		if len(to) != len(step.to) || (len(to) > 0 && to[len(to)-1] != step.to[len(to)-1]) {
			t.Errorf("%s: sent to %v, want %v", step.name, to, step.to)
		}
	}
	s.Refused(schedulers[0], &peerpb.Refuse{Request: "r", Code: int32(result.ShedTier)})
	if waiting, _ := s.Counts(); waiting != 1 {
		t.Errorf("the old scheduler's refusal counted")
	}
}

// TestTakeOverByUnknownSchedulerGetsNoWaitingRequests checks that a host that takes a pool
// over, but isn't its scheduler in this host's view, is told only the running requests.
func TestTakeOverByUnknownSchedulerGetsNoWaitingRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		known   Scheduler
		waiting int
	}{
		{"another host schedules", schedulers[0], 0},
		{"the asking host does", schedulers[2], 1},
	} {
		v := &view{scheduler: schedulers[0], has: true, state: resource.EndpointActive}
		s := New(Config{Self: "self", View: v})
		var out system.Outbox
		s.Arrive(0, Arrival{ID: "r", Target: "m", Idempotent: true, Deadline: time.Minute}, &out)
		v.scheduler = c.known
		out = system.Outbox{}
		s.TakeOver(time.Second, schedulers[2], &peerpb.TakeOver{Target: "m", Domain: "a"}, nil, &out)
		if len(out.Sends) != 1 || out.Sends[0].To != "two" {
			t.Fatalf("%s: answered %v", c.name, out.Sends)
		}
		if got := len(out.Sends[0].Message.GetHoldings().GetWaiting()); got != c.waiting {
			t.Errorf("%s: handed over %d waiting requests, want %d", c.name, got, c.waiting)
		}
		s.Refused(schedulers[0], &peerpb.Refuse{Request: "r", Code: int32(result.ShedTier)})
		if waiting, _ := s.Counts(); waiting != c.waiting {
			t.Errorf("%s: the first scheduler's refusal left %d waiting, want %d", c.name, waiting, c.waiting)
		}
	}
}

// TestGrantOfAnOlderEpochIsDeclined checks that a superseded scheduler, where a request
// still waits, can't dispatch it after a grant of the next scheduler was used.
func TestGrantOfAnOlderEpochIsDeclined(t *testing.T) {
	v := &view{scheduler: schedulers[0], has: true, state: resource.EndpointActive}
	s := New(Config{Self: "self", View: v})
	var out system.Outbox
	grant := func(id ident.Request, from Scheduler, epoch uint64) []Directive {
		s.Granted(0, from, &peerpb.Grant{
			Request: string(id), Target: "m", Domain: "a", Endpoint: "e", Attempt: epoch, Epoch: epoch,
			ExpiresAtUs: grantLife.Microseconds(),
		}, &out)
		return s.Take()
	}
	arrive := func(id ident.Request) {
		s.Arrive(0, Arrival{ID: id, Target: "m", Idempotent: true, Deadline: time.Minute}, &out)
	}
	arrive("waits")
	v.scheduler = schedulers[2]
	arrive("goes")
	if got := grant("goes", schedulers[2], 2); len(got) != 1 || got[0].Kind != Connect {
		t.Fatalf("the newer grant led to %v", got)
	}
	if got := grant("waits", schedulers[0], 1); len(got) != 0 {
		t.Errorf("a grant of an older epoch led to %v", got)
	}
	if got := grant("waits", schedulers[0], 3); len(got) != 1 || got[0].Kind != Connect {
		t.Errorf("a grant of a newer epoch led to %v", got)
	}
}

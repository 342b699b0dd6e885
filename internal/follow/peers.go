package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

// Most hosts learn what the store holds from the few that read it. They ask, rather
// than being told, since only the asker's own clock bounds how old an answer is that
// was under way while this host or the link stood still.

const (
	// askInterval is the time between two questions to a reader. With the readers'
	// own rhythm it bounds how late a change is known.
	askInterval = 400 * time.Millisecond
	// freshAge is the age of what is known up to which the readers are enough: above,
	// this host reads the store by itself. It is a reader's interval and two of this
	// host's, less than an endpoint that leaves may go unnoticed.
	freshAge = 1300 * time.Millisecond
	// answerTimeout is how long a reader has to answer before another is asked.
	answerTimeout = 300 * time.Millisecond
)

// ask is a question under way.
type ask struct {
	seq uint64
	to  ident.Host
	at  time.Duration
	// reader says that it was asked as one of the readers.
	reader bool
}

// FollowReaders asks the readers of the store until ctx ends, unless this host is one.
func (f *Follower) FollowReaders(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, askInterval)
		readers := f.opts.Readers()
		// A host that knows of no readers yet reads when what it knows has grown old.
		f.reading.Store(slices.Contains(readers, f.opts.Self))
		if f.needsStore() {
			f.wake()
		}
		if f.reading.Load() && f.fresh() {
			continue
		}
		if to, ok := f.chooseReader(readers); ok {
			f.askReader(to, slices.Contains(readers, to))
		}
	}
}

// readerEvery is how often a host that others help asks a reader all the same, in
// questions: the readers are the ones that are to be asked.
const readerEvery = 3

// chooseReader returns the host to ask: a reader, or another after one that left the
// last question unanswered. Hosts begin with unlike readers. When no reader has a fresh
// answer, because the store turns them away or they are cut off, another host may have:
// those that the store serves read it by themselves.
func (f *Follower) chooseReader(readers []ident.Host) (ident.Host, bool) {
	others := f.without(readers)
	f.askMu.Lock()
	defer f.askMu.Unlock()
	if f.asked.seq != 0 && clock.Boot()-f.asked.at >= answerTimeout {
		f.missed(f.asked.to)
	}
	beyond := f.misses - len(others)
	if len(others) > 0 && (beyond < 0 || beyond%readerEvery == readerEvery-1) {
		return others[f.turn%len(others)], true
	}
	if f.helper != "" {
		return f.helper, true
	}
	hosts := f.without(f.opts.Hosts())
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[rand.IntN(len(hosts))], true
}

// without returns a list of hosts without this one.
func (f *Follower) without(hosts []ident.Host) []ident.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h ident.Host) bool { return h == f.opts.Self })
}

// missed notes that a host had no fresh answer: the next question goes to another. The
// caller holds askMu.
func (f *Follower) missed(host ident.Host) {
	f.turn++
	f.misses++
	if host == f.helper {
		f.helper = ""
	}
}

// helped notes that a host had a fresh answer. The caller holds askMu.
func (f *Follower) helped(host ident.Host, reader bool) {
	if reader {
		f.misses, f.helper = 0, ""
		return
	}
	f.misses++
	f.helper = host
}

// askReader sends a question.
func (f *Follower) askReader(to ident.Host, reader bool) {
	f.state.mu.Lock()
	m := &peerpb.StoreAsk{Endpoints: f.state.sum}
	if f.state.rules != nil {
		m.Version = f.state.rules.Version
	}
	f.state.mu.Unlock()
	f.askMu.Lock()
	f.seq++
	m.Seq = f.seq
	f.asked = ask{seq: f.seq, to: to, at: clock.Boot(), reader: reader}
	f.askMu.Unlock()
	f.opts.Send(to, peerpb.Wrap(&peerpb.Envelope_StoreAsk{StoreAsk: m}))
}

// Receive takes a question or an answer of another host.
func (f *Follower) Receive(m *peerpb.Envelope) {
	from := ident.Host(m.GetFrom())
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_StoreAsk:
		f.opts.Send(from, peerpb.Wrap(&peerpb.Envelope_StoreTell{StoreTell: f.tell(body.StoreAsk)}))
	case *peerpb.Envelope_StoreTell:
		f.told(from, body.StoreTell)
	}
}

// tell answers a question with what is known here.
func (f *Follower) tell(q *peerpb.StoreAsk) *peerpb.StoreTell {
	rules, endpoints := f.state.ages(clock.Boot())
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	m := &peerpb.StoreTell{
		Seq: q.GetSeq(), VersionAgeUs: rules.Microseconds(), EndpointsAgeUs: endpoints.Microseconds(),
		Endpoints: f.state.sum,
	}
	if rules == never {
		m.VersionAgeUs = -1
	}
	if endpoints == never {
		m.EndpointsAgeUs = -1
	}
	if f.state.rules != nil {
		m.Version = f.state.rules.Version
		if q.GetVersion() < m.Version {
			m.Configuration = f.state.rules.Raw
		}
	}
	if endpoints != never && q.GetEndpoints() != f.state.sum {
		m.HasList = true
		for _, e := range f.state.endpoints {
			m.List = append(m.List, &peerpb.StoreEndpoint{
				Name: string(e.Name), Target: e.Target, Address: e.Address, Domain: string(e.Domain),
				Slots: uint32(e.Slots), Leaving: e.Leaving, Started: e.Started,
			})
		}
	}
	return m
}

// told takes an answer. What it says held when the question was sent, less the age
// that it names.
func (f *Follower) told(from ident.Host, m *peerpb.StoreTell) {
	f.askMu.Lock()
	asked := f.asked
	if asked.seq != m.GetSeq() || asked.to != from {
		f.askMu.Unlock()
		return
	}
	f.asked = ask{}
	if isFresh(m.GetVersionAgeUs()) && isFresh(m.GetEndpointsAgeUs()) {
		f.helped(from, asked.reader)
	} else {
		// It has been cut off, or knows nothing for sure.
		f.missed(from)
	}
	f.askMu.Unlock()
	if m.GetVersionAgeUs() >= 0 {
		f.toldRules(from, m, asked.at-micros(m.GetVersionAgeUs()))
	}
	if m.GetEndpointsAgeUs() < 0 {
		return
	}
	at := asked.at - micros(m.GetEndpointsAgeUs())
	if !m.GetHasList() {
		f.state.confirmEndpoints(m.GetEndpoints(), at)
		return
	}
	if list := endpointsOf(m.GetList()); f.state.adoptEndpoints(list, at) {
		f.opts.OnEndpoints(list)
	}
}

// isFresh reports whether an age in an answer, in microseconds, is young enough to go on
// with; it is negative for what was never known.
func isFresh(us int64) bool {
	return us >= 0 && micros(us) < freshAge
}

// toldRules takes what an answer says of the configuration.
func (f *Follower) toldRules(from ident.Host, m *peerpb.StoreTell, at time.Duration) {
	if len(m.GetConfiguration()) == 0 {
		f.state.confirm(m.GetVersion(), at)
		return
	}
	r, err := platform.DecodeConfiguration(m.GetConfiguration())
	if err != nil {
		logs.With(f.opts.Log, logs.ConfigurationRejected).WithField("from", from).WithError(err).Error()
		return
	}
	if f.state.adoptRules(r, at) {
		f.opts.OnRuleset(r, string(from))
	}
}

// endpointsOf returns the endpoints of an answer.
func endpointsOf(list []*peerpb.StoreEndpoint) []platform.Endpoint {
	out := make([]platform.Endpoint, 0, len(list))
	for _, e := range list {
		out = append(out, platform.Endpoint{
			Name: ident.Endpoint(e.GetName()), Target: e.GetTarget(), Address: e.GetAddress(),
			Domain: ident.Domain(e.GetDomain()), Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), Started: e.GetStarted(),
		})
	}
	return out
}

// micros turns a count of microseconds into a duration.
func micros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}

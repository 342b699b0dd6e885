package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/bound"
	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

// Most hosts learn the store's contents from the few that read it. They query the readers
// instead of having updates pushed to them, because only the querying host's own clock bounds
// the age of an answer that was delayed while this host or the link was stalled.

const (
	// queryInterval is the time between two queries to readers. Together with the readers'
	// own interval it bounds the delay of a change.
	queryInterval = 400 * time.Millisecond
	// startQueryInterval is the same until the first answer.
	startQueryInterval = 100 * time.Millisecond
	// freshAge is the age up to which the host's copy counts as fresh. Above it, this host
	// reads the store itself. It is one interval of a reader plus two of this host, and less
	// than the time for which an endpoint that leaves may go unnoticed.
	freshAge = 1300 * time.Millisecond
	// answerTimeout is how long a host has to answer before another one is queried.
	answerTimeout = 300 * time.Millisecond
)

// query is an outstanding query.
type query struct {
	seq uint64
	to  ident.Host
	at  time.Duration
	// reader is set if the queried host is one of the readers.
	reader bool
}

// FollowReaders queries the readers of the store until ctx ends, unless this host is a reader.
func (f *Follower) FollowReaders(ctx context.Context) {
	f.awaitStart(ctx)
	started := clock.Boot()
	for ctx.Err() == nil {
		interval := queryInterval
		_, endpoints := f.EndpointsAge()
		if _, rules := f.ConfigurationAge(); !endpoints || !rules && clock.Boot()-started < firstReadGrace {
			interval = startQueryInterval
		}
		sleep(ctx, interval)
		readers := f.opts.Readers()
		// A host that knows no readers yet reads the store once its copy is too old.
		f.reading.Store(slices.Contains(readers, f.opts.Self))
		if f.needsStore() {
			f.wake()
		}
		if f.reading.Load() && f.fresh() {
			continue
		}
		if to, ok := f.choosePeer(readers); ok {
			f.sendQuery(to, slices.Contains(readers, to))
		}
	}
}

// readerEvery is how often, counted in queries, a host that is served by a helper queries a
// reader nevertheless, so that it returns to the readers once they have fresh data again.
const readerEvery = 3

// choosePeer returns the host to query: a reader, and another reader if the last query was not
// answered. Hosts start with different readers. If no reader has a fresh answer, because the
// store rejects the readers or they are cut off, another host may have one: hosts that can
// reach the store then read it themselves.
func (f *Follower) choosePeer(readers []ident.Host) (ident.Host, bool) {
	others := f.withoutSelf(readers)
	f.queryMu.Lock()
	defer f.queryMu.Unlock()
	if f.outstanding.seq != 0 && clock.Boot()-f.outstanding.at >= answerTimeout {
		f.recordMiss(f.outstanding.to)
	}
	beyond := f.misses - len(others)
	if len(others) > 0 && (beyond < 0 || beyond%readerEvery == readerEvery-1) {
		return others[f.nextReader%len(others)], true
	}
	if f.helper != "" {
		return f.helper, true
	}
	return f.nextHelper(readers)
}

// nextHelper returns a host that is not a reader, in an order that differs between hosts. Each is
// returned once before any is returned again. If there are only readers, it returns one of them.
// The caller must hold queryMu.
func (f *Follower) nextHelper(readers []ident.Host) (ident.Host, bool) {
	all := f.withoutSelf(f.opts.Hosts())
	hosts := slices.DeleteFunc(slices.Clone(all), func(h ident.Host) bool { return slices.Contains(readers, h) })
	if len(hosts) == 0 {
		hosts = all
	}
	for len(hosts) > 0 {
		if len(f.untried) == 0 {
			f.untried = slices.Clone(hosts)
			rand.Shuffle(len(f.untried), func(i, j int) { f.untried[i], f.untried[j] = f.untried[j], f.untried[i] })
		}
		next := f.untried[0]
		f.untried = f.untried[1:]
		if slices.Contains(hosts, next) {
			return next, true
		}
	}
	return "", false
}

// withoutSelf returns a list of hosts without this one.
func (f *Follower) withoutSelf(hosts []ident.Host) []ident.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h ident.Host) bool { return h == f.opts.Self })
}

// recordMiss records that a host had no fresh answer, so that the next query goes to another.
// The caller must hold queryMu.
func (f *Follower) recordMiss(host ident.Host) {
	f.nextReader++
	f.misses++
	if host == f.helper {
		f.helper = ""
	}
}

// recordAnswer records that a host had a fresh answer. The caller must hold queryMu.
func (f *Follower) recordAnswer(host ident.Host, reader bool) {
	if reader {
		f.misses, f.helper = 0, ""
		return
	}
	f.misses++
	f.helper = host
}

// sendQuery sends a query to a host.
func (f *Follower) sendQuery(to ident.Host, reader bool) {
	f.state.mu.Lock()
	m := &peerpb.StoreAsk{Endpoints: f.state.sum, Delta: true}
	if f.state.wantsAll {
		m.Endpoints, f.state.wantsAll = 0, false
	}
	if f.state.ruleset != nil {
		m.Version = f.state.ruleset.Version
	}
	f.state.mu.Unlock()
	f.queryMu.Lock()
	f.seq++
	m.Seq = f.seq
	f.outstanding = query{seq: f.seq, to: to, at: clock.Boot(), reader: reader}
	f.queryMu.Unlock()
	f.opts.Send(to, peerpb.Wrap(&peerpb.Envelope_StoreAsk{StoreAsk: m}))
}

// Receive handles a query or an answer from another host.
func (f *Follower) Receive(m *peerpb.Envelope) {
	from := ident.Host(m.GetFrom())
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_StoreAsk:
		f.opts.Send(from, peerpb.Wrap(&peerpb.Envelope_StoreTell{StoreTell: f.answer(body.StoreAsk)}))
	case *peerpb.Envelope_StoreTell:
		f.handleAnswer(from, body.StoreTell)
	}
}

// answer answers a query from this host's copy.
func (f *Follower) answer(q *peerpb.StoreAsk) *peerpb.StoreTell {
	rules, endpoints := f.state.ages(clock.Boot())
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	m := &peerpb.StoreTell{
		Seq: q.GetSeq(), VersionAgeUs: rules.Microseconds(), EndpointsAgeUs: endpoints.Microseconds(),
		Endpoints: f.state.sum, RunningUs: (clock.Boot() - f.startTime).Microseconds(),
	}
	if rules == never {
		m.VersionAgeUs = -1
	}
	if endpoints == never {
		m.EndpointsAgeUs = -1
	}
	if f.state.ruleset != nil {
		m.Version = f.state.ruleset.Version
		if q.GetVersion() < m.Version {
			m.Configuration = f.state.ruleset.Raw
		}
	}
	if era := f.state.era; era.Named {
		m.StoreEra = &era.Number
	}
	f.addOrders(m)
	if q.GetConfigurationOnly() {
		m.EndpointsAgeUs, m.Endpoints = -1, 0
	} else if endpoints != never && q.GetEndpoints() != f.state.sum {
		m.HasList = true
		for _, e := range f.state.endpoints {
			m.List = append(m.List, &peerpb.StoreEndpoint{
				Name: string(e.Name), Target: e.Target, Address: e.Address, Domain: string(e.Domain),
				Slots: uint32(e.Slots), Leaving: e.Leaving, Started: e.Started, Version: e.Version,
			})
		}
	}
	f.shorten(q, m)
	return m
}

// handleAnswer applies an answer. Its contents were correct when the query was sent, minus the
// age that the answer states.
func (f *Follower) handleAnswer(from ident.Host, m *peerpb.StoreTell) {
	if f.handleCensus(from, m) {
		return
	}
	f.queryMu.Lock()
	asked := f.outstanding
	if asked.seq != m.GetSeq() || asked.to != from {
		f.queryMu.Unlock()
		return
	}
	f.outstanding = query{}
	if isFresh(m.GetVersionAgeUs()) && isFresh(m.GetEndpointsAgeUs()) {
		f.recordAnswer(from, asked.reader)
	} else {
		// The host was cut off, or its own data is uncertain.
		f.recordMiss(from)
	}
	f.queryMu.Unlock()
	f.handleEra(m)
	if m.GetVersionAgeUs() < 0 {
		f.unknowing.Store(int64(clock.Boot()))
	} else {
		f.unknowing.Store(0)
		at := asked.at - micros(m.GetVersionAgeUs())
		f.handleOrders(m, at)
		f.handleConfiguration(from, m, at)
	}
	if m.GetEndpointsAgeUs() < 0 {
		return
	}
	at := asked.at - micros(m.GetEndpointsAgeUs())
	if !m.GetHasList() {
		f.state.confirmEndpoints(m.GetEndpoints(), at)
		return
	}
	if list, ok := f.endpointsOf(m); ok {
		f.adoptEndpoints(list, at)
	}
}

// handleEra takes the era of the store that an answer tells to a host that doesn't read the store.
func (f *Follower) handleEra(m *peerpb.StoreTell) {
	if m.StoreEra == nil || f.reading.Load() || !isFresh(m.GetVersionAgeUs()) {
		return
	}
	era := platform.NewEra(m.GetStoreEra())
	if f.state.tellEra(era) && f.opts.OnEra != nil {
		f.opts.OnEra(era)
	}
}

// isFresh reports whether an age from an answer, in microseconds, is low enough. The age is
// negative for data that was never known.
func isFresh(us int64) bool {
	return us >= 0 && micros(us) < freshAge
}

// handleConfiguration applies the configuration part of an answer.
func (f *Follower) handleConfiguration(from ident.Host, m *peerpb.StoreTell, at time.Duration) {
	if err := decompress(m); err != nil {
		logs.With(f.opts.Log, logs.ConfigurationRejected).WithField("from", from).WithError(err).Error()
		return
	}
	if len(m.GetConfiguration()) == 0 {
		f.state.confirm(m.GetVersion(), at)
		return
	}
	r, err := platform.DecodeConfiguration(m.GetConfiguration())
	if err != nil {
		logs.With(f.opts.Log, logs.ConfigurationRejected).WithField("from", from).WithError(err).Error()
		return
	}
	f.adoptRuleset(r, at, string(from))
}

// decodeEndpoints returns the endpoints of an answer.
func decodeEndpoints(list []*peerpb.StoreEndpoint) []platform.Endpoint {
	out := make([]platform.Endpoint, 0, len(list))
	for _, e := range list {
		out = append(out, platform.Endpoint{
			Name: ident.Endpoint(e.GetName()), Target: e.GetTarget(), Address: e.GetAddress(),
			Domain: ident.Domain(e.GetDomain()), Slots: bound.Count(e.GetSlots(), bound.MaxCount), Leaving: e.GetLeaving(), Started: e.GetStarted(),
			Version: e.GetVersion(),
		})
	}
	return out
}

// micros converts microseconds to a duration.
func micros(us int64) time.Duration {
	return bound.Micros(us)
}

// Package metrics counts what a host does by OpenTelemetry and serves it for
// scraping. docs/METRICS.md lists the names.
package metrics

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// scope names the instrumentation scope.
const scope = "github.com/trefoilchute/trefoilchute"

// Bounds of histogram buckets in seconds.
var (
	requestBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 1, 2, 5, 10, 30, 60, 300}
	gapBounds     = []float64{0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.08, 0.12, 0.25, 0.5, 1, 5}
	callBounds    = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5}
)

// Status is what a host is like at the moment of a scrape.
type Status struct {
	// Revision is the revision in force; 0 while there is none.
	Revision uint64
	// Members counts the entry hosts by state.
	Members map[string]int
	// Waiting counts the requests in the pools that this host schedules.
	Waiting map[ident.Tier]int
	// InFlight counts the requests at endpoints for callers of this host.
	InFlight int
	// RetriesLeft is the budget of further tries by target.
	RetriesLeft map[string]float64
	// RateShare is the part of each team's rate that this host holds.
	RateShare map[ident.Team]float64
	// Slots counts the slots of the pools that this host schedules, by the pool's name
	// and state, and Endpoints the endpoints by their target's.
	Slots, Endpoints map[NameState]int
	// Suspects counts the suspected requests and prompt parts, by kind and state.
	Suspects map[NameState]int
	// Load counts the endpoints of the pools that this host schedules, by the pool's name and
	// their load.
	Load map[NameState]int
	// Rollouts counts the orders to move to a version by target and state, and RolloutShare
	// holds the permitted share of each.
	Rollouts     map[NameState]int
	RolloutShare map[string]float64
	// Promises counts the refusals for lack of room and what became of the return times, by
	// the pool's name and state.
	Promises map[NameState]int
	// Age is the time since what is known was the newest, by what it is.
	Age map[string]time.Duration
	// StoreEra is the era that the platform's store has named; nil if none.
	StoreEra *uint64
	// Held is the number of bytes held for callers by kind, Budget the most that may be, and
	// Connections the number of callers' connections.
	Held        map[string]int64
	Budget      int64
	Connections int
	// Peer counts the messages to other hosts.
	Peer []PeerTraffic
	// Settings is the version of the settings in force; empty: none is known.
	Settings string
}

// PeerTraffic counts the messages of a kind to the hosts of the same failure domain, or of others.
type PeerTraffic struct {
	Kind, Domain    string
	Messages, Bytes int64
}

// NameState is what things that have a state are counted by.
type NameState struct{ Name, State string }

// Metrics holds a host's metrics. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	set      instruments
	// labels holds the prepared label sets, so that recording doesn't build one
	// each time.
	labels sync.Map
}

// New returns metrics that ask status at each scrape.
func New(status func() Status) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(
		exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m := &Metrics{registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(reader))}
	b := &builder{meter: m.provider.Meter(scope)}
	m.set = b.instruments()
	b.observe(status)
	return m, errors.Wrap(b.err, "metrics")
}

// Handler serves the metrics for scraping.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close releases the metrics.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "metrics")
}

// Answer is one request's final answer.
type Answer struct {
	Tier ident.Tier
	Code result.Code
	// InTime says that the whole answer came before the deadline.
	InTime bool
	// QueueWait is the time from arrival to dispatch; 0 if not dispatched.
	QueueWait time.Duration
	// FirstToken is the time from arrival to the first token; 0 if none came.
	FirstToken time.Duration
	// Total is the time from arrival to the end.
	Total time.Duration
	// Tries is the number of endpoints that it was sent to.
	Tries int
}

// Answered counts a final answer.
func (m *Metrics) Answered(a *Answer) {
	ctx := context.Background()
	byTier := m.by(labelTier, string(a.Tier))
	byCode := m.by(labelTier, string(a.Tier), labelCode, a.Code.String())
	m.set.requests.Add(ctx, 1, byCode)
	if a.Tries > 1 {
		m.set.retries.Add(ctx, int64(a.Tries-1), byTier)
	}
	if a.Code == result.OK {
		m.set.duration.Record(ctx, a.Total.Seconds(), byTier)
	}
	if a.Code == result.OK && a.InTime {
		m.set.goodput.Add(ctx, 1, byTier)
	}
	if info, ok := result.Lookup(a.Code); ok && info.Ran == result.RanNo {
		m.set.refusals.Add(ctx, 1, byCode)
	}
	if a.QueueWait > 0 {
		m.set.queueWait.Record(ctx, a.QueueWait.Seconds(), byTier)
	}
	if a.FirstToken > 0 {
		m.set.firstToken.Record(ctx, a.FirstToken.Seconds(), byTier)
	}
}

// TokenGap counts the time between two parts of an answer.
func (m *Metrics) TokenGap(tier ident.Tier, gap time.Duration) {
	m.set.tokenGap.Record(context.Background(), gap.Seconds(), m.by(labelTier, string(tier)))
}

// Reloaded counts a settings file that was read again, by what came of it.
func (m *Metrics) Reloaded(outcome string) {
	m.set.reloads.Add(context.Background(), 1, m.by(labelOutcome, outcome))
}

// Dropped counts an endpoint's answer that was not taken whole.
func (m *Metrics) Dropped(reason string) {
	m.set.dropped.Add(context.Background(), 1, m.by(labelReason, reason))
}

// CallerLimited counts a caller that was refused or closed to keep the host within its memory.
func (m *Metrics) CallerLimited(action string) {
	m.set.limited.Add(context.Background(), 1, m.by(labelAction, action))
}

// LeftDomain counts a request that was placed outside its custodian's failure domain, and its
// expected bytes.
func (m *Metrics) LeftDomain(pool string, bytes int) {
	m.set.left.Add(context.Background(), 1, m.by(labelPool, pool))
	m.set.leftBytes.Add(context.Background(), int64(bytes), m.by(labelPool, pool))
}

// EndpointClosed counts an endpoint that was closed for a while.
func (m *Metrics) EndpointClosed(reason string) {
	m.set.closings.Add(context.Background(), 1, m.by(labelReason, reason))
}

// EventDropped counts an event of the control loop whose handling panicked.
func (m *Metrics) EventDropped() {
	m.set.eventsDropped.Add(context.Background(), 1)
}

// Values of the label kind of the prefill counter.
const (
	prefillCached = "cached"
	prefillUseful = "useful"
	prefillWasted = "wasted"
)

// Tokens counts the tokens of a dispatched request that has ended: those of
// its prompt, the part of them that was cached, and those generated. The
// computed part of the prompt counts as wasted unless the answer was whole and
// in time.
func (m *Metrics) Tokens(tier ident.Tier, prompt, cached, output int, good bool) {
	ctx := context.Background()
	computed := prefillWasted
	if good {
		computed = prefillUseful
	}
	cached = min(cached, prompt)
	m.set.prefill.Add(ctx, int64(cached), m.by(labelTier, string(tier), labelKind, prefillCached))
	m.set.prefill.Add(ctx, int64(prompt-cached), m.by(labelTier, string(tier), labelKind, computed))
	m.set.output.Add(ctx, int64(output), m.by(labelTier, string(tier)))
}

// labelKey identifies a prepared label set of one or two labels.
type labelKey [4]string

// by returns the option for label pairs.
func (m *Metrics) by(pairs ...string) metric.MeasurementOption {
	var key labelKey
	copy(key[:], pairs)
	if option, ok := m.labels.Load(key); ok {
		return option.(metric.MeasurementOption)
	}
	var attributes []attribute.KeyValue
	for i := 0; i < len(pairs); i += 2 {
		attributes = append(attributes, attribute.String(pairs[i], pairs[i+1]))
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes...))
	m.labels.Store(key, option)
	return option
}

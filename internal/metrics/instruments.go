package metrics

import (
	"context"
	"maps"
	"math"
	"slices"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments holds the metrics that are recorded as things happen.
type instruments struct {
	requests, goodput, refusals      metric.Int64Counter
	prefill, output, platformCalls   metric.Int64Counter
	retries, reloads, dropped        metric.Int64Counter
	closings, limited, eventsDropped metric.Int64Counter
	left, leftBytes                  metric.Int64Counter
	duration, queueWait, firstToken  metric.Float64Histogram
	tokenGap, platformTime           metric.Float64Histogram
}

// builder makes instruments from Table and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) note(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name string) metric.Int64Counter {
	info := lookup(name)
	c, err := b.meter.Int64Counter(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning))
	b.note(err)
	return c
}

func (b *builder) observedCounter(name string) metric.Int64ObservableCounter {
	info := lookup(name)
	c, err := b.meter.Int64ObservableCounter(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning))
	b.note(err)
	return c
}

func (b *builder) histogram(name string, bounds []float64) metric.Float64Histogram {
	info := lookup(name)
	h, err := b.meter.Float64Histogram(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning),
		metric.WithExplicitBucketBoundaries(bounds...))
	b.note(err)
	return h
}

func (b *builder) gauge(name string) metric.Int64ObservableGauge {
	info := lookup(name)
	g, err := b.meter.Int64ObservableGauge(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning))
	b.note(err)
	return g
}

func (b *builder) observableCounter(name string) metric.Int64ObservableCounter {
	info := lookup(name)
	c, err := b.meter.Int64ObservableCounter(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning))
	b.note(err)
	return c
}

func (b *builder) floatGauge(name string) metric.Float64ObservableGauge {
	info := lookup(name)
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(info.Unit), metric.WithDescription(info.Meaning))
	b.note(err)
	return g
}

// instruments makes the metrics that are recorded as things happen.
func (b *builder) instruments() instruments {
	return instruments{
		requests:      b.counter(nameRequests),
		goodput:       b.counter(nameGoodput),
		refusals:      b.counter(nameRefusals),
		prefill:       b.counter(namePrefill),
		output:        b.counter(nameOutput),
		platformCalls: b.counter(namePlatformCalls),
		retries:       b.counter(nameRetries),
		reloads:       b.counter(nameReloads),
		dropped:       b.counter(nameDropped),
		closings:      b.counter(nameClosings),
		eventsDropped: b.counter(nameEventsDropped),
		left:          b.counter(nameLeft),
		leftBytes:     b.counter(nameLeftBytes),
		limited:       b.counter(nameLimited),
		duration:      b.histogram(nameDuration, requestBounds),
		queueWait:     b.histogram(nameQueueWait, requestBounds),
		firstToken:    b.histogram(nameFirstToken, requestBounds),
		tokenGap:      b.histogram(nameTokenGap, gapBounds),
		platformTime:  b.histogram(namePlatformTime, callBounds),
	}
}

// observe makes the gauges, which ask status at each scrape.
func (b *builder) observe(status func() Status) {
	revision := b.gauge(nameRevision)
	members := b.gauge(nameMembers)
	waiting := b.gauge(nameWaiting)
	inFlight := b.gauge(nameInFlight)
	slots := b.gauge(nameSlots)
	endpoints := b.gauge(nameEndpoints)
	suspects := b.gauge(nameSuspects)
	load := b.gauge(nameLoad)
	rollouts := b.gauge(nameRolloutState)
	rolloutShare := b.floatGauge(nameRolloutShare)
	promises := b.observableCounter(namePromises)
	left := b.floatGauge(nameRetriesLeft)
	share := b.floatGauge(nameRateShare)
	age := b.floatGauge(nameAge)
	settings := b.gauge(nameSettings)
	era := b.gauge(nameStoreEra)
	held, budget, connections := b.gauge(nameHeld), b.gauge(nameBudget), b.gauge(nameConnections)
	peerMessages, peerBytes := b.observedCounter(namePeerMessages), b.observedCounter(namePeerBytes)
	if b.err != nil {
		return
	}
	_, err := b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := status()
		o.ObserveInt64(revision, int64(s.Revision))
		o.ObserveInt64(inFlight, int64(s.InFlight))
		observeEach(o, members, labelState, s.Members)
		observeEach(o, waiting, labelTier, s.Waiting)
		observeEach(o, held, labelKind, s.Held)
		o.ObserveInt64(budget, s.Budget)
		o.ObserveInt64(connections, int64(s.Connections))
		observeStates(o, slots, labelPool, s.Slots)
		observeStates(o, endpoints, labelTarget, s.Endpoints)
		observeStates(o, suspects, labelKind, s.Suspects)
		observeStates(o, load, labelPool, s.Load)
		observeStates(o, rollouts, labelTarget, s.Rollouts)
		for target, part := range s.RolloutShare {
			o.ObserveFloat64(rolloutShare, part, metric.WithAttributes(attribute.String(labelTarget, target)))
		}
		observeStates(o, promises, labelPool, s.Promises)
		for target, tries := range s.RetriesLeft {
			o.ObserveFloat64(left, tries, metric.WithAttributes(attribute.String(labelTarget, target)))
		}
		for team, part := range s.RateShare {
			o.ObserveFloat64(share, part, metric.WithAttributes(attribute.String(labelTeam, string(team))))
		}
		if s.StoreEra != nil {
			o.ObserveInt64(era, int64(min(*s.StoreEra, math.MaxInt64)))
		}
		for of, since := range s.Age {
			o.ObserveFloat64(age, since.Seconds(), metric.WithAttributes(attribute.String(labelOf, of)))
		}
		for _, p := range s.Peer {
			labels := metric.WithAttributes(attribute.String(labelKind, p.Kind), attribute.String(labelDomain, p.Domain))
			o.ObserveInt64(peerMessages, p.Messages, labels)
			o.ObserveInt64(peerBytes, p.Bytes, labels)
		}
		if s.Settings != "" {
			o.ObserveInt64(settings, 1, metric.WithAttributes(attribute.String(labelVersion, s.Settings)))
		}
		return nil
	}, revision, members, waiting, inFlight, slots, endpoints, suspects, rollouts, rolloutShare, load, promises, left, share, age,
		settings, era, held, budget, connections, peerMessages, peerBytes)
	b.note(err)
}

// observeStates observes a gauge or counter for each name, under a label, and state.
func observeStates(o metric.Observer, gauge metric.Int64Observable, label string, counts map[NameState]int) {
	for key, count := range counts {
		o.ObserveInt64(gauge, int64(count),
			metric.WithAttributes(attribute.String(label, key.Name), attribute.String(labelState, key.State)))
	}
}

// observeEach observes a gauge for each value of a label.
func observeEach[K ~string, N int | int64](o metric.Observer, gauge metric.Int64ObservableGauge, label string, counts map[K]N) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		o.ObserveInt64(gauge, int64(counts[key]), metric.WithAttributes(attribute.String(label, string(key))))
	}
}

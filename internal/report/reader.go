package report

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// readers bounds the reads of the object store under way.
const readers = 16

// Reader reads the buckets of all hosts and works out reports.
type Reader struct {
	collector *Collector
	objects   platform.Objects
}

// NewReader returns a Reader. The collector's own counts stand in for what the
// store doesn't have of this host.
func NewReader(collector *Collector, objects platform.Objects) *Reader {
	return &Reader{collector: collector, objects: objects}
}

// Report works out the report as of now. Live lists the hosts that are expected
// to have written. What can't be read until the context ends is listed as
// missing; the report is made from the rest.
func (r *Reader) Report(ctx context.Context, now time.Time, snapshot *resource.Snapshot, live []ident.Host) *Report {
	in := &Input{Live: live, Sums: NewSums(now)}
	for _, name := range snapshot.Names(resource.KindObjective) {
		in.Objectives = append(in.Objectives, snapshot.Objectives[name])
	}
	gathering := &gathering{sums: in.Sums, own: map[string]bool{}}
	for _, bucket := range r.collector.Buckets(now) {
		gathering.own[bucket.key()] = true
		in.Sums.Add(&bucket)
	}
	r.gather(ctx, gathering)
	in.Unread = gathering.missing()
	return Compute(in)
}

// gathering collects what the readers find. It is safe for concurrent use.
type gathering struct {
	// own holds the keys of the answering host's buckets, which needn't be read.
	own    map[string]bool
	mu     sync.Mutex
	sums   *Sums
	unread []Missing
}

func (g *gathering) add(b *Bucket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sums.Add(b)
}

func (g *gathering) fail(host ident.Host, start time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unread = append(g.unread, Missing{Host: host, From: start, To: start.Add(period), Reason: "can't be read: " + reason(err)})
}

// reason returns the cause of a failed read without the details of the call,
// which would differ from bucket to bucket.
func reason(err error) string {
	return errors.Cause(err).Error()
}

// missing returns what couldn't be read, with adjoining periods of one host
// and reason joined.
func (g *gathering) missing() []Missing {
	slices.SortFunc(g.unread, func(a, b Missing) int {
		switch {
		case a.Host != b.Host:
			return compare(a.Host < b.Host)
		case a.Reason != b.Reason:
			return compare(a.Reason < b.Reason)
		}
		return a.From.Compare(b.From)
	})
	var joined []Missing
	for _, m := range g.unread {
		if n := len(joined); n > 0 {
			last := &joined[n-1]
			if last.Host == m.Host && last.Reason == m.Reason && !last.To.Before(m.From) {
				last.To = m.To
				continue
			}
		}
		joined = append(joined, m)
	}
	return joined
}

func compare(less bool) int {
	if less {
		return -1
	}
	return 1
}

// gather reads every bucket of the longest window.
func (r *Reader) gather(ctx context.Context, g *gathering) {
	workers := pool.New().WithMaxGoroutines(readers)
	end := g.sums.end
	for start := end.Add(-longestWindow); start.Before(end); start = start.Add(period) {
		workers.Go(func() { r.gatherPeriod(ctx, start, g) })
	}
	workers.Wait()
}

// gatherPeriod reads every bucket of one period.
func (r *Reader) gatherPeriod(ctx context.Context, start time.Time, g *gathering) {
	keys, err := r.objects.ListObjects(ctx, periodPrefix(start))
	if err != nil {
		g.fail("", start, err)
		return
	}
	for _, key := range keys {
		if g.own[key] {
			continue
		}
		bucket, err := r.read(ctx, key)
		if err != nil {
			g.fail(hostOfKey(key), start, err)
			continue
		}
		g.add(bucket)
	}
}

func (r *Reader) read(ctx context.Context, key string) (*Bucket, error) {
	data, err := r.objects.GetObject(ctx, key)
	if err != nil {
		return nil, err
	}
	return decodeBucket(key, data)
}

package report

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

const (
	// writeSpread is the time after a full minute within which the hosts write,
	// each at an offset of its own, so that they don't all write at once.
	writeSpread = 20 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 5 * time.Second
)

// Writer writes a Collector's buckets to the object store each minute. What
// can't be written is kept and tried again, up to the longest window.
type Writer struct {
	collector *Collector
	objects   platform.Objects
	log       logrus.FieldLogger
	offset    time.Duration
}

// NewWriter returns a Writer that isn't running.
func NewWriter(collector *Collector, objects platform.Objects, log logrus.FieldLogger) *Writer {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(collector.host))
	return &Writer{
		collector: collector, objects: objects, log: log,
		offset: time.Duration(hash.Sum32()) * time.Microsecond % writeSpread,
	}
}

// Run writes each minute until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		now := time.Now()
		next := now.Truncate(minute).Add(minute + w.offset)
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
			w.flush(ctx, time.Now())
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Finish writes what is left, the current minute included. It is to be called
// after Run when the host stops.
func (w *Writer) Finish(ctx context.Context) {
	w.flush(ctx, time.Now().Add(minute))
}

// flush writes the buckets that the store doesn't have, oldest first, up to
// the first that fails.
func (w *Writer) flush(ctx context.Context, now time.Time) {
	buckets := w.collector.unwritten(now)
	for i := range buckets {
		if err := w.write(ctx, &buckets[i]); err != nil {
			logs.With(w.log, logs.BucketsLate).WithField("left", len(buckets)-i).WithError(err).Warn()
			return
		}
	}
	logs.With(w.log, logs.BucketsWritten).WithField("count", len(buckets)).Debug()
}

// write writes one bucket. Writing it again is harmless: it replaces the same
// object.
func (w *Writer) write(ctx context.Context, b *Bucket) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	data, err := encodeBucket(b)
	if err != nil {
		return err
	}
	if err = w.objects.PutObject(ctx, b.key(), data); err != nil {
		return err
	}
	w.collector.wrote(b)
	return nil
}

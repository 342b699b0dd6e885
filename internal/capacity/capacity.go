// Package capacity measures what entry hosts cost: it runs a number of them in
// one process on loopback addresses and reports processor time, memory, traffic
// between hosts and calls to the platform, a host and a second.
//
// The platform and the engines are stand-ins. They may run in a process of
// their own, so that the processor time is that of the entry hosts alone.
package capacity

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/standin/load"
)

// Bounds of a measurement.
const (
	// MaxHosts bounds the entry hosts of one process.
	MaxHosts = 400
	// MaxDuration bounds the time measured and the time before it, each.
	MaxDuration = 5 * time.Minute
)

// Bounds and lengths of the load.
const (
	loadSlack       = 2
	loadMaxInFlight = 2000
	loadDeadline    = time.Minute
	loadMinPrompt   = 16
	loadMaxPrompt   = 1600
	loadMinOutput   = 4
	loadMaxOutput   = 64
)

// Options describe a measurement.
type Options struct {
	// Hosts is the number of entry hosts, spread evenly over Domains.
	Hosts   int
	Domains int
	// Teams is the number of declared teams.
	Teams int
	// Settle is the time between the hosts being ready and the measurement.
	Settle time.Duration
	// Duration is the time measured.
	Duration time.Duration
	// Rate is the number of requests a second over all hosts, sent by this
	// process; 0: it sends none.
	Rate float64
	// Address is the first host's address for callers; empty: any port.
	Address string
	// Platform is the base URL of a platform stand-in in another process that
	// nothing else uses; empty: one in this process.
	Platform string
	// Engines are the addresses of engine stand-ins in another process, spread
	// over the domains in turn; none: EngineCount of them in this process.
	Engines     []string
	EngineCount int
	Log         *logrus.Logger
}

// check returns a result.Error for options out of bounds.
func (o *Options) check() error {
	switch {
	case o.Hosts < 1 || o.Hosts > MaxHosts:
		return invalid("the number of hosts is not in 1 to 400")
	case o.Domains < 1 || o.Domains > o.Hosts:
		return invalid("the number of domains is not in 1 to the number of hosts")
	case o.Teams < 1:
		return invalid("the number of teams is below 1")
	case o.Duration <= 0 || o.Duration > MaxDuration || o.Settle < 0 || o.Settle > MaxDuration:
		return invalid("a duration is not in (0, 5m]")
	case o.Rate < 0 || o.Rate > load.MaxRate:
		return invalid("the rate is not in 0 to 5000 requests per second")
	}
	return nil
}

func invalid(reason string) error {
	return result.New(result.BadRequest, "capacity: "+reason)
}

// Run starts the hosts, measures them and stops them.
func Run(ctx context.Context, opts Options) (Figures, error) {
	if err := opts.check(); err != nil {
		return Figures{}, err
	}
	d := &deployment{opts: opts}
	life, end := context.WithCancel(context.Background())
	defer d.close(end)
	if err := d.start(ctx, life); err != nil {
		return Figures{}, err
	}
	return d.measure(ctx)
}

// measure lets the hosts settle and compares two samples.
func (d *deployment) measure(ctx context.Context) (Figures, error) {
	var sending conc.WaitGroup
	defer sending.Wait()
	if d.opts.Rate > 0 {
		d.send(ctx, &sending)
	}
	if err := pause(ctx, d.opts.Settle); err != nil {
		return Figures{}, err
	}
	before, err := d.sample(ctx)
	if err != nil {
		return Figures{}, err
	}
	if err := pause(ctx, d.opts.Duration); err != nil {
		return Figures{}, err
	}
	after, err := d.sample(ctx)
	if err != nil {
		return Figures{}, err
	}
	return compare(d.opts.Hosts, before, after), nil
}

// send sends the load to the hosts in equal parts, from before the first
// sample until after the last.
func (d *deployment) send(ctx context.Context, group *conc.WaitGroup) {
	rate := d.opts.Rate / float64(len(d.entries))
	length := d.opts.Settle + d.opts.Duration
	for i, e := range d.entries {
		options := load.Options{
			Target: "http://" + e.Address(), Rate: rate, Duration: length,
			Requests:    int(rate*length.Seconds()*loadSlack) + 1,
			MaxInFlight: loadMaxInFlight, Seed: uint64(i) + 1,
			Model: Model, Keys: []string{Key}, Deadline: loadDeadline,
			Prompt: load.Range{Min: loadMinPrompt, Max: loadMaxPrompt},
			Output: load.Range{Min: loadMinOutput, Max: loadMaxOutput},
		}
		group.Go(func() {
			if _, err := load.Run(ctx, options); err != nil {
				d.opts.Log.WithError(err).Warn()
			}
		})
	}
}

// pause waits, unless ctx ends first.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "capacity")
	}
}

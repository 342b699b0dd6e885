package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Fake offers the services in process, without sockets or goroutines, with the
// same data, switches and errors as Server and platform.Client together. It
// works inside a testing/synctest bubble.
type Fake struct {
	store   *store
	timeout time.Duration
}

var (
	_ platform.Table   = (*Fake)(nil)
	_ platform.Objects = (*Fake)(nil)
	_ platform.Weights = (*Fake)(nil)
	_ platform.Hosts   = (*Fake)(nil)
)

// NewFake returns a fake with empty services. Calls time out as those of a
// platform.Client with default options do.
func NewFake(options Options) *Fake {
	return &Fake{store: newStore(options), timeout: platform.DefaultTimeout}
}

// Set replaces all switches.
func (f *Fake) Set(switches Switches) {
	f.store.setSwitches(switches)
}

// Switches returns the switches as they stand now.
func (f *Fake) Switches() Switches {
	return f.store.currentSwitches()
}

// Counters returns the counters as they stand now.
func (f *Fake) Counters() Counters {
	return f.store.currentCounters()
}

// Get implements platform.Table.
func (f *Fake) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.read(ctx, OperationGet); err != nil {
		return platform.Row{}, err
	}
	return f.store.get(key)
}

// List implements platform.Table.
func (f *Fake) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.read(ctx, OperationList); err != nil {
		return nil, err
	}
	return f.store.list(prefix, after, limit), nil
}

// Commit implements platform.Table.
func (f *Fake) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	var version uint64
	err := f.write(ctx, OperationCommit, func() error {
		var err error
		version, err = f.store.commit(txn)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// PutObject implements platform.Objects.
func (f *Fake) PutObject(ctx context.Context, key string, value []byte) error {
	return f.write(ctx, OperationPutObject, func() error {
		f.store.putObject(key, value)
		return nil
	})
}

// GetObject implements platform.Objects.
func (f *Fake) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := f.read(ctx, OperationGetObject); err != nil {
		return nil, err
	}
	return f.store.getObject(key)
}

// ListObjects implements platform.Objects.
func (f *Fake) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	if err := f.read(ctx, OperationListObjects); err != nil {
		return nil, err
	}
	return f.store.listObjects(prefix), nil
}

// Reserve implements platform.Weights. The rate limit covers all weight sets
// together.
func (f *Fake) Reserve(ctx context.Context, _ string) (time.Duration, error) {
	var wait time.Duration
	err := f.write(ctx, OperationReserve, func() error {
		var err error
		wait, err = f.store.reserve(time.Now())
		return err
	})
	return wait, err
}

// ListHosts implements platform.Hosts.
func (f *Fake) ListHosts(ctx context.Context) ([]platform.HostEntry, error) {
	if err := f.read(ctx, OperationListHosts); err != nil {
		return nil, err
	}
	return f.store.listHosts(time.Now()), nil
}

// Register implements platform.Hosts.
func (f *Fake) Register(ctx context.Context, entry platform.HostEntry) error {
	return f.write(ctx, OperationRegister, func() error {
		f.store.register(entry, time.Now())
		return nil
	})
}

// read applies the switches to a call without effect.
func (f *Fake) read(ctx context.Context, operation Operation) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	v := f.store.admitRead(operation, time.Now())
	if v.err != nil {
		return v.err
	}
	if !f.wait(ctx, v.delay) {
		return errors.Wrap(platform.ErrUnavailable, "timeout")
	}
	return nil
}

// write applies the switches to a call with an effect. An effect whose caller
// has timed out still happens, at the time of the timeout.
func (f *Fake) write(ctx context.Context, operation Operation, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	v := f.store.admitWrite(operation, time.Now())
	if v.err != nil {
		return v.err
	}
	inTime := f.wait(ctx, v.delay)
	if v.drop {
		return errors.Wrap(platform.ErrAmbiguous, "connection closed")
	}
	err := effect()
	if !inTime {
		return errors.Wrap(platform.ErrAmbiguous, "timeout")
	}
	if v.lose {
		return errors.Wrap(platform.ErrAmbiguous, "connection closed")
	}
	return err
}

// wait waits for the delay and says whether it ended before the timeout and
// before the context.
func (f *Fake) wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(min(delay, f.timeout))
	defer timer.Stop()
	select {
	case <-timer.C:
		return delay <= f.timeout
	case <-ctx.Done():
		return false
	}
}

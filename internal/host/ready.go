package host

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout bounds the wait for hosts to be ready.
	readyTimeout = 60 * time.Second
	// readyPoll is the time between two looks at readiness.
	readyPoll = 50 * time.Millisecond
)

// AwaitReady waits until every host is ready for callers.
func AwaitReady(ctx context.Context, hosts []*Host) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range hosts {
		for !h.entry.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "host: %s is not ready", h.settings.Host)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

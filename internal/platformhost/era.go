package platformhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/platform"
)

// restoreSpread is the time over which the hosts write their rows again after the store came back from
// an older copy, so that hundreds of them stay within its rate of writes.
const restoreSpread = time.Second

// eraRise tells the goroutine that restores rows of a new era of the store.
type eraRise struct {
	mu sync.Mutex
	// newest is the newest era that this host has read of or was told, and restored the one in which
	// its rows were written.
	newest, restored platform.Era
	// read is set if this host has read of the newest itself.
	read bool
	wake chan struct{}
}

func (r *eraRise) init() {
	r.wake = make(chan struct{}, 1)
}

// note takes an era that the store names; read is set if this host has read it itself.
func (r *eraRise) note(era platform.Era, read bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era == r.newest && (r.read || !read) {
		return
	}
	r.newest, r.read = era, read
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// due returns the era in which this host has to write its rows again. The first era that a process
// knows is the one in which it has registered.
func (r *eraRise) due() (era platform.Era, read, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.restored.Named {
		r.restored = r.newest
	}
	return r.newest, r.read, r.newest != r.restored
}

// done takes note that this host's rows have been written in an era.
func (r *eraRise) done(era platform.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = era
}

// storeEra takes a change of the era that the store's answers name.
func (h *Host) storeEra(c platform.EraChange) {
	h.logEra(c)
	if c.Invalid == nil {
		h.eraRise.note(c.To, true)
	}
}

// restoreRows writes the rows that this host stands for again whenever the store has come back from an
// older copy, until ctx is done.
func (h *Host) restoreRows(ctx context.Context, secret string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.eraRise.wake:
		}
		era, read, due := h.eraRise.due()
		if !due {
			continue
		}
		if read && !h.restoreSecret(ctx, secret) {
			return
		}
		if !wait(ctx, rand.N(restoreSpread)) || !h.restoreHostRow(ctx) {
			return
		}
		h.rewriteSuspects(ctx)
		h.rollouts.with((*rolloutBook).eraRose)
		h.eraRise.done(era)
		logs.With(h.log, logs.StoreRowsRestored).WithField("era", era.String()).Info()
	}
}

// restoreSecret writes the secret of the links if the store has lost it. It returns false if ctx is
// done first.
func (h *Host) restoreSecret(ctx context.Context, secret string) bool {
	shared, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) (platform.Shared, error) {
		return h.store.Shared(ctx, secret)
	})
	if ok && shared.Secret != secret {
		logs.With(h.log, logs.HostList).Error("the store holds another secret of the links: hosts that start don't reach this one until it is started again")
	}
	return ok
}

// restoreHostRow writes this host's row. It returns false if ctx is done first, or if a later process of
// this host has registered.
func (h *Host) restoreHostRow(ctx context.Context) bool {
	_, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) (struct{}, error) {
		err := h.store.Register(ctx, h.row())
		if errors.Is(err, platform.ErrSuperseded) {
			h.supersede()
			return struct{}{}, nil
		}
		return struct{}{}, err
	})
	return ok
}

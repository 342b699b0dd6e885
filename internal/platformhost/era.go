package platformhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/follow"
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

// errSecretMissing means that the store holds no secret of the links, and that another host may still
// write the one it has lost.
var errSecretMissing = errors.New("the store holds no secret of the links: it may have lost it")

// secretWait tells when a host that finds no secret of the links in the store may store one of its own.
type secretWait struct {
	era platform.Era
	// since is when the secret was first missed in the era.
	since time.Duration
}

// over reports whether a host that finds no secret in an era may store its own: hosts that run write
// the one they have again. A store that names no era has lost nothing.
func (w *secretWait) over(era platform.Era, first bool, keyLife time.Duration) bool {
	if !era.Named {
		return true
	}
	now := clock.Boot()
	if era != w.era {
		w.era, w.since = era, now
	}
	most := keyLife
	if first {
		most = follow.NoticeTime
	}
	return now-w.since >= most
}

// joining is how far a host that starts has registered in the store.
type joining struct {
	// enlisted is set once the host has written its row, and asked once it has read the shared state.
	enlisted, asked bool
	// first is set if the hosts start for the first time, as far as the store tells.
	first   bool
	missing secretWait
	// waiting is called before the host waits for the secret.
	waiting func()
}

// register writes this host's row and returns the state that all hosts share. It may be repeated.
func (h *Host) register(ctx context.Context, j *joining) (platform.Shared, error) {
	if !j.enlisted {
		process, err := h.store.Enlist(ctx, h.row())
		if err != nil {
			return platform.Shared{}, err
		}
		h.setIncarnation(process.Incarnation)
		h.eraRise.done(h.store.Era())
		j.enlisted, j.first = true, process.First
	}
	shared, err := h.store.ReadShared(ctx)
	if err == nil && !j.asked {
		// A host that is new among others finds their secret.
		j.asked, j.first = true, j.first && shared.Secret == ""
		h.follower.Enlisted(j.first)
	}
	// The secret is stored once no host can be left that has one.
	for err == nil && shared.Secret == "" {
		if j.missing.over(shared.Era, j.first, h.settings.Load().KeyLife) {
			return h.store.StoreSecret(ctx, shared, newSecret())
		}
		j.waiting()
		if !wait(ctx, joinRetryDelay) {
			return platform.Shared{}, errSecretMissing
		}
		shared, err = h.store.ReadShared(ctx)
	}
	return shared, err
}

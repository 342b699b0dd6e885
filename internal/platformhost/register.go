package platformhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/follow"
	"github.com/trefoilchute/trefoilchute/platform"
)

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

package engine

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Defaults of Options.
const (
	// DefaultPrefillRate is in prompt tokens per second.
	DefaultPrefillRate = 8000
	// DefaultDecodeRate is in tokens per second of one sequence alone.
	DefaultDecodeRate = 60
	// DefaultSlots is the size of the batch.
	DefaultSlots = 8
	// DefaultCacheTokens is the size of the prefix cache.
	DefaultCacheTokens = 65536
	// DefaultRestartDelay is the time that a crashed engine stays away.
	DefaultRestartDelay = time.Second
)

// Options configure a Server. Zero values of Speed's rates, its slots and
// RestartDelay stand for the defaults.
type Options struct {
	// Name is the endpoint's name.
	Name string
	// Model is the model that is loaded at the start.
	Model string
	// Speed says how fast the engine runs.
	Speed Speed
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheLag is how late cache events are published.
	CacheLag time.Duration
	// CacheLossPerMille is the share of cache events that are never published.
	CacheLossPerMille int
	// Fencing says what the engine does with orders' fencing numbers.
	Fencing resource.Fencing
	// LoadTime is how long an order to load something takes.
	LoadTime time.Duration
	// Weights is asked for leave before a model or adapter is loaded; nil: no
	// leave is needed.
	Weights platform.Weights
	// RestartDelay is the time that a crashed engine stays away.
	RestartDelay time.Duration
}

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	if o.Speed.PrefillRate <= 0 {
		o.Speed.PrefillRate = DefaultPrefillRate
	}
	if o.Speed.DecodeRate <= 0 {
		o.Speed.DecodeRate = DefaultDecodeRate
	}
	if o.Speed.BatchCost <= 0 {
		o.Speed.BatchCost = DefaultBatchCost
	}
	if o.Speed.Slots <= 0 {
		o.Speed.Slots = DefaultSlots
	}
	if o.Speed.CacheTokens <= 0 {
		o.Speed.CacheTokens = DefaultCacheTokens
	}
	if o.Fencing == "" {
		o.Fencing = resource.FencingEnforced
	}
	if o.RestartDelay <= 0 {
		o.RestartDelay = DefaultRestartDelay
	}
	return o
}

package engine

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Reasons for which an order is refused without effect.
var (
	errFenced  = errors.New("fencing number is old")
	errAction  = errors.New("unknown action")
	errStopped = errors.New("engine stopped")
)

// limitedError says that the weight store gave no leave.
type limitedError struct {
	wait time.Duration
}

// Error describes the refusal.
func (e *limitedError) Error() string {
	return "weight store is rate limited for " + e.wait.String()
}

// orderBook carries out orders, one at a time. It outlives the engine's
// incarnations: a restart forgets what was loaded by orders, but neither the
// highest fencing number nor the orders that took effect.
type orderBook struct {
	options Options
	// turn is held while an order is carried out.
	turn sync.Mutex

	mu    sync.Mutex
	state engine.State
	done  map[string]engine.State
}

// newOrderBook returns a book without orders.
func newOrderBook(options Options) *orderBook {
	return &orderBook{options: options, done: map[string]engine.State{}}
}

// reset puts a new incarnation into its first state.
func (b *orderBook) reset(boot string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Boot = boot
	b.state.Models = []string{b.options.Model}
	b.state.Adapters = []string{}
	b.state.Version = ""
	b.state.Role = ""
}

// current returns the state as it stands now.
func (b *orderBook) current() engine.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return copyState(b.state)
}

// take carries out an order to the incarnation with the context and returns the
// state after it. An order that took
// effect before gets the state that it got then.
func (b *orderBook) take(ctx context.Context, order engine.Order) (engine.State, error) {
	b.turn.Lock()
	defer b.turn.Unlock()
	if state, ok := b.find(order.ID); ok {
		return state, nil
	}
	if err := b.check(order); err != nil {
		return engine.State{}, err
	}
	if err := b.load(ctx, order); err != nil {
		return engine.State{}, err
	}
	return b.apply(ctx, order)
}

// find returns the state after an order that took effect before.
func (b *orderBook) find(id string) (engine.State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state, ok := b.done[id]
	return state, ok
}

// check refuses unknown actions and, where fencing is enforced, old fencing
// numbers.
func (b *orderBook) check(order engine.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch resource.OrderAction(order.Action) {
	case resource.OrderLoadModel, resource.OrderLoadAdapter, resource.OrderSetVersion, resource.OrderSetRole:
	default:
		return errAction
	}
	if b.options.Fencing != resource.FencingEnforced {
		return nil
	}
	if order.Fence < b.state.Fence {
		return errFenced
	}
	b.state.Fence = order.Fence
	return nil
}

// load gets the weights that an order needs, which takes its time.
func (b *orderBook) load(ctx context.Context, order engine.Order) error {
	if resource.OrderAction(order.Action) == resource.OrderSetRole {
		return nil
	}
	if b.options.Weights != nil {
		wait, err := b.options.Weights.Reserve(ctx, order.Value)
		if errors.Is(err, platform.ErrLimited) {
			return &limitedError{wait: wait}
		}
		if err != nil {
			return errors.Wrap(err, "weight store")
		}
	}
	if !sleep(ctx, b.options.LoadTime) {
		return errStopped
	}
	return nil
}

// apply changes the state as the order says. An order to an incarnation that
// has ended doesn't change the state of the next one.
func (b *orderBook) apply(ctx context.Context, order engine.Order) (engine.State, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() != nil {
		return engine.State{}, errStopped
	}
	switch resource.OrderAction(order.Action) {
	case resource.OrderLoadModel:
		b.state.Models = appendNew(b.state.Models, order.Value)
	case resource.OrderLoadAdapter:
		b.state.Adapters = appendNew(b.state.Adapters, order.Value)
	case resource.OrderSetVersion:
		b.state.Version = order.Value
	case resource.OrderSetRole:
		b.state.Role = order.Value
	}
	b.state.LastOrder = order.ID
	b.done[order.ID] = copyState(b.state)
	return b.done[order.ID], nil
}

// appendNew adds a value unless it is there already.
func appendNew(values []string, value string) []string {
	if slices.Contains(values, value) {
		return values
	}
	return append(values, value)
}

// copyState returns a state that shares no memory with the given one.
func copyState(state engine.State) engine.State {
	state.Models = slices.Clone(state.Models)
	state.Adapters = slices.Clone(state.Adapters)
	return state
}

// sleep waits and says whether the context lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sendOrderError answers an order that had no effect.
func sendOrderError(c *fiber.Ctx, err error) error {
	var limited *limitedError
	switch {
	case errors.Is(err, errFenced):
		return sendFailure(c, http.StatusConflict, err.Error())
	case errors.Is(err, errAction):
		return sendFailure(c, http.StatusBadRequest, err.Error())
	case errors.As(err, &limited):
		seconds := int(math.Ceil(limited.wait.Seconds()))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
		return sendFailure(c, http.StatusTooManyRequests, err.Error())
	default:
		return sendFailure(c, http.StatusServiceUnavailable, err.Error())
	}
}

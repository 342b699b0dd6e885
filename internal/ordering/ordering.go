// Package ordering carries out what the order system decides: it posts orders
// to endpoints, reads their state and asks the weight store for leave.
package ordering

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
)

const (
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 30 * time.Second
	// stateTimeout bounds the reading of an endpoint's state.
	stateTimeout = 5 * time.Second
	// reserveTimeout bounds one question to the weight store.
	reserveTimeout = 2 * time.Second
	// maxDetail bounds the part of an endpoint's message that is kept, in bytes.
	maxDetail = 512
)

// Executor makes the exchanges, each on a goroutine of its own.
type Executor struct {
	post    func(control.Event)
	now     func() time.Duration
	weights platform.Weights
	group   conc.WaitGroup
}

// New returns an executor. now is control's clock.
func New(post func(control.Event), now func() time.Duration, weights platform.Weights) *Executor {
	return &Executor{post: post, now: now, weights: weights}
}

// Execute makes the exchange that an effect asks for and posts its result. It
// returns at once.
func (x *Executor) Execute(e order.Effect) {
	x.group.Go(func() { x.post(control.OrderEvent{Event: x.exchange(e)}) })
}

// Wait waits for the exchanges under way.
func (x *Executor) Wait() {
	x.group.Wait()
}

// exchange makes one exchange.
func (x *Executor) exchange(e order.Effect) order.Event {
	switch e := e.(type) {
	case order.SendOrder:
		return x.send(e)
	case order.ReadState:
		return read(e)
	case order.ReserveWeights:
		return x.reserve(e)
	}
	panic("ordering: an effect without an exchange")
}

// send posts an order. The lease's end is looked at after the connection is
// made, right before the first byte.
func (x *Executor) send(e order.SendOrder) order.SendResult {
	body, err := json.Marshal(e.Order)
	if err != nil {
		return order.SendResult{Token: e.Token, Outcome: order.Unsent, Detail: err.Error()}
	}
	conn, err := endpoint.Dial(e.Address)
	if err != nil {
		return order.SendResult{Token: e.Token, Outcome: order.Unsent, Detail: err.Error()}
	}
	defer func() { _ = conn.Close() }()
	if x.now() >= e.NotAfter {
		return order.SendResult{Token: e.Token, Outcome: order.Unsent, Detail: "the lease has ended"}
	}
	status, text, err := post(conn, e.Address, engine.PathOrders, body)
	if err != nil {
		return order.SendResult{Token: e.Token, Outcome: order.Ambiguous, Detail: err.Error()}
	}
	return order.SendResult{Token: e.Token, Outcome: outcome(status), Detail: text}
}

// outcome tells what an endpoint's status means for an order.
func outcome(status int) order.Outcome {
	switch {
	case status < fasthttp.StatusMultipleChoices:
		return order.Accepted
	case status == fasthttp.StatusConflict || status == fasthttp.StatusPreconditionFailed:
		return order.Stale
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		// Not taken, and may be sent again.
		return order.Unsent
	case status < fasthttp.StatusInternalServerError:
		return order.Rejected
	default:
		return order.Ambiguous
	}
}

// post sends a body on a connection and returns the answer's status and text.
func post(conn *endpoint.Conn, address, path string, body []byte) (status int, text string, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetHost(address)
	req.SetRequestURI(path)
	req.SetBodyRaw(body)
	if err := conn.Send(req); err != nil {
		return 0, "", err
	}
	answer, err := conn.ReadAll(resp, orderTimeout)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), string(answer[:min(len(answer), maxDetail)]), nil
}

// read reads an endpoint's state.
func read(e order.ReadState) order.StateRead {
	state, err := fetchState(e.Address)
	return order.StateRead{Token: e.Token, State: state, Err: err}
}

// fetchState asks an endpoint for its state.
func fetchState(address string) (engine.State, error) {
	var state engine.State
	conn, err := endpoint.Dial(address)
	if err != nil {
		return state, err
	}
	defer func() { _ = conn.Close() }()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetHost(address)
	req.SetRequestURI(engine.PathState)
	if err := conn.Send(req); err != nil {
		return state, err
	}
	answer, err := conn.ReadAll(resp, stateTimeout)
	if err != nil {
		return state, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return state, errors.Errorf("ordering: status %d", resp.StatusCode())
	}
	return state, errors.Wrap(json.Unmarshal(answer, &state), "ordering: state")
}

// reserve asks the weight store for leave.
func (x *Executor) reserve(e order.ReserveWeights) order.WeightsReserved {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	wait, err := x.weights.Reserve(ctx, e.Name)
	if errors.Is(err, platform.ErrLimited) {
		err = nil
	}
	return order.WeightsReserved{Token: e.Token, Wait: wait, Err: err}
}

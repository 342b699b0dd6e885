// Package ordering performs the I/O of the order system: it sends orders to
// endpoints, reads their state and reserves loads at the weight store.
package ordering

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
)

const (
	// orderTimeout limits the wait for the response to an order.
	orderTimeout = 30 * time.Second
	// stateTimeout limits the wait for an endpoint's state.
	stateTimeout = 5 * time.Second
	// reserveTimeout limits one request to the weight store.
	reserveTimeout = 2 * time.Second
	// maxDetailBytes limits how much of an endpoint's response text is kept.
	maxDetailBytes = 512
)

// Executor performs the exchanges, each in its own goroutine.
type Executor struct {
	post    func(control.Event)
	now     func() time.Duration
	weights platform.Weights
	group   supervise.Group
}

// New returns an executor that posts results with post. now must be the clock of
// package control, which the deadlines of orders refer to.
func New(post func(control.Event), now func() time.Duration, weights platform.Weights) *Executor {
	return &Executor{post: post, now: now, weights: weights}
}

// Execute performs the exchange of an effect in the background and posts its
// result.
func (x *Executor) Execute(e order.Effect) {
	x.group.Go("orders", func() { x.post(control.OrderEvent{Event: x.exchange(e)}) })
}

// Wait waits until all exchanges have ended.
func (x *Executor) Wait() {
	x.group.Wait()
}

// exchange performs the exchange of an effect and returns its result.
func (x *Executor) exchange(e order.Effect) order.Event {
	switch e := e.(type) {
	case order.SendOrder:
		return x.send(e)
	case order.ReadState:
		return readState(e)
	case order.ReserveWeights:
		return x.reserve(e)
	}
	panic("ordering: unknown type of effect")
}

// send sends an order. It checks that the lease is still held after the connection
// is open, right before the first byte is sent.
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
	status, text, err := postBody(conn, e.Address, engine.PathOrders, body)
	if err != nil {
		return order.SendResult{Token: e.Token, Outcome: order.Ambiguous, Detail: err.Error()}
	}
	return order.SendResult{Token: e.Token, Outcome: outcomeOf(status), Detail: text}
}

// outcomeOf maps the status of an endpoint's response to the outcome of an order.
func outcomeOf(status int) order.Outcome {
	switch {
	case status < fasthttp.StatusMultipleChoices:
		return order.Accepted
	case status == fasthttp.StatusConflict || status == fasthttp.StatusPreconditionFailed:
		return order.Stale
	case status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable:
		// The endpoint did not accept the order, so it may be sent again.
		return order.Unsent
	case status < fasthttp.StatusInternalServerError:
		return order.Rejected
	default:
		return order.Ambiguous
	}
}

// postBody sends a POST request and returns the status and text of the response.
func postBody(conn *endpoint.Conn, address, path string, body []byte) (status int, text string, err error) {
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
	return resp.StatusCode(), string(answer[:min(len(answer), maxDetailBytes)]), nil
}

// readState reads the state of an endpoint.
func readState(e order.ReadState) order.StateRead {
	state, err := fetchState(e.Address)
	return order.StateRead{Token: e.Token, State: state, Err: err}
}

// fetchState requests the state of an endpoint.
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

// reserve reserves a load of weights at the weight store.
func (x *Executor) reserve(e order.ReserveWeights) order.WeightsReserved {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	wait, err := x.weights.Reserve(ctx, e.Name)
	if errors.Is(err, platform.ErrLimited) {
		err = nil
	}
	return order.WeightsReserved{Token: e.Token, Wait: wait, Err: err}
}

package order

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Effect is something to do outside the platform's table. Its concrete types
// are in this file. Each effect is answered by one event with its token.
type Effect interface{ effect() }

// SendOrder asks for an order to be posted to an endpoint.
type SendOrder struct {
	Token    uint64
	Endpoint ident.Endpoint
	Address  string
	Order    engine.Order
	// NotAfter is when the lease ends. The sender reads the clock right before
	// the first byte, and reports Unsent when it is that late.
	NotAfter time.Duration
}

// ReadState asks for an endpoint's state.
type ReadState struct {
	Token    uint64
	Endpoint ident.Endpoint
	Address  string
}

// ReserveWeights asks the weight store for leave to fetch a weight set.
type ReserveWeights struct {
	Token uint64
	Name  string
}

func (SendOrder) effect()      {}
func (ReadState) effect()      {}
func (ReserveWeights) effect() {}

// Event answers an effect. Its concrete types are in this file.
type Event interface{ event() uint64 }

// Outcome is what became of an order that was to be sent.
type Outcome int

// Outcomes of an order.
const (
	// Accepted means that the endpoint answered that it took the order.
	Accepted Outcome = iota
	// Unsent means that no byte was sent.
	Unsent
	// Stale means that the endpoint refused the fencing number.
	Stale
	// Rejected means that the endpoint answered that it can't do the order.
	Rejected
	// Ambiguous means that no answer came: the order may yet take effect.
	Ambiguous
)

// OrderResult answers SendOrder.
type OrderResult struct {
	Token   uint64
	Outcome Outcome
	// Detail is the endpoint's or the connection's message.
	Detail string
}

// StateRead answers ReadState.
type StateRead struct {
	Token uint64
	State engine.State
	// Err is nil if the state was read.
	Err error
}

// WeightsReserved answers ReserveWeights.
type WeightsReserved struct {
	Token uint64
	// Wait is how long to wait before asking again; 0: leave was given.
	Wait time.Duration
	// Err is nil if the weight store answered.
	Err error
}

func (e OrderResult) event() uint64     { return e.Token }
func (e StateRead) event() uint64       { return e.Token }
func (e WeightsReserved) event() uint64 { return e.Token }

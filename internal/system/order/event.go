package order

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Effect is a request for I/O outside the platform's table. Its concrete types
// are in this file. Each effect is answered by one event with the same token.
type Effect interface{ effect() }

// SendOrder requests that an order be sent to an endpoint.
type SendOrder struct {
	Token    uint64
	Endpoint ident.Endpoint
	Address  string
	Order    engine.Order
	// NotAfter is when the lease ends. The sender checks the clock right before
	// the first byte, and reports Unsent if NotAfter has been reached.
	NotAfter time.Duration
}

// ReadState requests a read of an endpoint's state.
type ReadState struct {
	Token    uint64
	Endpoint ident.Endpoint
	Address  string
}

// ReserveWeights requests the weight store's approval to fetch a weight set.
type ReserveWeights struct {
	Token uint64
	Name  string
}

func (SendOrder) effect()      {}
func (ReadState) effect()      {}
func (ReserveWeights) effect() {}

// Event is the result of an effect. Its concrete types are in this file.
type Event interface{ token() uint64 }

// Outcome is the outcome of sending an order.
type Outcome int

// Outcomes of an order.
const (
	// Accepted means that the endpoint accepted the order.
	Accepted Outcome = iota
	// Unsent means that no byte was sent.
	Unsent
	// Stale means that the endpoint refused the fencing number.
	Stale
	// Rejected means that the endpoint answered that it can't carry out the
	// order.
	Rejected
	// Ambiguous means that no answer came: the order may still take effect.
	Ambiguous
)

// SendResult is the result of SendOrder.
type SendResult struct {
	Token   uint64
	Outcome Outcome
	// Detail is the message of the endpoint or the connection error.
	Detail string
}

// StateRead is the result of ReadState.
type StateRead struct {
	Token uint64
	State engine.State
	// Err is nil if the state was read.
	Err error
}

// WeightsReserved is the result of ReserveWeights.
type WeightsReserved struct {
	Token uint64
	// Wait is how long to wait before asking again; 0 means approval.
	Wait time.Duration
	// Err is nil if the weight store answered.
	Err error
}

func (e SendResult) token() uint64      { return e.Token }
func (e StateRead) token() uint64       { return e.Token }
func (e WeightsReserved) token() uint64 { return e.Token }

package order

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Status is the progress of an order.
type Status string

// Statuses of an order.
const (
	Applied Status = "Applied"
	Waiting Status = "Waiting"
	Failed  Status = "Failed"
)

// Reason says why an order has its status.
type Reason string

// Reasons for an order's status.
const (
	// AsDeclared means that the endpoint's state is as declared.
	AsDeclared Reason = "AsDeclared"
	// Pending means that another order of the endpoint is processed first.
	Pending Reason = "Pending"
	// NoLease means that this host doesn't hold the lease to send orders.
	NoLease Reason = "NoLease"
	// EarlierHolder means that an order of an earlier lease holder may still
	// take effect.
	EarlierHolder Reason = "EarlierHolder"
	// ReadingState means that the endpoint's state is being read.
	ReadingState Reason = "ReadingState"
	// WeightStoreLimited means that the weight store's rate limit requires a
	// wait.
	WeightStoreLimited Reason = "WeightStoreLimited"
	// Sent means that the endpoint has not answered yet, or doesn't show the
	// effect yet.
	Sent Reason = "Sent"
	// NotSent means that the endpoint refused the connection or took no order,
	// or that the lease ended before the order was sent.
	NotSent Reason = "NotSent"
	// AnswerLost means that the answer to an order was lost; the order may still
	// take effect.
	AnswerLost Reason = "AnswerLost"
	// Unreachable means that the endpoint's state can't be read.
	Unreachable Reason = "Unreachable"
	// WeightStoreDown means that the weight store didn't answer.
	WeightStoreDown Reason = "WeightStoreDown"
	// RejectedByEndpoint means that the endpoint answered that it can't carry
	// out the order.
	RejectedByEndpoint Reason = "RejectedByEndpoint"
	// StaleFence means that the endpoint has seen a higher fencing number.
	StaleFence Reason = "StaleFence"
	// Conflicting means that an order whose name sorts first asks for another
	// value.
	Conflicting Reason = "Conflicting"
	// NoEndpoint means that there is no such endpoint, or that it takes no
	// orders.
	NoEndpoint Reason = "NoEndpoint"
)

// Condition is the state of one declared order, as seen by the host that sends
// the orders.
type Condition struct {
	Order    string         `json:"order"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Status   Status         `json:"status"`
	Reason   Reason         `json:"reason"`
	// Detail gives further details, if there are any.
	Detail string `json:"detail,omitempty"`
	// Foreign is the ID of the last order that the endpoint took from another
	// source, or ForeignUnidentified; empty if none was seen.
	Foreign string `json:"foreign,omitempty"`
}

// Conditions returns the conditions of all declared orders, sorted by name.
func (s *System) Conditions() []Condition {
	var list []Condition
	for _, name := range sortedKeys(s.orders) {
		list = append(list, s.condition(name))
	}
	return list
}

func (s *System) condition(name string) Condition {
	o := s.orders[name]
	c := Condition{Order: name, Endpoint: o.Endpoint}
	e, ok := s.endpoints[o.Endpoint]
	if !ok {
		c.Status = Failed
		c.Reason = NoEndpoint
		return c
	}
	c.Foreign = e.foreign
	if winner, conflict := e.overruled[name]; conflict {
		c.Status = Failed
		c.Reason = Conflicting
		c.Detail = "order " + winner + " goes first"
		return c
	}
	switch {
	case e.state != nil && satisfied(o, *e.state) && e.outstanding == nil:
		c.Status = Applied
		c.Reason = AsDeclared
	case e.current != "" && e.current != name:
		c.Status = Waiting
		c.Reason = Pending
		c.Detail = "order " + e.current + " goes first"
	default:
		c.Status = e.status
		c.Reason = e.reason
		c.Detail = e.detail
	}
	return c
}

package order

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Status is how far an order has got.
type Status string

// Statuses of an order.
const (
	Applied Status = "Applied"
	Waiting Status = "Waiting"
	Failed  Status = "Failed"
)

// Reason says why an order has its status.
type Reason string

// Reasons of an order's status.
const (
	// AsDeclared: the endpoint's state is as declared.
	AsDeclared Reason = "AsDeclared"
	// Pending: an earlier order of the endpoint goes first.
	Pending Reason = "Pending"
	// NoLease: this host doesn't hold the lease that lets it send orders.
	NoLease Reason = "NoLease"
	// EarlierHolder: an order of an earlier holder may yet take effect.
	EarlierHolder Reason = "EarlierHolder"
	// ReadingState: the endpoint's state is being read.
	ReadingState Reason = "ReadingState"
	// WeightStoreLimited: the weight store's rate limit asks to wait.
	WeightStoreLimited Reason = "WeightStoreLimited"
	// Sent: the endpoint has yet to answer or to show the effect.
	Sent Reason = "Sent"
	// NotSent: the endpoint took no connection or no order, or the lease ended
	// before the order was sent.
	NotSent Reason = "NotSent"
	// AnswerLost: an order's answer was lost; it may yet take effect.
	AnswerLost Reason = "AnswerLost"
	// Unreachable: the endpoint's state can't be read.
	Unreachable Reason = "Unreachable"
	// WeightStoreDown: the weight store gave no answer.
	WeightStoreDown Reason = "WeightStoreDown"
	// RejectedByEndpoint: the endpoint answered that it can't do the order.
	RejectedByEndpoint Reason = "RejectedByEndpoint"
	// StaleFence: the endpoint has seen a higher fencing number.
	StaleFence Reason = "StaleFence"
	// Conflicting: an order whose name sorts first asks for another value.
	Conflicting Reason = "Conflicting"
	// NoEndpoint: there is no such endpoint, or it takes no orders.
	NoEndpoint Reason = "NoEndpoint"
)

// Condition is the state of one declared order, as the host that owns the
// orders sees it.
type Condition struct {
	Order    string         `json:"order"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Status   Status         `json:"status"`
	Reason   Reason         `json:"reason"`
	// Detail is a sentence on this case, if there is more to say.
	Detail string `json:"detail,omitempty"`
	// Foreign is the id of an order, sent by somebody else, that the endpoint
	// took last; empty if none was seen.
	Foreign string `json:"foreign,omitempty"`
}

// Conditions returns the condition of every declared order, by name.
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
	case e.state != nil && satisfied(o, *e.state) && e.unsettled == nil:
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

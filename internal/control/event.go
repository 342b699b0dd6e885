// Package control composes the control systems of one entry host. Core is pure:
// Step takes what happened and returns what to do. Loop is the one goroutine
// that steps it and carries its effects out; all control state belongs to it.
package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// Event is something that happened. Its concrete types are in this file.
type Event interface{ event() }

// Arrived brings a caller's request.
type Arrived struct{ Arrival custody.Arrival }

// CallerLeft says that a caller has left.
type CallerLeft struct{ ID ident.Request }

// Connected says that the traffic side has a connection for a grant.
type Connected struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// Unreachable says that no connection to a granted endpoint could be made.
type Unreachable struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// FirstToken says that the first part of an answer came.
type FirstToken struct {
	ID ident.Request
	// After is the time since dispatch.
	After time.Duration
}

// Ended says that a dispatched request left its endpoint.
type Ended struct {
	ID  ident.Request
	End custody.End
	// Answer is kept with the claim of a non-idempotent request.
	Answer claim.Answer
}

// Received brings a message of another host, or of this one to itself.
type Received struct{ Message *peerpb.Envelope }

// Replied brings the result of a platform call.
type Replied struct{ Reply system.Reply }

// EndpointObserved brings an endpoint's load report or cache events.
type EndpointObserved struct {
	Pool  ident.Pool
	Event pool.Event
}

// OrderEvent brings the result of an effect of the orders.
type OrderEvent struct{ Event order.Event }

// HostsListed brings the platform's list of hosts.
type HostsListed struct{ Hosts []platform.HostEntry }

// JoinLost says that the custodian of a join doesn't answer.
type JoinLost struct{ Join Join }

// AnswerRecovered ends a Rescue. Code is result.OK for a whole answer.
type AnswerRecovered struct {
	ID     ident.Request
	Answer claim.Answer
}

// ConfigurationChanged brings the configuration that a change made at this host has led to.
type ConfigurationChanged struct{ Snapshot *resource.Snapshot }

// EndpointLeaving says that an endpoint told in an answer that it leaves.
type EndpointLeaving struct {
	Endpoint ident.Endpoint
	// Lifetime is that of the endpoint that answered; 0: not known.
	Lifetime int64
}

func (EndpointLeaving) event() {}

// SuspectsRestored brings requests that endpoints ended under, as they were kept for hosts that
// start.
type SuspectsRestored struct{ List []pool.Suspect }

func (SuspectsRestored) event() {}

// TeamLimits brings the teams' rates over all hosts.
type TeamLimits struct{ Teams map[ident.Team]quota.Limit }

// Leave begins a planned stop: other hosts take the pools over.
type Leave struct{}

// DrainTimedOut ends the time of a planned stop: what still waits is refused.
type DrainTimedOut struct{}

func (DrainTimedOut) event() {}

// Depart ends a planned stop: this host says that it is gone.
type Depart struct{}

func (Depart) event()               {}
func (Arrived) event()              {}
func (CallerLeft) event()           {}
func (Connected) event()            {}
func (Unreachable) event()          {}
func (FirstToken) event()           {}
func (Ended) event()                {}
func (Received) event()             {}
func (Replied) event()              {}
func (EndpointObserved) event()     {}
func (OrderEvent) event()           {}
func (ConfigurationChanged) event() {}
func (JoinLost) event()             {}
func (AnswerRecovered) event()      {}
func (HostsListed) event()          {}
func (TeamLimits) event()           {}
func (Leave) event()                {}

// StoredAnswer gives a request the answer that an earlier one with its key got.
type StoredAnswer struct {
	ID     ident.Request
	Answer claim.Answer
}

// Join lets a request take part in the answer of an earlier one with its key.
type Join struct {
	ID ident.Request
	// Custodian holds the answer of Request.
	Custodian ident.Host
	Request   ident.Request
	// Target is the model or plain service of both.
	Target string
}

// AnswerRecovery lets a request read the answer of an earlier one with its key, whose
// custodian is lost, from the endpoint that runs or ran it. It never starts a
// run: an endpoint that doesn't know the request says so.
type AnswerRecovery struct {
	ID      ident.Request
	Request ident.Request
	// Addresses are the endpoints to ask, in order.
	Addresses []string
}

// Effects is what one step asks for.
type Effects struct {
	// Sends goes to other hosts; messages to the own host were delivered.
	Sends []system.Send
	// Calls goes to the platform.
	Calls []system.Call
	// Directives, Settled and Joins go to the traffic side.
	Directives    []custody.Directive
	Settled []StoredAnswer
	Joins         []Join
	Recoveries    []AnswerRecovery
	// JoinMessages holds messages of joins, for the traffic side.
	JoinMessages []*peerpb.Envelope
	// Superseded says that a later process of this host's name lives: this one is
	// to stop.
	Superseded bool
	// Snapshot is set when another configuration came into force.
	Snapshot *resource.Snapshot
	// Peers is set when the addresses of the other hosts changed.
	Peers map[ident.Host]string
	// Watch is set, with WatchChanged, when other endpoints are to be watched.
	Watch        []resource.Endpoint
	WatchChanged bool
	// StoreMessages holds messages about what the platform's store tells.
	StoreMessages []*peerpb.Envelope
	// LeavingEndpoints holds the endpoints that were found to leave by their answers.
	LeavingEndpoints []LeavingEndpoint
	// UnresponsiveHosts holds the hosts that left a submission of this one unanswered.
	UnresponsiveHosts []ident.Host
	// Orders asks for exchanges with endpoints about orders.
	Orders []order.Effect
	// Steps holds the decisions of the pool schedulers, for traces and explain.
	Steps []scheduling.Step
}

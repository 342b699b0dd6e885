// Package control composes the control systems of one entry host. Core is a
// deterministic state machine: Step takes events and returns effects, without
// I/O. Loop runs a Core on a single goroutine, which owns all control state and
// carries out the effects.
package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// Event is an input of Core.Step. Its concrete types are in this file.
type Event interface{ event() }

// Arrived delivers a caller's request.
type Arrived struct{ Arrival custody.Arrival }

// CallerLeft reports that the caller of a request closed its connection.
type CallerLeft struct{ ID ident.Request }

// Connected reports that the data path has a connection to a granted endpoint.
type Connected struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// Unreachable reports that no connection to a granted endpoint could be made.
type Unreachable struct {
	ID      ident.Request
	Attempt ident.Attempt
}

// FirstToken reports the first part of an answer.
type FirstToken struct {
	ID ident.Request
	// After is the time since dispatch.
	After time.Duration
	// LoadPercent is the load that the answer's head states; 0: none.
	LoadPercent int
}

// Ended reports the end of a dispatched request.
type Ended struct {
	ID  ident.Request
	End custody.End
	// Answer is stored with the claim of a non-idempotent request.
	Answer claim.Answer
}

// Received delivers a message from another host or from this one.
type Received struct{ Message *peerpb.Envelope }

// Replied delivers the result of a platform call.
type Replied struct{ Reply system.Reply }

// EndpointObserved delivers a load report or cache events of an endpoint.
type EndpointObserved struct {
	Pool  ident.Pool
	Event pool.Event
}

// OrderEvent delivers the result of an exchange with an endpoint about an order.
type OrderEvent struct{ Event order.Event }

// HostsListed delivers the platform's list of hosts.
type HostsListed struct{ Hosts []platform.HostEntry }

// JoinLost reports that the custodian of a join does not answer.
type JoinLost struct{ Join Join }

// AnswerRecovered reports the end of an AnswerRecovery. The code of the answer is
// result.OK if the answer is complete.
type AnswerRecovered struct {
	ID     ident.Request
	Answer claim.Answer
}

// ConfigurationChanged delivers the configuration that results from a change made at
// this host.
type ConfigurationChanged struct{ Snapshot *resource.Snapshot }

// EndpointLeaving reports that an endpoint announced in an answer that it is leaving.
type EndpointLeaving struct {
	Endpoint ident.Endpoint
	// Lifetime is the lifetime of the endpoint that answered; 0 if unknown.
	Lifetime int64
}

func (EndpointLeaving) event() {}

// SuspectsRestored delivers the stored suspects (requests during which endpoints
// crashed) to a host that starts.
type SuspectsRestored struct{ List []pool.Suspect }

func (SuspectsRestored) event() {}

// TeamLimits delivers the teams' rate limits, which apply to all hosts together.
type TeamLimits struct{ Teams map[ident.Team]quota.Limit }

// RolloutsChanged delivers all orders to move a target to a version, as the store has them.
// It comes whenever they change, and at least once a second while one of them runs.
type RolloutsChanged struct {
	Statuses []rollout.Status
	Bounds   rollout.Bounds
}

func (RolloutsChanged) event() {}

// Leave begins a planned stop: other hosts take over the pools.
type Leave struct{}

// DrainTimedOut ends the drain period of a planned stop: requests that still wait, and those that
// arrive later, are refused.
type DrainTimedOut struct{}

func (DrainTimedOut) event() {}

// Depart ends a planned stop: this host announces that it is gone.
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

// StoredAnswer answers a request with the stored answer of an earlier request with the
// same key.
type StoredAnswer struct {
	ID     ident.Request
	Answer claim.Answer
}

// Join attaches a request to the answer of an earlier, running request with the same key.
type Join struct {
	ID ident.Request
	// Custodian is the host that holds the answer of Request.
	Custodian ident.Host
	Request   ident.Request
	// Target is the model or plain service of both requests.
	Target string
}

// AnswerRecovery answers a request with the answer of an earlier request with the same key
// whose custodian is lost. The answer is read from the endpoint that runs or ran the earlier
// request. It never starts a run: an endpoint that does not know the request rejects it.
type AnswerRecovery struct {
	ID      ident.Request
	Request ident.Request
	// Addresses are the addresses of the endpoints to query, in order.
	Addresses []string
}

// Effects is the output of one step.
type Effects struct {
	// Sends holds the messages to other hosts. Messages to this host are already
	// delivered.
	Sends []system.Send
	// Calls holds the platform calls.
	Calls []system.Call
	// Directives, Settled, Joins and Recoveries are for the data path.
	Directives []custody.Directive
	Settled    []StoredAnswer
	Joins      []Join
	Recoveries []AnswerRecovery
	// JoinMessages holds the messages between hosts about joins, for the data path.
	JoinMessages []*peerpb.Envelope
	// Superseded reports whether a later process runs under this host's name: this
	// process must stop.
	Superseded bool
	// Snapshot is set when a new configuration comes into force.
	Snapshot *resource.Snapshot
	// Peers is set when the addresses of the other hosts change.
	Peers map[ident.Host]string
	// Watch lists the endpoints to watch; it is valid if WatchChanged is set.
	Watch        []resource.Endpoint
	WatchChanged bool
	// StoreMessages holds the messages between hosts about the platform's store.
	StoreMessages []*peerpb.Envelope
	// LeavingEndpoints holds the endpoints newly known to be leaving.
	LeavingEndpoints []LeavingEndpoint
	// Dropped holds the events that were dropped because their handling panicked.
	Dropped []Dropped
	// UnresponsiveHosts holds the hosts that did not answer a submission of this host.
	UnresponsiveHosts []ident.Host
	// Orders holds the exchanges with endpoints about orders.
	Orders []order.Effect
	// Verdicts holds the decisions on roll-outs.
	Verdicts []rollout.Verdict
	// Steps holds the decisions of the pool schedulers, for traces and explain.
	Steps []scheduling.Step
}

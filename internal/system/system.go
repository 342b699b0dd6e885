// Package system holds the types shared by the control systems: the outbox that collects
// the effects of a step, and the platform calls. A system is a deterministic state
// machine: it gets the time and the events, updates its state and puts the resulting
// effects into the outbox. It has no goroutines, clock or sockets.
package system

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Owner identifies the system that made a platform call. The reply is passed to that
// system.
type Owner string

// Owners of platform calls.
const (
	OwnerClaim         Owner = "claim"
	OwnerConfiguration Owner = "configuration"
	OwnerOrder         Owner = "order"
	OwnerMembership    Owner = "membership"
)

// Send is a message to an entry host. The control loop fills in the sender and its
// incarnation. A message to this host itself is delivered locally.
type Send struct {
	To      ident.Host
	Message *peerpb.Envelope
}

// CallKind is the operation of a platform call.
type CallKind int

// Kinds of calls.
const (
	CallGet CallKind = iota
	CallList
	CallCommit
	// CallGetObject and CallPutObject are operations of the object store.
	CallGetObject
	CallPutObject
)

// Call is a request for one operation of the platform's table or object store.
type Call struct {
	Owner Owner
	// Token identifies the call to its owner.
	Token uint64
	Kind  CallKind
	// Key is the key of CallGet, CallGetObject and CallPutObject, and the
	// prefix of CallList.
	Key string
	// After and Limit apply to CallList.
	After string
	Limit int
	// Txn applies to CallCommit.
	Txn platform.Txn
	// Value applies to CallPutObject.
	Value []byte
}

// Reply is the result of a Call.
type Reply struct {
	Owner Owner
	Token uint64
	// Rows holds the row of CallGet, the rows of CallList, or the key and value
	// of CallGetObject.
	Rows []platform.Row
	// Version is the version that CallCommit assigned to its rows.
	Version uint64
	// Err is nil or wraps an error of package platform.
	Err error
}

// Outbox collects the effects of one step. The zero value is ready to use.
type Outbox struct {
	Sends []Send
	Calls []Call
}

// Send adds a message to a host.
func (o *Outbox) Send(to ident.Host, message *peerpb.Envelope) {
	o.Sends = append(o.Sends, Send{To: to, Message: message})
}

// Call adds a platform call.
func (o *Outbox) Call(c Call) {
	o.Calls = append(o.Calls, c)
}

// Package system holds what the control systems share: the outbox that
// collects the effects of a step, and the calls to the platform. A system is
// pure: it is told the time and what happened, changes its own tables and puts
// what is to be done into the outbox. It has no goroutine, clock or socket.
package system

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// Owner names the system that a platform call belongs to; its reply goes back
// to that system.
type Owner string

// Owners of platform calls.
const (
	OwnerClaim         Owner = "claim"
	OwnerConfiguration Owner = "configuration"
	OwnerOrder         Owner = "order"
	OwnerMembership    Owner = "membership"
)

// Send is a message to another entry host. The control loop fills in the
// sender and its incarnation. A message to the own host is delivered locally.
type Send struct {
	To      ident.Host
	Message *peerpb.Envelope
}

// CallKind says which operation of the platform's table a call asks for.
type CallKind int

// Kinds of calls.
const (
	CallGet CallKind = iota
	CallList
	CallCommit
	// CallGetObject and CallPutObject ask the object store.
	CallGetObject
	CallPutObject
)

// Call asks for one operation of the platform's table or object store.
type Call struct {
	Owner Owner
	// Token is the owner's own name for the call.
	Token uint64
	Kind  CallKind
	// Key is the key of CallGet, CallGetObject and CallPutObject, and the
	// prefix of CallList.
	Key string
	// After and Limit belong to CallList.
	After string
	Limit int
	// Txn belongs to CallCommit.
	Txn platform.Txn
	// Value belongs to CallPutObject.
	Value []byte
}

// Reply is the result of a Call.
type Reply struct {
	Owner Owner
	Token uint64
	// Rows holds the row of CallGet, the rows of CallList, or the key and value
	// of CallGetObject.
	Rows []platform.Row
	// Version is the version that CallCommit gave its rows.
	Version uint64
	// Err is nil or wraps one of the errors of package platform.
	Err error
}

// Outbox collects the effects of one step. The zero value is ready to use.
type Outbox struct {
	Sends []Send
	Calls []Call
}

// Send puts a message to a host into the outbox.
func (o *Outbox) Send(to ident.Host, message *peerpb.Envelope) {
	o.Sends = append(o.Sends, Send{To: to, Message: message})
}

// Call puts a platform call into the outbox.
func (o *Outbox) Call(c Call) {
	o.Calls = append(o.Calls, c)
}

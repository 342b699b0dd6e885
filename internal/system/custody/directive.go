package custody

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// DirectiveKind says what a directive asks for.
type DirectiveKind int

// Kinds of directives.
const (
	// Connect asks the traffic side for a connection to an endpoint; it answers
	// with Connected or Unreachable.
	Connect DirectiveKind = iota
	// Commit answers Connected: with Go the first byte may be sent.
	Commit
	// Refuse gives the caller its final answer: not run.
	Refuse
	// CancelRun asks the traffic side to cancel a dispatched request.
	CancelRun
	// LookUpClaim asks the claims for earlier runs of a non-idempotent request.
	LookUpClaim
	// AcquireClaim asks for the claim of a granted non-idempotent request.
	AcquireClaim
	// ReleaseClaim gives up the claim of a request that was not dispatched.
	ReleaseClaim
	// LookUpKey asks the key ledger for earlier runs of an idempotent request.
	LookUpKey
)

// Directive is something to do outside custody for one request.
type Directive struct {
	Kind     DirectiveKind
	ID       ident.Request
	Endpoint ident.Endpoint
	// Address is the endpoint's IP address and port, with Connect.
	Address string
	Attempt ident.Attempt
	// Lifetime is that of the endpoint at this address, with Connect; 0: not known.
	Lifetime int64
	// Why is the scheduler's reason for the endpoint, with Connect.
	Why string
	// Go is the answer of Commit.
	Go bool
	// Err is the final answer of Refuse.
	Err *result.Error
}

package custody

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// DirectiveKind is the kind of a directive.
type DirectiveKind int

// Kinds of directives.
const (
	// Connect asks the data path for a connection to an endpoint. The result is
	// passed to Connected or Unreachable.
	Connect DirectiveKind = iota
	// Commit is the reply to Connected. The first byte may be sent only if Proceed is
	// set.
	Commit
	// Refuse answers the caller finally: the request was not run.
	Refuse
	// CancelRun asks the data path to cancel a dispatched request.
	CancelRun
	// LookupClaim asks the claims for earlier runs of a non-idempotent request.
	LookupClaim
	// AcquireClaim asks for the claim of a granted non-idempotent request.
	AcquireClaim
	// ReleaseClaim releases the claim of a request that was not dispatched.
	ReleaseClaim
	// LookupKey asks the key ledger for earlier runs of an idempotent request.
	LookupKey
)

// Directive is an action for one request that is carried out outside custody.
type Directive struct {
	Kind     DirectiveKind
	ID       ident.Request
	Endpoint ident.Endpoint
	// Address is the endpoint's IP address and port, with Connect.
	Address string
	Attempt ident.Attempt
	// Lifetime is the lifetime of the endpoint at this address, with Connect; 0 if
	// unknown.
	Lifetime int64
	// Why is the scheduler's reason for choosing the endpoint, with Connect.
	Why string
	// Proceed says, with Commit, that the request may be sent.
	Proceed bool
	// Err is the final answer of Refuse.
	Err *result.Error
}

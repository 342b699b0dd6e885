package claim

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Result is the outcome of a Lookup or an Acquire. Its concrete types are in
// this file. Each Lookup or Acquire that isn't canceled has one Result.
type Result interface {
	// Request returns the request that the result is for.
	Request() ident.Request
}

// Unclaimed says, in answer to a Lookup, that there is no claim: the request may
// be queued.
type Unclaimed struct{ ID ident.Request }

// Acquired says, in answer to an Acquire, that this host may dispatch the
// request once.
type Acquired struct{ ID ident.Request }

// Running says that another request with the key is running.
type Running struct {
	ID    ident.Request
	Claim Claim
	// Reachable reports whether the claim's holder can be asked for the answer.
	Reachable bool
}

// Orphaned says that another request with the key was claimed by a process that
// has ended. That request may have run.
type Orphaned struct {
	ID    ident.Request
	Claim Claim
	// Version is the version of the claim's row.
	Version uint64
}

// Answered carries the stored answer to the request that ran under the key.
type Answered struct {
	ID     ident.Request
	Answer Answer
}

// Refused says that the request must not be dispatched, and why.
type Refused struct {
	ID  ident.Request
	Err *result.Error
}

// Request returns the request that the result is for.
func (r Unclaimed) Request() ident.Request { return r.ID }

// Request returns the request that the result is for.
func (r Acquired) Request() ident.Request { return r.ID }

// Request returns the request that the result is for.
func (r Running) Request() ident.Request { return r.ID }

// Request returns the request that the result is for.
func (r Orphaned) Request() ident.Request { return r.ID }

// Request returns the request that the result is for.
func (r Answered) Request() ident.Request { return r.ID }

// Request returns the request that the result is for.
func (r Refused) Request() ident.Request { return r.ID }

// retryAfterOutage is the Retry-After while the platform is unavailable.
const retryAfterOutage = 5 * time.Second

// refuseTableUnreachable refuses a request because the table didn't answer. Only
// a first attempt is known not to have run: otherwise another host may have
// dispatched an earlier attempt.
func refuseTableUnreachable(req Request) Refused {
	code := result.EarlierUnknown
	reason := "the platform's table can't be reached to see what became of earlier attempts"
	if req.FirstAttempt {
		code = result.PlatformDown
		reason = "the platform's table can't be reached to claim the key"
	}
	return refuse(req.ID, code, reason, retryAfterOutage)
}

func refuse(id ident.Request, code result.Code, reason string, after time.Duration) Refused {
	return Refused{ID: id, Err: &result.Error{Code: code, Reason: reason, RetryAfter: after}}
}

// resultFor returns the result for a request whose key another request has
// claimed.
func (s *System) resultFor(req Request, c Claim, row platform.Row) Result {
	if c.Fingerprint != req.Fingerprint {
		return refuse(req.ID, result.KeyMismatch, "the key was used with another body", 0)
	}
	if c.Answer != nil {
		return Answered{ID: req.ID, Answer: *c.Answer}
	}
	switch s.liveness(c) {
	case Alive:
		return Running{ID: req.ID, Claim: c, Reachable: true}
	case Unreachable:
		return Running{ID: req.ID, Claim: c}
	default:
		return Orphaned{ID: req.ID, Claim: c, Version: row.Version}
	}
}

// liveness returns the state of the claim's holder.
func (s *System) liveness(c Claim) Liveness {
	if c.Holder != s.cfg.Host {
		return s.cfg.Liveness(c.Holder, c.Incarnation)
	}
	if c.Incarnation == s.cfg.Incarnation {
		return Alive
	}
	return Dead
}

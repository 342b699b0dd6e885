// Package ident names the identifiers that travel between the parts of the
// system, so that one kind can't be passed where another is meant.
package ident

// Host identifies one entry host process across restarts, as its settings
// name it.
type Host string

// Domain identifies a failure domain.
type Domain string

// Endpoint identifies a declared endpoint.
type Endpoint string

// Team identifies a declared team.
type Team string

// Tier identifies a declared tier.
type Tier string

// Request identifies one request. The entry host that accepts a request
// assigns it; it is unique across hosts and restarts.
type Request string

// Attempt identifies one grant of an endpoint slot to a request. A pool
// scheduler assigns it; together with the request it identifies a dispatch.
type Attempt uint64

// Pool identifies the endpoints of one target in one failure domain.
type Pool struct {
	// Target is the model or plain service that the endpoints serve.
	Target string
	// Domain is the failure domain the endpoints stand in.
	Domain Domain
}

// String returns "target@domain".
func (p Pool) String() string {
	return p.Target + "@" + string(p.Domain)
}

// Package ident defines distinct types for the identifiers used across the
// system, so that one kind can't be passed where another is expected.
package ident

// Host identifies an entry host across restarts. It is the name in the host's
// settings.
type Host string

// Domain identifies a failure domain.
type Domain string

// Endpoint identifies a declared endpoint.
type Endpoint string

// Team identifies a declared team.
type Team string

// Tier identifies a declared tier.
type Tier string

// Request identifies a request. It is assigned by the entry host that accepts the
// request, and is unique across hosts and restarts.
type Request string

// Attempt identifies one grant of an endpoint slot to a request. It is assigned by
// a pool scheduler, and together with the request it identifies a dispatch.
type Attempt uint64

// Pool identifies the endpoints of one target in one failure domain.
type Pool struct {
	// Target is the model or plain service that the endpoints serve.
	Target string
	// Domain is the failure domain of the endpoints.
	Domain Domain
}

// String returns "target@domain".
func (p Pool) String() string {
	return p.Target + "@" + string(p.Domain)
}

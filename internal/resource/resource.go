// Package resource defines the declared resources that operators create and
// the snapshots of them that hosts run on.
package resource

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Kind names a kind of declared resource.
type Kind string

// Kinds of resources.
const (
	KindTier      Kind = "tier"
	KindTeam      Kind = "team"
	KindEndpoint  Kind = "endpoint"
	KindRoute     Kind = "route"
	KindObjective Kind = "objective"
	KindOrder     Kind = "order"
)

// Tier is a priority class of requests.
type Tier struct {
	Name ident.Tier `json:"name"`
	// Rank orders tiers; 0 is the highest and is shed last.
	Rank int `json:"rank"`
	// Deadline is the time to the whole answer when the caller names none.
	Deadline time.Duration `json:"deadline"`
	// MaxQueued bounds the tier's waiting requests in one pool.
	MaxQueued int `json:"max_queued"`
}

// Team is a customer with its own keys, share and limits.
type Team struct {
	Name ident.Team `json:"name"`
	// Tier is the highest tier that the team's requests may have, and the
	// tier of requests that ask for none.
	Tier ident.Tier `json:"tier"`
	// Weight is the team's share among the teams of its tier.
	Weight float64 `json:"weight"`
	// KeySHA256 lists the SHA-256 sums, in lower-case hex, of the bearer keys.
	KeySHA256 []string `json:"key_sha256"`
	// MaxInFlight bounds the team's requests at endpoints of one pool; 0: none.
	MaxInFlight int `json:"max_in_flight"`
	// MaxQueued bounds the team's waiting requests in one pool; 0: none.
	MaxQueued int `json:"max_queued"`
}

// EndpointType says what protocol an endpoint speaks.
type EndpointType string

// Endpoint types.
const (
	// EndpointEngine is a model engine with streams, resume, cancel and orders.
	EndpointEngine EndpointType = "engine"
	// EndpointService is a plain HTTP service.
	EndpointService EndpointType = "service"
)

// EndpointState is what the operator wants of an endpoint.
type EndpointState string

// Endpoint states.
const (
	EndpointActive EndpointState = "active"
	EndpointDrain  EndpointState = "drain"
)

// Fencing says what an endpoint does with an order's fencing number.
type Fencing string

// Fencing behaviours.
const (
	// FencingEnforced refuses an order with an old fencing number.
	FencingEnforced Fencing = "enforced"
	// FencingIgnored takes any order.
	FencingIgnored Fencing = "ignored"
)

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	Name ident.Endpoint `json:"name"`
	// Address is the IP address and port.
	Address string       `json:"address"`
	Domain  ident.Domain `json:"domain"`
	// Scope names the hosts that schedule the endpoint, where these are not those
	// of its failure domain alone. Operators don't declare it.
	Scope ident.Domain `json:"scope,omitempty"`
	// Target is the model or service name it serves.
	Target string        `json:"target"`
	Type   EndpointType  `json:"type"`
	State  EndpointState `json:"state"`
	// Slots is the most requests to have in flight at once.
	Slots int `json:"slots"`
	// PrefillRate and DecodeRate are declared speeds in tokens per second,
	// used until speeds are learned.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
	// SpeedsAssumed says that the rates are those of endpoints like it. Operators
	// don't declare it.
	SpeedsAssumed bool `json:"speeds_assumed,omitempty"`
	// Started tells the lifetimes of the endpoint apart, in Unix milliseconds; 0 if not
	// known. Operators don't declare it.
	Started int64 `json:"started,omitempty"`
	// Version is the version of the endpoint's software; empty if not known. Operators
	// don't declare it.
	Version string `json:"version,omitempty"`
	// EndsWithConnection says that a request stops when its connection closes: it can't
	// be resumed. Operators don't declare it.
	EndsWithConnection bool `json:"ends_with_connection,omitempty"`
	// Ahead is how many requests beyond its slots the endpoint may be given, to begin as
	// soon as one ends. Operators don't declare it.
	Ahead int `json:"ahead,omitempty"`
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int     `json:"cache_tokens"`
	Fencing     Fencing `json:"fencing"`
}

// Pool returns the pool that the endpoint belongs to.
func (e *Endpoint) Pool() ident.Pool {
	if e.Scope != "" {
		return ident.Pool{Target: e.Target, Domain: e.Scope}
	}
	return ident.Pool{Target: e.Target, Domain: e.Domain}
}

// Route maps a caller's path, and for engines its model, to a target.
type Route struct {
	Name string `json:"name"`
	// Path is the exact request path.
	Path string `json:"path"`
	// Model is the "model" of the body that the route serves; empty for a
	// plain service.
	Model string `json:"model"`
	// Target is the model or service name of the endpoints to use.
	Target string `json:"target"`
	// Type is the type of the endpoints to use.
	Type EndpointType `json:"type"`
	// Idempotent says that running a request twice does no harm.
	Idempotent bool `json:"idempotent"`
	// MaxBody is the largest request body in bytes.
	MaxBody int `json:"max_body"`
	// MaxTokens bounds the tokens generated for one request.
	MaxTokens int `json:"max_tokens"`
}

// Objective is a service-level objective of a tier.
type Objective struct {
	Name string     `json:"name"`
	Tier ident.Tier `json:"tier"`
	// Goodput is the wanted share of requests answered whole in time.
	Goodput float64 `json:"goodput"`
	// FirstToken is the wanted time to the first token.
	FirstToken time.Duration `json:"first_token"`
	// TokenGap is the wanted time between tokens.
	TokenGap time.Duration `json:"token_gap"`
}

// OrderAction says what an order asks of an endpoint.
type OrderAction string

// Order actions.
const (
	OrderLoadModel   OrderAction = "load_model"
	OrderLoadAdapter OrderAction = "load_adapter"
	OrderSetVersion  OrderAction = "set_version"
	OrderSetRole     OrderAction = "set_role"
)

// Order is a wanted change of what an endpoint has loaded or does.
type Order struct {
	Name     string         `json:"name"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Action   OrderAction    `json:"action"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
}

// Snapshot is every resource at one revision. A snapshot is immutable once
// published.
type Snapshot struct {
	// Revision grows by one with every accepted change.
	Revision   uint64               `json:"revision"`
	Tiers      map[string]Tier      `json:"tiers"`
	Teams      map[string]Team      `json:"teams"`
	Endpoints  map[string]Endpoint  `json:"endpoints"`
	Routes     map[string]Route     `json:"routes"`
	Objectives map[string]Objective `json:"objectives"`
	Orders     map[string]Order     `json:"orders"`
	// Changed holds the revision of the last change of each resource, by
	// "kind/name".
	Changed map[string]uint64 `json:"changed"`
}

// NewSnapshot returns an empty snapshot at revision 0.
func NewSnapshot() *Snapshot {
	return &Snapshot{
		Tiers:      map[string]Tier{},
		Teams:      map[string]Team{},
		Endpoints:  map[string]Endpoint{},
		Routes:     map[string]Route{},
		Objectives: map[string]Objective{},
		Orders:     map[string]Order{},
		Changed:    map[string]uint64{},
	}
}

// Package ruleset holds the configuration of a deployment whose operators keep it in the
// platform's store. It defines which requests are routed to which target, and under which
// rules. A Ruleset is immutable once published.
package ruleset

import (
	"slices"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Kind defines which requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests may run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They run at most once, unless
	// the route is resumable.
	Stream
)

// String returns the name of the kind as logged.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Share is a target of a route and its relative weight.
type Share struct {
	Target string
	Weight int
}

// Route defines how requests for a host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable routes allow another endpoint to resume an interrupted stream.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Shares contains at least one target.
	Shares []Share
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// Objective is the time within which the first event of a stream, or the complete
	// response to any other request, counts as on time.
	Objective time.Duration
	// GapObjective is the maximum time between two events of a stream that counts as on
	// time.
	GapObjective time.Duration
	// MaxTries is the maximum number of endpoints that a request may be sent to.
	MaxTries int
	// Patience is how long a caller waits for the first or next event of a stream before it
	// disconnects; 0 if it waits as long as for the complete response.
	Patience time.Duration
	// Priority orders routes; 0 is the highest.
	Priority int
}

// Idempotent reports whether a request may be run again after it has run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Team is a team with its API keys and its rate limit.
type Team struct {
	Name ident.Team
	Keys []string
	// Priority orders teams; 0 is the highest.
	Priority int
	// Rate and Burst limit what the team may send through all hosts together, in tokens if
	// InTokens is set and in requests otherwise. A Rate of 0 means no limit.
	Rate, Burst float64
	InTokens    bool
	// PlainCost is the cost, with InTokens, of a request that does not state its tokens.
	PlainCost int
}

// Target is a set of interchangeable endpoints.
type Target struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from all hosts
	// together.
	MaxConnections int
	// Engine is set if the endpoints are model engines.
	Engine *Engine
}

// Engine describes the model engines of a target.
type Engine struct {
	Slots int
	// CacheTokens is the cache capacity for running requests and cached prompts.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Ruleset is one version of the configuration.
type Ruleset struct {
	Version uint64
	Routes  []Route
	Teams   []Team
	Targets []Target
	Limits  Limits
	// Raw is the configuration as encoded in the store, for passing it on to other hosts.
	Raw []byte

	byHost  map[string][]*Route
	byKey   map[string]*Team
	targets map[string]*Target
	// priorities is the largest priority of a route plus one, and ranks holds all ranks that
	// requests may have.
	priorities int
	ranks      []int
}

// Rank returns the rank of a team's requests on a route; 0 is the highest. The team's priority
// takes precedence over the route's. The team is nil on public routes.
func (s *Ruleset) Rank(t *Team, r *Route) int {
	if t == nil {
		return r.Priority
	}
	return t.Priority*s.priorities + r.Priority
}

// Ranks returns all ranks that requests may have, in ascending order. The result must not be
// modified.
func (s *Ruleset) Ranks() []int {
	return s.ranks
}

// findRanks computes the ranks from the distinct priorities: a configuration has many routes
// and teams, but few priorities.
func (s *Ruleset) findRanks() {
	routes, teams := map[int]bool{}, map[int]bool{0: true}
	s.priorities = 1
	for i := range s.Routes {
		routes[s.Routes[i].Priority] = true
		s.priorities = max(s.priorities, s.Routes[i].Priority+1)
	}
	for i := range s.Teams {
		teams[s.Teams[i].Priority] = true
	}
	s.ranks = nil
	for t := range teams {
		for r := range routes {
			s.ranks = append(s.ranks, t*s.priorities+r)
		}
	}
	slices.Sort(s.ranks)
}

// Index builds the lookup tables. It must be called once, before the ruleset is published.
func (s *Ruleset) Index() {
	s.findRanks()
	s.byHost = map[string][]*Route{}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, list := range s.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.byKey = map[string]*Team{}
	for i := range s.Teams {
		for _, key := range s.Teams[i].Keys {
			s.byKey[key] = &s.Teams[i]
		}
	}
	s.targets = map[string]*Target{}
	for i := range s.Targets {
		s.targets[s.Targets[i].Name] = &s.Targets[i]
	}
}

// Route returns the route with the longest matching path prefix among those of the host name,
// or nil. A port after the host name is ignored.
func (s *Ruleset) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range s.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team with the given API key, or nil.
func (s *Ruleset) Team(key string) *Team {
	return s.byKey[key]
}

// Target returns the target with the given name, or nil.
func (s *Ruleset) Target(name string) *Target {
	return s.targets[name]
}

// NeedsKey reports whether the requests of a route must carry an API key.
func (s *Ruleset) NeedsKey(r *Route) bool {
	return len(s.Teams) > 0 && !r.Public
}

// ChooseTarget returns the target for a draw in [0, 1), by the weights of the shares.
func (r *Route) ChooseTarget(draw float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += max(0, s.Weight)
	}
	at := draw * float64(sum)
	for _, s := range r.Shares {
		if at -= float64(max(0, s.Weight)); at < 0 {
			return s.Target
		}
	}
	return r.Shares[len(r.Shares)-1].Target
}

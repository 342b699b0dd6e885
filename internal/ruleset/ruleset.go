// Package ruleset holds the configuration of a deployment whose operators keep it
// in the platform's store: which requests go to which target under which rules.
// A Ruleset is immutable once published.
package ruleset

import (
	"slices"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests may run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are series of events. They run at most once, unless the
	// route says that they can be resumed.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Share is one target of a route with its part of the requests.
type Share struct {
	Target string
	Weight int
}

// Route says how the requests of a host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable says that another endpoint can go on with a broken stream.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Shares has at least one target.
	Shares []Share
	// Timeout is the longest time to the whole answer.
	Timeout time.Duration
	// Objective is the time to the first event of a stream, or to the whole answer
	// of another request, within which it is on time.
	Objective time.Duration
	// GapObjective is the longest time between two events of a stream that is on
	// time.
	GapObjective time.Duration
	// MaxTries is the most endpoints that one request may be sent to.
	MaxTries int
	// Patience is how long a caller waits for a stream's first event, or the next one,
	// before it leaves; 0: as long as for the whole answer.
	Patience time.Duration
	// Priority orders routes; 0 is the highest.
	Priority int
}

// Idempotent reports whether a request may run again after it has run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Team is a customer with its keys and its rate.
type Team struct {
	Name ident.Team
	Keys []string
	// Priority orders teams; 0 is the highest.
	Priority int
	// Rate and Burst bound what the team may send through all hosts together, in
	// tokens or, with InTokens unset, in requests; a Rate of 0 is no bound.
	Rate, Burst float64
	InTokens    bool
	// PlainCost is the cost of a request that names no tokens, with InTokens.
	PlainCost int
}

// Target is a set of endpoints that serve the same.
type Target struct {
	Name string
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a target.
type Engine struct {
	Slots int
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Limits bound what a caller may send and how long it may take.
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
	// Raw is the configuration as it stands in the store, to be passed on.
	Raw []byte

	byHost  map[string][]*Route
	byKey   map[string]*Team
	targets map[string]*Target
	// priorities is one more than the largest priority of a route, and ranks all that
	// requests may have.
	priorities int
	ranks      []int
}

// Rank returns the place of a team's requests on a route among all, 0 the highest: the
// team's priority goes before the route's. The team is nil on public routes.
func (s *Ruleset) Rank(t *Team, r *Route) int {
	if t == nil {
		return r.Priority
	}
	return t.Priority*s.priorities + r.Priority
}

// Ranks returns all ranks that requests may have, in order. It must not be changed.
func (s *Ruleset) Ranks() []int {
	return s.ranks
}

// findRanks lists the ranks: a configuration has many routes and teams, of few
// priorities.
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

// Index prepares the look-ups. It is to be called once, before the ruleset is
// published.
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

// Route returns the route with the longest prefix of the path among those of the
// host name, or nil. A port after the name is ignored.
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

// Team returns the team that a key names, or nil.
func (s *Ruleset) Team(key string) *Team {
	return s.byKey[key]
}

// Target returns a target, or nil.
func (s *Ruleset) Target(name string) *Target {
	return s.targets[name]
}

// NeedsKey reports whether the requests of a route must carry a key.
func (s *Ruleset) NeedsKey(r *Route) bool {
	return len(s.Teams) > 0 && !r.Public
}

// ChooseTarget returns the target for a draw between 0 and 1, by the shares' weights.
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

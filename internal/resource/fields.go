package resource

import (
	"regexp"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// Bounds of the values of manifests.
const (
	maxRank     = 15
	maxCount    = 1_000_000
	maxSlots    = 4096
	maxWeight   = 1000
	maxRate     = 10_000_000
	maxCache    = 1_000_000_000
	maxTokens   = 1_000_000
	maxDeadline = 24 * time.Hour
	minTime     = time.Millisecond
	minBody     = 1
	maxBody     = 64 << 20
)

var (
	sumPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~-]{0,200}$`)
)

var tierFields = []inifile.Field[Tier]{
	inifile.Int("rank", "", "Orders tiers: 0 is the highest and is shed last.", 0, maxRank,
		func(t *Tier) *int { return &t.Rank }),
	inifile.Duration("deadline", "Time to the whole answer when the caller names none.", minTime, maxDeadline,
		func(t *Tier) *time.Duration { return &t.Deadline }).Optional("1m0s"),
	inifile.Int("max_queued", "requests", "Most requests of the tier that wait in one pool.", 1, maxCount,
		func(t *Tier) *int { return &t.MaxQueued }).Optional("1000"),
}

var teamFields = []inifile.Field[Team]{
	inifile.Name("tier", "Highest tier of the team's requests, and the tier of those that ask for none.",
		func(t *Team) *ident.Tier { return &t.Tier }),
	inifile.Float("weight", "The team's share among the teams of its tier.", 0.001, maxWeight,
		func(t *Team) *float64 { return &t.Weight }).Optional("1"),
	inifile.List("key_sha256", "", "SHA-256 sums of the team's bearer keys.",
		"sums of 64 lower-case hexadecimal digits, separated by commas", sumPattern.MatchString,
		func(t *Team) *[]string { return &t.KeySHA256 }),
	inifile.Int("max_in_flight", "requests", "Most requests of the team at endpoints of one pool; 0: no bound.", 0, maxCount,
		func(t *Team) *int { return &t.MaxInFlight }).Optional("0"),
	inifile.Int("max_queued", "requests", "Most requests of the team that wait in one pool; 0: no bound.", 0, maxCount,
		func(t *Team) *int { return &t.MaxQueued }).Optional("0"),
}

var endpointTypes = []EndpointType{EndpointEngine, EndpointService}

var endpointFields = []inifile.Field[Endpoint]{
	inifile.Address("address", "Where the endpoint is reached.",
		func(e *Endpoint) *string { return &e.Address }),
	inifile.Name("domain", "Failure domain that the endpoint stands in.",
		func(e *Endpoint) *ident.Domain { return &e.Domain }),
	inifile.Name("target", "Model or service that it serves.",
		func(e *Endpoint) *string { return &e.Target }),
	inifile.Choice("type", "What it speaks: engine for a model engine, service for plain HTTP.", endpointTypes,
		func(e *Endpoint) *EndpointType { return &e.Type }),
	inifile.Choice("state", "active takes work; drain finishes what it has and gets no more.",
		[]EndpointState{EndpointActive, EndpointDrain},
		func(e *Endpoint) *EndpointState { return &e.State }).Optional(string(EndpointActive)),
	inifile.Int("slots", "requests", "Most requests in flight at once.", 1, maxSlots,
		func(e *Endpoint) *int { return &e.Slots }),
	inifile.Rate("prefill_rate", "Speed of prefill until one is learned; needed for an engine.", maxRate,
		func(e *Endpoint) *float64 { return &e.PrefillRate }).Optional("0 tokens/s"),
	inifile.Rate("decode_rate", "Speed of decode of one request until one is learned; needed for an engine.", maxRate,
		func(e *Endpoint) *float64 { return &e.DecodeRate }).Optional("0 tokens/s"),
	inifile.Int("cache_tokens", "tokens", "Capacity of the prefix cache.", 0, maxCache,
		func(e *Endpoint) *int { return &e.CacheTokens }).Optional("0"),
	inifile.Choice("fencing", "Whether it refuses an order with an old fencing number (enforced) or takes any (ignored).",
		[]Fencing{FencingEnforced, FencingIgnored},
		func(e *Endpoint) *Fencing { return &e.Fencing }).Optional(string(FencingIgnored)),
}

var routeFields = []inifile.Field[Route]{
	inifile.Matching("path", "Exact request path.", "a path of letters, digits and /._~- that starts with /", pathPattern,
		func(r *Route) *string { return &r.Path }),
	inifile.Text("model", "Value of \"model\" in the body; empty for a plain service.",
		func(r *Route) *string { return &r.Model }).Optional(""),
	inifile.Name("target", "Target of the endpoints to use.",
		func(r *Route) *string { return &r.Target }),
	inifile.Choice("type", "Type of the endpoints to use.", endpointTypes,
		func(r *Route) *EndpointType { return &r.Type }),
	inifile.Bool("idempotent", "Whether running a request twice does no harm.",
		func(r *Route) *bool { return &r.Idempotent }),
	inifile.Size("max_body", "Largest request body.", minBody, maxBody,
		func(r *Route) *int { return &r.MaxBody }).Optional("1MiB"),
	inifile.Int("max_tokens", "tokens", "Most tokens generated for one request; at least 1 for an engine.", 0, maxTokens,
		func(r *Route) *int { return &r.MaxTokens }).Optional("1024"),
}

var objectiveFields = []inifile.Field[Objective]{
	inifile.Name("tier", "Tier that the objective is for.",
		func(o *Objective) *ident.Tier { return &o.Tier }),
	inifile.Float("goodput", "Wanted share of requests answered whole in time.", 0.5, 0.99999,
		func(o *Objective) *float64 { return &o.Goodput }),
	inifile.Duration("first_token", "Wanted time to the first token.", minTime, maxDeadline,
		func(o *Objective) *time.Duration { return &o.FirstToken }).Optional("1s"),
	inifile.Duration("token_gap", "Wanted time between tokens.", minTime, maxDeadline,
		func(o *Objective) *time.Duration { return &o.TokenGap }).Optional("100ms"),
}

var orderFields = []inifile.Field[Order]{
	inifile.Name("endpoint", "Engine that is ordered.",
		func(o *Order) *ident.Endpoint { return &o.Endpoint }),
	inifile.Choice("action", "What is wanted of it.",
		[]OrderAction{OrderLoadModel, OrderLoadAdapter, OrderSetVersion, OrderSetRole},
		func(o *Order) *OrderAction { return &o.Action }),
	inifile.Name("value", "The model, adapter, version or role.",
		func(o *Order) *string { return &o.Value }),
}

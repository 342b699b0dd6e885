package resource

import (
	"strconv"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Problem is one thing wrong with the resources of a snapshot taken together.
type Problem struct {
	Kind Kind
	Name string
	// Key is the manifest's key that is wrong.
	Key string
	// Want says what was expected.
	Want string
	// Got is the value that stands there.
	Got string
}

// String returns "[kind name] key: expected want, got got".
func (p Problem) String() string {
	return "[" + string(p.Kind) + " " + p.Name + "] " + p.Key + ": expected " + p.Want + ", got " + strconv.Quote(p.Got)
}

// Validate checks what one resource says of another, and what must be unique.
// It returns the problems in the order of Kinds and names.
func Validate(s *Snapshot) []Problem {
	v := &validator{snapshot: s}
	v.tiers()
	v.teams()
	v.endpoints()
	v.routes()
	v.objectives()
	v.orders()
	return v.problems
}

type validator struct {
	snapshot *Snapshot
	problems []Problem
}

func (v *validator) add(kind Kind, name, key, want, got string) {
	v.problems = append(v.problems, Problem{Kind: kind, Name: name, Key: key, Want: want, Got: got})
}

// unique notes that name has value, and reports a second holder of a value.
func (v *validator) unique(holders map[string]string, kind Kind, name, key, value string) {
	if holder, ok := holders[value]; ok {
		v.add(kind, name, key, "a value that no other "+string(kind)+" has; "+holder+" has it", value)
		return
	}
	holders[value] = name
}

func (v *validator) tiers() {
	ranks := map[string]string{}
	for _, name := range v.snapshot.Names(KindTier) {
		v.unique(ranks, KindTier, name, "rank", strconv.Itoa(v.snapshot.Tiers[name].Rank))
	}
}

// tier reports a reference to a tier that isn't declared.
func (v *validator) tier(kind Kind, name string, tier ident.Tier) {
	if _, ok := v.snapshot.Tiers[string(tier)]; !ok {
		v.add(kind, name, "tier", "the name of a declared tier", string(tier))
	}
}

func (v *validator) teams() {
	keys := map[string]string{}
	for _, name := range v.snapshot.Names(KindTeam) {
		team := v.snapshot.Teams[name]
		v.tier(KindTeam, name, team.Tier)
		for _, sum := range team.KeySHA256 {
			v.unique(keys, KindTeam, name, "key_sha256", sum)
		}
	}
}

func (v *validator) endpoints() {
	addresses := map[string]string{}
	types := map[string]EndpointType{}
	for _, name := range v.snapshot.Names(KindEndpoint) {
		endpoint := v.snapshot.Endpoints[name]
		v.unique(addresses, KindEndpoint, name, "address", endpoint.Address)
		v.speeds(name, &endpoint)
		if first, ok := types[endpoint.Target]; ok && first != endpoint.Type {
			v.add(KindEndpoint, name, "type", "the type of the target's other endpoints, "+string(first), string(endpoint.Type))
			continue
		}
		types[endpoint.Target] = endpoint.Type
	}
}

// speeds reports an engine without declared speeds.
func (v *validator) speeds(name string, endpoint *Endpoint) {
	if endpoint.Type != EndpointEngine {
		return
	}
	if endpoint.PrefillRate <= 0 {
		v.add(KindEndpoint, name, "prefill_rate", "a rate above 0 for an engine", "0 tokens/s")
	}
	if endpoint.DecodeRate <= 0 {
		v.add(KindEndpoint, name, "decode_rate", "a rate above 0 for an engine", "0 tokens/s")
	}
}

func (v *validator) routes() {
	types := map[string]EndpointType{}
	for _, endpoint := range v.snapshot.Endpoints {
		types[endpoint.Target] = endpoint.Type
	}
	callers := map[string]string{}
	paths := map[string]EndpointType{}
	for _, name := range v.snapshot.Names(KindRoute) {
		route := v.snapshot.Routes[name]
		v.unique(callers, KindRoute, name, "path", route.Path+" "+route.Model)
		v.routeTarget(name, &route, types)
		if first, ok := paths[route.Path]; ok && first != route.Type {
			v.add(KindRoute, name, "type", "the type of the path's other routes, "+string(first), string(route.Type))
		}
		paths[route.Path] = route.Type
	}
}

// routeTarget reports a route to a target that no endpoint serves, or with a
// model where the target has none.
func (v *validator) routeTarget(name string, route *Route, types map[string]EndpointType) {
	served, ok := types[route.Target]
	if !ok {
		v.add(KindRoute, name, "target", "the target of a declared endpoint", route.Target)
	} else if served != route.Type {
		v.add(KindRoute, name, "type", "the type of the target's endpoints, "+string(served), string(route.Type))
	}
	if route.Type == EndpointEngine && route.Model == "" {
		v.add(KindRoute, name, "model", "the model of an engine's route", "")
	}
	if route.Type == EndpointEngine && route.MaxTokens < 1 {
		v.add(KindRoute, name, "max_tokens", "at least 1 on an engine's route", strconv.Itoa(route.MaxTokens))
	}
	if route.Type == EndpointService && route.Model != "" {
		v.add(KindRoute, name, "model", "no model on a service's route", route.Model)
	}
}

func (v *validator) objectives() {
	tiers := map[string]string{}
	for _, name := range v.snapshot.Names(KindObjective) {
		objective := v.snapshot.Objectives[name]
		v.tier(KindObjective, name, objective.Tier)
		v.unique(tiers, KindObjective, name, "tier", string(objective.Tier))
	}
}

func (v *validator) orders() {
	wanted := map[string]string{}
	for _, name := range v.snapshot.Names(KindOrder) {
		order := v.snapshot.Orders[name]
		endpoint, ok := v.snapshot.Endpoints[string(order.Endpoint)]
		if !ok || endpoint.Type != EndpointEngine {
			v.add(KindOrder, name, "endpoint", "the name of a declared endpoint of type engine", string(order.Endpoint))
		}
		if order.Action == OrderSetVersion || order.Action == OrderSetRole {
			v.unique(wanted, KindOrder, name, "action", string(order.Endpoint)+" "+string(order.Action))
		}
	}
}

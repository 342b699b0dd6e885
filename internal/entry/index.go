package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// routeKey identifies a route. The model is empty for plain services.
type routeKey struct {
	path  string
	model string
}

// index holds a configuration snapshot indexed for lookups by callers' requests.
type index struct {
	teams  map[string]resource.Team
	tiers  map[ident.Tier]resource.Tier
	routes map[routeKey]resource.Route
	// paths holds the type of endpoint behind each path.
	paths map[string]resource.EndpointType
}

// newIndex returns the index of a snapshot.
func newIndex(snapshot *resource.Snapshot) *index {
	x := &index{
		teams:  map[string]resource.Team{},
		tiers:  map[ident.Tier]resource.Tier{},
		routes: map[routeKey]resource.Route{},
		paths:  map[string]resource.EndpointType{},
	}
	for _, team := range snapshot.Teams {
		for _, sum := range team.KeySHA256 {
			x.teams[sum] = team
		}
	}
	for _, tier := range snapshot.Tiers {
		x.tiers[tier.Name] = tier
	}
	for _, route := range snapshot.Routes {
		x.routes[routeKey{route.Path, route.Model}] = route
		x.paths[route.Path] = route.Type
	}
	return x
}

// teamByKey returns the team that a bearer key belongs to.
func (x *index) teamByKey(key string) (resource.Team, bool) {
	sum := sha256.Sum256([]byte(key))
	team, ok := x.teams[hex.EncodeToString(sum[:])]
	return team, ok
}

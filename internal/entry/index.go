package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// routeKey finds a route: plain services have no model.
type routeKey struct {
	path  string
	model string
}

// index is a snapshot arranged for look-ups by callers' requests.
type index struct {
	teams  map[string]resource.Team
	tiers  map[ident.Tier]resource.Tier
	routes map[routeKey]resource.Route
	// paths holds the type of endpoint behind each path.
	paths map[string]resource.EndpointType
}

// newIndex arranges a snapshot.
func newIndex(snap *resource.Snapshot) *index {
	x := &index{
		teams:  map[string]resource.Team{},
		tiers:  map[ident.Tier]resource.Tier{},
		routes: map[routeKey]resource.Route{},
		paths:  map[string]resource.EndpointType{},
	}
	for _, team := range snap.Teams {
		for _, sum := range team.KeySHA256 {
			x.teams[sum] = team
		}
	}
	for _, tier := range snap.Tiers {
		x.tiers[tier.Name] = tier
	}
	for _, route := range snap.Routes {
		x.routes[routeKey{route.Path, route.Model}] = route
		x.paths[route.Path] = route.Type
	}
	return x
}

// team returns the team that a bearer key names.
func (x *index) team(key string) (resource.Team, bool) {
	sum := sha256.Sum256([]byte(key))
	team, ok := x.teams[hex.EncodeToString(sum[:])]
	return team, ok
}

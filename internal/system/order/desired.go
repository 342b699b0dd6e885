package order

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// satisfied reports whether a state is as the order declares it.
func satisfied(o resource.Order, state engine.State) bool {
	switch o.Action {
	case resource.OrderLoadModel:
		return slices.Contains(state.Models, o.Value)
	case resource.OrderLoadAdapter:
		return slices.Contains(state.Adapters, o.Value)
	case resource.OrderSetVersion:
		return state.Version == o.Value
	case resource.OrderSetRole:
		return state.Role == o.Value
	}
	return false
}

// needsWeights reports whether an order makes the endpoint fetch model weights.
func needsWeights(o resource.Order) bool {
	return o.Action == resource.OrderLoadModel || o.Action == resource.OrderLoadAdapter
}

// exclusive reports whether an endpoint can have only one value for the action.
func exclusive(a resource.OrderAction) bool {
	return a == resource.OrderSetVersion || a == resource.OrderSetRole
}

// resolve returns the orders of one endpoint that don't conflict, in the given
// order, and maps the name of each other order to the order that overrules it.
func resolve(orders []resource.Order) ([]resource.Order, map[string]string) {
	var kept []resource.Order
	overruled := map[string]string{}
	first := map[resource.OrderAction]resource.Order{}
	for _, o := range orders {
		winner, taken := first[o.Action]
		if taken && winner.Value != o.Value {
			overruled[o.Name] = winner.Name
			continue
		}
		if exclusive(o.Action) {
			first[o.Action] = o
		}
		kept = append(kept, o)
	}
	return kept, overruled
}

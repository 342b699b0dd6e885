package dev

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// model is the sample model.
	model = "assistant"
	// bookings is the sample plain service.
	bookings = "bookings"
	// bookingPath is the sample service's path.
	bookingPath = "/bookings"
)

// sample returns the resources beside the endpoints.
func sample() []resource.Item {
	return []resource.Item{
		item(resource.KindTier, "urgent", resource.Tier{
			Name: "urgent", Rank: 0, Deadline: 20 * time.Second, MaxQueued: 500,
		}),
		item(resource.KindTier, "standard", resource.Tier{
			Name: "standard", Rank: 1, Deadline: time.Minute, MaxQueued: 500,
		}),
		item(resource.KindObjective, "urgent", resource.Objective{
			Name: "urgent", Tier: "urgent", Goodput: 0.99,
			FirstToken: 380 * time.Millisecond, TokenGap: 45 * time.Millisecond,
		}),
		item(resource.KindTeam, "demo", resource.Team{
			Name: "demo", Tier: "urgent", Weight: 1, KeySHA256: []string{keySum(Key)},
		}),
		item(resource.KindRoute, "chat", resource.Route{
			Name: "chat", Path: "/v1/chat/completions", Model: model, Target: model,
			Type: resource.EndpointEngine, Idempotent: true, MaxBody: 1 << 20, MaxTokens: 2048,
		}),
		item(resource.KindRoute, "booking", resource.Route{
			Name: "booking", Path: bookingPath, Target: bookings,
			Type: resource.EndpointService, Idempotent: false, MaxBody: 1 << 16,
		}),
	}
}

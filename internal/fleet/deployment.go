package fleet

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Target and Domain name the one pool of a deployment.
const (
	Target = "model"
	Domain = "d1"
)

// Pool is the pool that all deployments measure.
var Pool = ident.Pool{Target: Target, Domain: Domain}

func hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Deployments returns the deployments by name: the two of today, each with the
// runners of one failure domain, and one failure domain of the size to design
// for.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"utility": utility(),
		"factory": factory(),
		"large":   large(),
	}
}

// utility has five runners in a failure domain and short, urgent requests.
func utility() Deployment {
	return Deployment{
		Name:      "utility",
		Hosts:     2,
		Tiers:     tiers(3),
		Teams:     teams(5),
		Endpoints: runners(5),
		Kinds: []Kind{
			{Name: "fault", Rank: 0, Share: 0.25, Prompt: [2]int{60, 600}, Output: [2]int{16, 128}, Turns: 3, Deadline: 8 * time.Second},
			{Name: "clerk", Rank: 1, Share: 0.45, Prompt: [2]int{100, 2000}, Output: [2]int{64, 512}, Turns: 4, Deadline: 20 * time.Second},
			{Name: "history", Rank: 1, Share: 0.1, Prompt: [2]int{3000, 12000}, Output: [2]int{128, 512}, Turns: 1, Deadline: 40 * time.Second},
			{Name: "batch", Rank: 2, Share: 0.2, Prompt: [2]int{500, 8000}, Output: [2]int{64, 512}, Turns: 1, Deadline: 90 * time.Second},
		},
	}
}

// factory has three runners in a failure domain and long planning prompts.
func factory() Deployment {
	return Deployment{
		Name:      "factory",
		Hosts:     3,
		Tiers:     tiers(3),
		Teams:     teams(5),
		Endpoints: runners(3),
		Kinds: []Kind{
			{Name: "dispatch", Rank: 0, Share: 0.35, Prompt: [2]int{60, 800}, Output: [2]int{16, 160}, Turns: 4, Deadline: 10 * time.Second},
			{Name: "tag", Rank: 1, Share: 0.35, Prompt: [2]int{80, 160}, Output: [2]int{8, 32}, Turns: 1, Deadline: 15 * time.Second},
			{Name: "plan", Rank: 1, Share: 0.2, Prompt: [2]int{2000, 10000}, Output: [2]int{256, 1024}, Turns: 3, Deadline: 60 * time.Second},
			{Name: "report", Rank: 2, Share: 0.1, Prompt: [2]int{4000, 16000}, Output: [2]int{128, 1024}, Turns: 1, Deadline: 120 * time.Second},
		},
	}
}

// large is one of five failure domains of the size to design for, with all of
// its runners in one pool.
func large() Deployment {
	return Deployment{
		Name:      "large",
		Hosts:     70,
		Tiers:     tiers(4),
		Teams:     teams(650),
		Endpoints: runners(120),
		Kinds: []Kind{
			{Name: "urgent", Rank: 0, Share: 0.25, Prompt: [2]int{60, 600}, Output: [2]int{16, 128}, Turns: 3, Deadline: 8 * time.Second},
			{Name: "chat", Rank: 1, Share: 0.4, Prompt: [2]int{100, 2000}, Output: [2]int{64, 512}, Turns: 4, Deadline: 20 * time.Second},
			{Name: "long", Rank: 2, Share: 0.15, Prompt: [2]int{2000, 12000}, Output: [2]int{128, 1024}, Turns: 2, Deadline: 45 * time.Second},
			{Name: "batch", Rank: 3, Share: 0.2, Prompt: [2]int{500, 8000}, Output: [2]int{64, 512}, Turns: 1, Deadline: 90 * time.Second},
		},
	}
}

func tiers(n int) []resource.Tier {
	out := make([]resource.Tier, n)
	for i := range out {
		out[i] = resource.Tier{Name: ident.Tier(fmt.Sprintf("tier%d", i)), Rank: i, Deadline: time.Minute}
	}
	return out
}

func teams(n int) []resource.Team {
	out := make([]resource.Team, n)
	for i := range out {
		out[i] = resource.Team{Name: ident.Team(fmt.Sprintf("team%03d", i)), Tier: "tier0", Weight: 1}
	}
	return out
}

// runners returns endpoints of three unlike generations in turn.
func runners(n int) []resource.Endpoint {
	generations := []struct {
		slots           int
		prefill, decode float64
		cache           int
	}{
		{16, 12000, 90, 200_000},
		{12, 8000, 60, 120_000},
		{8, 4000, 40, 80_000},
	}
	out := make([]resource.Endpoint, n)
	for i := range out {
		g := generations[i%len(generations)]
		out[i] = resource.Endpoint{
			Name:        ident.Endpoint(fmt.Sprintf("e%03d", i)),
			Domain:      Domain,
			Target:      Target,
			Type:        resource.EndpointEngine,
			State:       resource.EndpointActive,
			Slots:       g.slots,
			PrefillRate: g.prefill,
			DecodeRate:  g.decode,
			CacheTokens: g.cache,
		}
	}
	return out
}

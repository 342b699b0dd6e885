package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// sessionKind is a kind of request of the load of long sessions: each request shares the
// first part of its prompt with the others of its session.
type sessionKind struct {
	rank     int
	share    float64
	sessions int
	// shared and own are the tokens of the prompt that a session's requests share, and
	// those that are a request's own.
	shared, own int
	output      int
	objective   time.Duration
	limit       time.Duration
	// worth is what an answer on time is worth, late what one is that comes later.
	worth, late float64
}

// sessionKinds are long reports over histories, drafted answers and short labels.
var sessionKinds = []sessionKind{
	{0, 0.29, 175, 4870, 1740, 380, 600 * time.Millisecond, 10 * time.Second, 6.5, 1.9},
	{1, 0.20, 260, 400, 230, 290, 300 * time.Millisecond, 10 * time.Second, 2.2, 0.65},
	{2, 0.51, 690, 1300, 500, 22, 400 * time.Millisecond, 2500 * time.Millisecond, 0.26, 0.076},
}

const (
	sessionEndpoints = 12
	sessionSlots     = 7
	sessionPrefill   = 101_000
	sessionDecode    = 337
	// sessionPatience is how long callers wait for a first token.
	sessionPatience = 2400 * time.Millisecond
	sessionLength   = 20 * time.Second
)

// sessionSpeeds are how fast the endpoints are beside the declared speed, in turn.
var sessionSpeeds = []float64{0.55, 1, 2.8}

// sessionDeployment has endpoints of three speeds whose declared speed is the same.
func sessionDeployment(endpoints, teamCount int) Deployment {
	d := Deployment{Name: "sessions", Hosts: 8, Tiers: tiers(3), Teams: teams(teamCount)}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, resource.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("e%02d", i)), Domain: Domain, Target: Target, Type: resource.EndpointEngine,
			State: resource.EndpointActive, Slots: sessionSlots, PrefillRate: sessionPrefill, DecodeRate: sessionDecode,
			CacheTokens: 569_000, SpeedsAssumed: true,
		})
	}
	return d
}

// sessionCapacity is the number of requests a second whose answers take all slots.
func sessionCapacity(endpoints int) float64 {
	slotTime, speed := 0.0, 0.0
	for _, k := range sessionKinds {
		decode := float64(k.output) / sessionDecode * (1 + batchPenalty*(sessionSlots-1))
		slotTime += k.share * (decode + float64(k.own)/sessionPrefill)
	}
	for i := range endpoints {
		speed += sessionSpeeds[i%len(sessionSpeeds)] * sessionSlots
	}
	return speed / slotTime
}

// sessionLoad is a load of sessions over time.
type sessionLoad struct {
	// load is relative to the capacity, and during the burst by factor more.
	load, factor float64
	// surging teams send surge times their rate during the burst.
	surging int
	surge   float64
	// protect is pool.Config.ProtectShares.
	protect   bool
	from, to  time.Duration
	endpoints int
	teams     int
	length    time.Duration
}

// rate returns the rate of a team at a time, relative to the capacity.
func (l *sessionLoad) rate(team int, at time.Duration) float64 {
	rate := l.load / float64(l.teams)
	if !l.bursts(at) {
		return rate
	}
	if l.factor > 0 {
		rate *= l.factor
	}
	if team < l.surging {
		rate *= l.surge
	}
	return rate
}

// bursts reports whether the burst lasts at a time.
func (l *sessionLoad) bursts(at time.Duration) bool { return at >= l.from && at < l.to }

// surges reports whether a team is one of those that send more during the burst.
func (l *sessionLoad) surges(team ident.Team) bool {
	return slices.ContainsFunc(teams(l.surging), func(t resource.Team) bool { return t.Name == team })
}

// sessionItems draws a load that doesn't vary, of three teams.
func sessionItems(seed uint64, load float64, endpoints int, length time.Duration) ([]Item, map[ident.Request]sessionKind) {
	return (&sessionLoad{load: load, endpoints: endpoints, teams: 3, length: length}).draw(seed)
}

// draw draws the load.
func (l *sessionLoad) draw(seed uint64) ([]Item, map[ident.Request]sessionKind) {
	random := rand.New(rand.NewPCG(seed, 0x5e55))
	kinds := map[ident.Request]sessionKind{}
	var items []Item
	capacity := sessionCapacity(l.endpoints)
	for at := time.Duration(0); at < l.length; {
		rates, sum := make([]float64, l.teams), 0.0
		for team := range rates {
			rates[team] = l.rate(team, at)
			sum += rates[team]
		}
		at += time.Duration(random.ExpFloat64() / (sum * capacity) * float64(time.Second))
		x, n := random.Float64(), 0
		for n < len(sessionKinds)-1 && x >= sessionKinds[n].share {
			x -= sessionKinds[n].share
			n++
		}
		k := sessionKinds[n]
		session := rand.New(rand.NewPCG(uint64(n), uint64(random.IntN(k.sessions))))
		var blocks []uint64
		for range k.shared / prefix.BlockTokens {
			blocks = append(blocks, session.Uint64())
		}
		for range k.own / prefix.BlockTokens {
			blocks = append(blocks, random.Uint64())
		}
		output := max(1, int(float64(k.output)*random.ExpFloat64()))
		r := pool.Request{
			ID: ident.Request(fmt.Sprintf("r%06d", len(items))), Host: ident.Host(fmt.Sprintf("h%d", random.IntN(8))),
			Rank: k.rank, Team: ident.Team(fmt.Sprintf("team%03d", drawTeam(random, rates, sum))), PromptTokens: k.shared + k.own,
			MaxTokens: 4 * output, ExpectedTokens: output, Prefix: blocks,
			FirstDue: at + k.objective, Patience: at + sessionPatience, Deadline: at + k.limit,
			KeyHash: random.Uint64(), Fingerprint: random.Uint64(),
		}
		kinds[r.ID] = k
		items = append(items, Item{At: at, Request: r, Output: output})
	}
	return items, kinds
}

// drawTeam draws a team by the teams' rates.
func drawTeam(random *rand.Rand, rates []float64, sum float64) int {
	if len(rates) == 3 && rates[0] == rates[1] && rates[1] == rates[2] {
		return random.IntN(3)
	}
	x := random.Float64() * sum
	for team, rate := range rates {
		if x < rate {
			return team
		}
		x -= rate
	}
	return len(rates) - 1
}

// sessionResult is what callers got of the load of long sessions.
type sessionResult struct {
	// worth is the part of the worth that was earned, served the part of the requests
	// that were answered, again the part of the prefilled tokens that another endpoint
	// had cached.
	worth, served, again float64
}

// playSessions plays the load against a policy.
func playSessions(t *testing.T, policy string, seed uint64, load float64) sessionResult {
	t.Helper()
	p, err := NewPolicy(policy, seed)
	if err != nil {
		panic(err)
	}
	items, kinds := sessionItems(seed, load, sessionEndpoints, sessionLength)
	first := map[ident.Request]time.Duration{}
	earned, owed, served := 0.0, 0.0, 0
	arrived := map[ident.Request]time.Duration{}
	for _, item := range items {
		arrived[item.Request.ID] = item.At
		owed += kinds[item.Request.ID].worth
	}
	r := execute(p, sessionDeployment(sessionEndpoints, 3), items, Faults{Speeds: sessionSpeeds, ReportAge: reportAge}, seed,
		func(now time.Duration, events []pool.Event, _ []pool.Effect) {
			for _, e := range events {
				switch e := e.(type) {
				case pool.FirstToken:
					first[e.ID] = now
				case pool.Finished:
					if e.Outcome != pool.OutcomeCompleted {
						continue
					}
					k, wait := kinds[e.ID], first[e.ID]-arrived[e.ID]
					switch {
					case wait <= k.objective:
						earned += k.worth
					case wait <= sessionPatience:
						earned += k.late
					default:
						continue
					}
					served++
				}
			}
		})
	return sessionResult{
		worth: earned / owed, served: float64(served) / float64(len(items)),
		again: float64(r.WastedAgain) / float64(max(1, r.Prefilled)),
	}
}

// TestHoldsForPrefixesCostNobodyASlot plays long sessions, whose shared parts make each
// endpoint with a session's prefix worth waiting for: under every load callers get at
// least what they get without such waits, and what the plain policies give them.
func TestHoldsForPrefixesCostNobodyASlot(t *testing.T) {
	g := NewWithT(t)
	var worse []string
	for _, load := range []float64{0.7, 1, 1.5, 2.5} {
		var with sessionResult
		means := make([]sessionResult, len(Policies()))
		var group conc.WaitGroup
		for i, policy := range Policies() {
			group.Go(func() { means[i] = meanOfSessions(t, policy, load) })
		}
		group.Wait()
		for i, policy := range Policies() {
			mean := means[i]
			t.Logf("load %.1f %-20s worth %.3f served %.3f read again %.3f", load, policy, mean.worth, mean.served, mean.again)
			if policy == PolicyPool {
				with = mean
			}
			if with.worth < mean.worth-sessionNoise || with.served < mean.served-sessionNoise {
				worse = append(worse, fmt.Sprintf("load %.1f: %s", load, policy))
			}
		}
	}
	g.Expect(worse).To(BeEmpty(), "policies that serve callers better")
}

// sessionNoise is by how much two policies' figures may differ without one being better.
const sessionNoise = 0.01

// meanOfSessions plays a load with some seeds.
func meanOfSessions(t *testing.T, policy string, load float64) sessionResult {
	t.Helper()
	const seeds = 1
	var mean sessionResult
	for seed := range uint64(seeds) {
		r := playSessions(t, policy, seed+1, load)
		mean.worth += r.worth / seeds
		mean.served += r.served / seeds
		mean.again += r.again / seeds
	}
	return mean
}

package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Deployment is a pool with its tiers, teams and kinds of requests.
type Deployment struct {
	Name      string
	Hosts     int
	Tiers     []resource.Tier
	Teams     []resource.Team
	Endpoints []resource.Endpoint
	Kinds     []Kind
}

// Kind is a kind of request.
type Kind struct {
	Name string
	Rank int
	// Share is the part of all requests.
	Share float64
	// Prompt and Output are ranges of lengths in tokens, drawn evenly on a
	// logarithmic scale.
	Prompt [2]int
	Output [2]int
	// Turns is the number of requests in a conversation; each turn's prompt
	// holds the one before. 1: no conversation.
	Turns int
	// Deadline is the time to the whole answer.
	Deadline time.Duration
}

// Item is one request of a workload with what only the engine knows.
type Item struct {
	At      time.Duration
	Request pool.Request
	// Output is the length of the answer in tokens.
	Output int
	// Poison says that it crashes the engine that runs it.
	Poison bool
}

const (
	// systemTokens is the length of the prompt that a team's requests of one
	// kind share.
	systemTokens = 768
	// burstFactor is how much more arrives during a burst.
	burstFactor = 2.5
	// burstEvery and burstLength place the bursts.
	burstEvery  = 30 * time.Second
	burstLength = 4 * time.Second
	// maxTokensSlack is by how much callers' bounds exceed the answer at most.
	maxTokensSlack = 4.0
)

// generator draws a workload.
type generator struct {
	deployment Deployment
	random     *rand.Rand
	items      []Item
	// open holds the conversations by team and kind that may go on.
	open map[conversationKey][]*conversation
	next int
}

type conversationKey struct {
	team ident.Team
	kind string
}

// conversation is a chain of prompts, each of which holds the one before.
type conversation struct {
	prompt []uint64
	tokens int
	turns  int
}

// Generate draws the requests of one run: load is relative to the capacity.
// The same arguments give the same workload.
func Generate(d Deployment, seed uint64, load float64, length time.Duration) []Item {
	g := &generator{
		deployment: d,
		random:     rand.New(rand.NewPCG(seed, 0x7ef)),
		open:       map[conversationKey][]*conversation{},
	}
	rate := load * Capacity(d) / meanBurst()
	for at := time.Duration(0); at < length; {
		gap := g.random.ExpFloat64() / (rate * burstAt(at))
		at += time.Duration(gap * float64(time.Second))
		g.draw(at)
	}
	return g.items
}

func burstAt(at time.Duration) float64 {
	if at%burstEvery >= burstEvery-burstLength {
		return burstFactor
	}
	return 1
}

func meanBurst() float64 {
	part := float64(burstLength) / float64(burstEvery)
	return 1 + part*(burstFactor-1)
}

// Capacity returns the requests per second of the deployment's mix that its
// endpoints serve at full batches if each prompt's shared part were always
// cached.
func Capacity(d Deployment) float64 {
	var prefill, decode float64
	for _, k := range d.Kinds {
		prefill += k.Share * logMean(k.Prompt)
		decode += k.Share * logMean(k.Output)
	}
	var out float64
	for _, e := range d.Endpoints {
		n := float64(min(e.Slots, batchLimit))
		whole := n * e.DecodeRate / (1 + batchPenalty*(n-1))
		out += 1 / (prefill/e.PrefillRate + decode/whole)
	}
	return out
}

// logMean is the mean of a length drawn by logUniform.
func logMean(r [2]int) float64 {
	if r[0] == r[1] {
		return float64(r[0])
	}
	return float64(r[1]-r[0]) / math.Log(float64(r[1])/float64(r[0]))
}

func (g *generator) logUniform(r [2]int) int {
	low, high := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int(math.Exp(low + g.random.Float64()*(high-low)))
}

func (g *generator) draw(at time.Duration) {
	k := g.kind()
	team := g.team(k.Rank)
	prompt, tokens := g.prompt(k, team)
	output := g.logUniform(k.Output)
	g.next++
	id := ident.Request(fmt.Sprintf("r%06d", g.next))
	bound := int(float64(output) * (1 + g.random.Float64()*(maxTokensSlack-1)))
	g.items = append(g.items, Item{
		At:     at,
		Output: output,
		Request: pool.Request{
			ID:           id,
			Host:         ident.Host(fmt.Sprintf("h%d", g.random.IntN(g.deployment.Hosts))),
			Rank:         k.Rank,
			Team:         team,
			PromptTokens: tokens,
			MaxTokens:    bound,
			Deadline:     at + k.Deadline,
			Prefix:       prompt,
			KeyHash:      g.random.Uint64(),
			Fingerprint:  g.random.Uint64(),
			Idempotent:   true,
		},
	})
}

func (g *generator) kind() Kind {
	x := g.random.Float64()
	for _, k := range g.deployment.Kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return g.deployment.Kinds[len(g.deployment.Kinds)-1]
}

// team draws a team: the first few teams are large. Every team sends in every
// tier.
func (g *generator) team(_ int) ident.Team {
	teams := g.deployment.Teams
	x := g.random.Float64()
	i := int(float64(len(teams)) * x * x * x)
	return teams[i].Name
}

// prompt draws a prompt: what the team's requests of the kind share, then the
// conversation so far, then what is new.
func (g *generator) prompt(k Kind, team ident.Team) ([]uint64, int) {
	key := conversationKey{team, k.Name}
	fresh := g.logUniform(k.Prompt)
	c := g.conversation(key, k)
	c.tokens += fresh
	c.turns++
	for len(c.prompt) < c.tokens/prefix.BlockTokens {
		c.prompt = append(c.prompt, g.random.Uint64())
	}
	if c.turns < k.Turns {
		g.open[key] = append(g.open[key], c)
	}
	return slices.Clone(c.prompt), c.tokens
}

// conversation continues an open conversation or starts one.
func (g *generator) conversation(key conversationKey, k Kind) *conversation {
	open := g.open[key]
	if len(open) > 0 && g.random.IntN(k.Turns) > 0 {
		i := g.random.IntN(len(open))
		c := open[i]
		g.open[key] = slices.Delete(open, i, i+1)
		return c
	}
	shared := rand.New(rand.NewPCG(hash(string(key.team)), hash(key.kind)))
	c := &conversation{tokens: systemTokens}
	for range systemTokens / prefix.BlockTokens {
		c.prompt = append(c.prompt, shared.Uint64())
	}
	return c
}

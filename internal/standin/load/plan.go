package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	api "github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
)

// Lane says which way a request takes.
type Lane string

// Lanes.
const (
	// LaneEntry is the way through Options.Target.
	LaneEntry Lane = "entry"
	// LaneDirect is the way straight to an endpoint stand-in.
	LaneDirect Lane = "direct"
)

// planned is one request to come.
type planned struct {
	// at is when to send it, from the start of the run.
	at   time.Duration
	lane Lane
	// base is the base URL to send it to.
	base string
	// id names the request on the direct lane.
	id      string
	key     string
	tier    string
	request engine.ChatRequest
}

// planner draws the requests of a run.
type planner struct {
	options *Options
	rng     *rand.Rand
	// twins counts the requests of the direct lane.
	twins int
}

// makePlan returns the requests of a run in order of time. It depends on
// nothing but the options.
func makePlan(options *Options) []planned {
	p := planner{options: options, rng: rand.New(rand.NewPCG(options.Seed, 0))}
	var plan []planned
	at := time.Duration(0)
	for n := range options.Requests {
		at += time.Duration(p.rng.ExpFloat64() / options.Rate * float64(time.Second))
		if at >= options.Duration {
			break
		}
		plan = append(plan, p.draw(n, at)...)
	}
	return plan
}

// draw returns one request, with its twin if there is a direct lane.
func (p *planner) draw(n int, at time.Duration) []planned {
	name := strconv.FormatUint(p.options.Seed, 10) + "-" + strconv.Itoa(n)
	promptTokens := p.length(p.options.Prompt)
	outputTokens := p.length(p.options.Output)
	family := p.family()
	entry := planned{
		at:      at,
		lane:    LaneEntry,
		base:    p.options.Target,
		key:     p.pick(p.options.Keys),
		tier:    p.pick(p.options.Tiers),
		request: p.request("entry "+name, family, promptTokens, outputTokens),
	}
	if len(p.options.Direct) == 0 {
		return []planned{entry}
	}
	twin := planned{
		at:      at,
		lane:    LaneDirect,
		base:    p.options.Direct[p.twins%len(p.options.Direct)],
		id:      "load-" + name,
		request: p.request("direct "+name, family, promptTokens, outputTokens),
	}
	p.twins++
	// Neither lane always goes first.
	if n%2 == 0 {
		return []planned{entry, twin}
	}
	return []planned{twin, entry}
}

// length draws a length whose logarithm is spread evenly over the range.
func (p *planner) length(r Range) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(low + p.rng.Float64()*(high-low))))
}

// family draws the text that a prompt begins with; empty: none.
func (p *planner) family() string {
	if p.options.Families == 0 {
		return ""
	}
	return "family " + strconv.Itoa(p.rng.IntN(p.options.Families)) + " "
}

// pick draws one of the values, or "" if there is none.
func (p *planner) pick(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[p.rng.IntN(len(values))]
}

// request returns a chat completion whose prompt is unlike any other's, but for
// the first half if it is of a family.
func (p *planner) request(name, family string, promptTokens, outputTokens int) engine.ChatRequest {
	size := promptTokens * prefix.BytesPerToken
	shared := ""
	if family != "" {
		shared = fill(family, size/2)
	}
	content := shared + fill(name+" ", size-len(shared))
	return engine.ChatRequest{
		Model:        p.options.Model,
		Messages:     []api.Message{{Role: "user", Content: api.Content(content)}},
		Stream:       true,
		MaxTokens:    outputTokens,
		OutputTokens: outputTokens,
	}
}

// fill repeats a text to a size in bytes, but never cuts its first occurrence.
func fill(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

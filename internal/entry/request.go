package entry

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/bound"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/fingerprint"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

// Headers of callers' requests and of responses.
const (
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time limit for the complete answer, in milliseconds.
	HeaderDeadline = "Trefoilchute-Deadline-Ms"
	// HeaderAttempt is the number of the attempt with one idempotency key, from 1.
	HeaderAttempt = "Trefoilchute-Attempt"
	// HeaderTier requests a tier, which can't be above the team's own.
	HeaderTier = "Trefoilchute-Tier"
	// HeaderRequest is the request ID, in responses.
	HeaderRequest = "X-Request-Id"
	// HeaderCode is the result code, in responses.
	HeaderCode = "Trefoilchute-Code"
)

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// maxDeadline bounds a caller's deadline.
	maxDeadline = time.Hour
	// defaultDeadline applies to tiers that declare none.
	defaultDeadline = time.Minute
	// maxRequestedTokens bounds the limit of tokens that a caller may request.
	maxRequestedTokens = 1 << 20
	// defaultMaxTokens applies if neither the request nor its route limits the answer.
	defaultMaxTokens = 1024
)

// parsedRequest is a validated request.
type parsedRequest struct {
	arrival custody.Arrival
	job     *traffic.Job
	tier    ident.Tier
	// stream reports whether the caller requested a stream.
	stream bool
	model  string
}

// parse validates a caller's request and copies the data that outlives the handler.
func (s *Server) parse(c *fiber.Ctx, x *index) (*parsedRequest, error) {
	team, err := authenticate(c, x)
	if err != nil {
		return nil, err
	}
	tier, err := chooseTier(c, x, team)
	if err != nil {
		return nil, err
	}
	path := strings.Clone(c.Path())
	kind, ok := x.paths[path]
	if !ok {
		return nil, result.New(result.NoRoute, "no route has the path "+path)
	}
	p := &parsedRequest{tier: tier.Name, job: traffic.NewJob(s.ids.next())}
	p.arrival = custody.Arrival{ID: p.job.ID, Rank: tier.Rank, Team: team.Name}
	p.job.Type = kind
	p.job.Path = path
	p.job.Tier = tier.Name
	body := bytes.Clone(c.Body())
	if err := p.readBody(c, x, body); err != nil {
		return nil, err
	}
	p.arrival.Fingerprint = fingerprint.Of(body, path)
	if err := p.readDeadline(c, s.opts.Now(), tier); err != nil {
		return nil, err
	}
	return p, p.readKey(c)
}

// authenticate returns the team that the bearer key belongs to.
func authenticate(c *fiber.Ctx, x *index) (resource.Team, error) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return resource.Team{}, result.New(result.Unauthorized, "the Authorization header has no bearer key")
	}
	team, ok := x.teamByKey(key)
	if !ok {
		return resource.Team{}, result.New(result.Unauthorized, "the bearer key names no team")
	}
	return team, nil
}

// chooseTier returns the team's tier, or a lower one that the caller requests.
func chooseTier(c *fiber.Ctx, x *index, team resource.Team) (resource.Tier, error) {
	own := x.tiers[team.Tier]
	requested := c.Get(HeaderTier)
	if requested == "" {
		return own, nil
	}
	tier, ok := x.tiers[ident.Tier(requested)]
	if !ok {
		return own, result.New(result.BadRequest, "no tier is named "+strings.Clone(requested))
	}
	if tier.Rank < own.Rank {
		return own, result.New(result.BadRequest, "the team's requests can't be above tier "+string(own.Name))
	}
	return tier, nil
}

// readBody finds the route and reads the body.
func (p *parsedRequest) readBody(c *fiber.Ctx, x *index, body []byte) error {
	p.job.ContentType = strings.Clone(c.Get(fiber.HeaderContentType))
	p.job.Method = strings.Clone(c.Method())
	if p.job.Type == resource.EndpointEngine {
		return p.readChat(x, body)
	}
	route := x.routes[routeKey{path: p.job.Path}]
	p.job.Body = body
	return p.applyRoute(route, len(body))
}

// applyRoute checks the body's size and applies the settings of the route.
func (p *parsedRequest) applyRoute(route resource.Route, size int) error {
	if route.MaxBody > 0 && size > route.MaxBody {
		return result.New(result.TooLarge, "the body is larger than "+strconv.Itoa(route.MaxBody)+" bytes")
	}
	p.arrival.Target = route.Target
	p.arrival.Idempotent = route.Idempotent
	return nil
}

// readChat reads the body of a chat completion request. The endpoint's body always requests
// a stream, so that the answer can be checked and resumed.
func (p *parsedRequest) readChat(x *index, body []byte) error {
	if p.job.Method != fiber.MethodPost {
		return result.New(result.BadRequest, "a chat completion is a POST")
	}
	m, err := parseChatRequest(body)
	if err != nil {
		return result.New(result.BadRequest, "the body is not a chat completion: "+err.Error())
	}
	route, ok := x.routes[routeKey{p.job.Path, m.model}]
	if !ok {
		return result.New(result.NoRoute, "no route serves the model "+strconv.Quote(m.model))
	}
	if err := p.applyRoute(route, len(body)); err != nil {
		return err
	}
	prompt := engine.Prompt(m.messages)
	p.stream = m.stream
	p.model = m.model
	p.arrival.PromptTokens = prefix.Tokens(len(prompt))
	p.arrival.Prefix = prefix.Hashes(prompt)
	p.arrival.MaxTokens = tokenLimit(route.MaxTokens, m.maxTokens, m.maxCompletionTokens)
	p.job.Body, err = m.endpointBody(p.arrival.MaxTokens)
	return err
}

// tokenLimit returns the smallest positive limit, or defaultMaxTokens if there is none.
func tokenLimit(limits ...int) int {
	out := 0
	for _, n := range limits {
		if n > 0 && (out == 0 || n < out) {
			out = n
		}
	}
	if out == 0 {
		return defaultMaxTokens
	}
	return min(out, bound.MaxTokens)
}

// readDeadline sets the deadline from the caller's header or else from the tier.
func (p *parsedRequest) readDeadline(c *fiber.Ctx, now time.Duration, tier resource.Tier) error {
	limit := tier.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if text := c.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return result.New(result.BadRequest, HeaderDeadline+" must be 1 to "+
				strconv.FormatInt(maxDeadline.Milliseconds(), 10)+" milliseconds")
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	p.arrival.Deadline = now + limit
	return nil
}

// readKey reads the idempotency key, which is required on routes that aren't idempotent.
func (p *parsedRequest) readKey(c *fiber.Ctx) error {
	key := strings.Clone(c.Get(HeaderKey))
	if len(key) > maxKeyBytes {
		return result.New(result.BadRequest, HeaderKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	if key == "" {
		if !p.arrival.Idempotent {
			return result.New(result.KeyRequired, "the route "+p.job.Path+" needs the header "+HeaderKey)
		}
		return nil
	}
	p.job.Keyed = true
	p.arrival.Key = key
	p.arrival.KeyHash = xxhash.Sum64String(string(p.arrival.Team) + "/" + key)
	return p.readAttempt(c)
}

// readAttempt reads the number of the attempt with the idempotency key.
func (p *parsedRequest) readAttempt(c *fiber.Ctx) error {
	text := c.Get(HeaderAttempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.ParseUint(text, 10, 32)
	if err != nil || attempt == 0 {
		return result.New(result.BadRequest, HeaderAttempt+" must be a number from 1")
	}
	p.arrival.FirstAttempt = attempt == 1
	return nil
}

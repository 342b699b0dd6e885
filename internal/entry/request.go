package entry

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/fingerprint"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

// Headers of callers' requests and answers.
const (
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time to the whole answer in milliseconds.
	HeaderDeadline = "Trefoilchute-Deadline-Ms"
	// HeaderAttempt numbers the sendings of one key from 1.
	HeaderAttempt = "Trefoilchute-Attempt"
	// HeaderTier asks for a tier; it can't be above the team's own.
	HeaderTier = "Trefoilchute-Tier"
	// HeaderRequest is the request's id, in answers.
	HeaderRequest = "X-Request-Id"
	// HeaderCode is the result code, in answers.
	HeaderCode = "Trefoilchute-Code"
)

const (
	// maxKey bounds an idempotency key in bytes.
	maxKey = 255
	// maxDeadline bounds a caller's deadline.
	maxDeadline = time.Hour
	// defaultDeadline is used where a tier declares none.
	defaultDeadline = time.Minute
	// maxMaxTokens bounds what a caller may ask for, in tokens.
	maxMaxTokens = 1 << 20
	// defaultMaxTokens is used where neither request nor route bound the answer.
	defaultMaxTokens = 1024
)

// parsed is a checked request.
type parsed struct {
	arrival custody.Arrival
	job     *traffic.Job
	tier    ident.Tier
	// stream says that the caller asked for a stream.
	stream bool
	model  string
}

// parse checks a caller's request and copies what outlives the handler.
func (s *Server) parse(c *fiber.Ctx, x *index) (*parsed, error) {
	team, err := identify(c, x)
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
	p := &parsed{tier: tier.Name, job: traffic.NewJob(s.ids.next())}
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

// identify returns the team that the bearer key names.
func identify(c *fiber.Ctx, x *index) (resource.Team, error) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return resource.Team{}, result.New(result.Unauthorized, "the Authorization header has no bearer key")
	}
	team, ok := x.team(key)
	if !ok {
		return resource.Team{}, result.New(result.Unauthorized, "the bearer key names no team")
	}
	return team, nil
}

// chooseTier returns the team's tier, or a lower one that the caller asks for.
func chooseTier(c *fiber.Ctx, x *index, team resource.Team) (resource.Tier, error) {
	own := x.tiers[team.Tier]
	wanted := c.Get(HeaderTier)
	if wanted == "" {
		return own, nil
	}
	tier, ok := x.tiers[ident.Tier(wanted)]
	if !ok {
		return own, result.New(result.BadRequest, "no tier is named "+strings.Clone(wanted))
	}
	if tier.Rank < own.Rank {
		return own, result.New(result.BadRequest, "the team's requests can't be above tier "+string(own.Name))
	}
	return tier, nil
}

// readBody finds the route and takes the body in.
func (p *parsed) readBody(c *fiber.Ctx, x *index, body []byte) error {
	p.job.ContentType = strings.Clone(c.Get(fiber.HeaderContentType))
	p.job.Method = strings.Clone(c.Method())
	if p.job.Type == resource.EndpointEngine {
		return p.readChat(x, body)
	}
	route := x.routes[routeKey{path: p.job.Path}]
	p.job.Body = body
	return p.take(route, len(body))
}

// take takes over what the route declares.
func (p *parsed) take(route resource.Route, size int) error {
	if route.MaxBody > 0 && size > route.MaxBody {
		return result.New(result.TooLarge, "the body is larger than "+strconv.Itoa(route.MaxBody)+" bytes")
	}
	p.arrival.Target = route.Target
	p.arrival.Idempotent = route.Idempotent
	return nil
}

// readChat takes a chat completion in. The endpoint is always asked for a
// stream, so that an answer can be checked and resumed.
func (p *parsed) readChat(x *index, body []byte) error {
	if p.job.Method != fiber.MethodPost {
		return result.New(result.BadRequest, "a chat completion is a POST")
	}
	m, err := readChatBody(body)
	if err != nil {
		return result.New(result.BadRequest, "the body is not a chat completion: "+err.Error())
	}
	route, ok := x.routes[routeKey{p.job.Path, m.model}]
	if !ok {
		return result.New(result.NoRoute, "no route serves the model "+strconv.Quote(m.model))
	}
	if err := p.take(route, len(body)); err != nil {
		return err
	}
	prompt := engine.Prompt(m.messages)
	p.stream = m.stream
	p.model = m.model
	p.arrival.PromptTokens = prefix.Tokens(len(prompt))
	p.arrival.Prefix = prefix.Hashes(prompt)
	p.arrival.MaxTokens = tokenLimit(route.MaxTokens, m.maxTokens, m.maxCompletionTokens)
	p.job.Body, err = m.askForStream(p.arrival.MaxTokens)
	return err
}

// tokenLimit returns the smallest limit that is set.
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
	return out
}

// readDeadline takes the caller's deadline, or the tier's.
func (p *parsed) readDeadline(c *fiber.Ctx, now time.Duration, tier resource.Tier) error {
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

// readKey takes the idempotency key, which a route that isn't idempotent needs.
func (p *parsed) readKey(c *fiber.Ctx) error {
	key := strings.Clone(c.Get(HeaderKey))
	if len(key) > maxKey {
		return result.New(result.BadRequest, HeaderKey+" is longer than "+strconv.Itoa(maxKey)+" bytes")
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

// readAttempt takes the number of the key's sending.
func (p *parsed) readAttempt(c *fiber.Ctx) error {
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

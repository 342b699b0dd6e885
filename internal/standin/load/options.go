// Package load sends a bounded, seeded, open-loop load of chat completions to
// an entry host and, for comparison, straight to endpoint stand-ins. It checks
// that every answer is whole and the one to its own request.
package load

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Bounds of a run.
const (
	// MaxRequests bounds the requests of one run.
	MaxRequests = 200_000
	// MaxDuration bounds the length of one run.
	MaxDuration = 10 * time.Minute
	// MaxRate bounds the requests per second.
	MaxRate = 5000
	// maxPromptTokens bounds one prompt.
	maxPromptTokens = 1 << 18
)

// Range is a range of lengths in tokens, both ends included.
type Range struct {
	Min int
	Max int
}

// Options describe a run.
type Options struct {
	// Target is the base URL of an entry host, or of an endpoint stand-in.
	Target string
	// Direct lists base URLs of endpoint stand-ins. Unless it is empty, every
	// request to Target has a twin of the same lengths that is sent straight to
	// one of these, in turn.
	Direct []string
	// Rate is the number of requests to Target per second.
	Rate float64
	// Duration is the time in which requests are sent.
	Duration time.Duration
	// Requests bounds the number of requests to Target.
	Requests int
	// MaxInFlight bounds the requests under way. A request over it isn't sent,
	// and is counted.
	MaxInFlight int
	// Seed fixes the times, lengths and texts of all requests.
	Seed uint64
	// Model is the model that requests ask for.
	Model string
	// Keys are bearer keys of teams; each request draws one.
	Keys []string
	// Tiers are names of tiers; each request draws one. Empty: the team's own.
	Tiers []string
	// Prompt and Output are the lengths of prompts and answers. Short ones are
	// more frequent: the logarithm of the length is spread evenly.
	Prompt Range
	Output Range
	// Families is the number of texts that prompts begin with; a prompt shares
	// the first half with others of its family. 0: prompts share nothing.
	Families int
	// Deadline is the time to the whole answer. An answer after it isn't good.
	Deadline time.Duration
}

// Check returns a result.Error for options that are out of bounds, or that
// would send load anywhere but to this machine.
func (o *Options) Check() error {
	for _, target := range append([]string{o.Target}, o.Direct...) {
		if err := checkLoopback(target); err != nil {
			return err
		}
	}
	switch {
	case !(o.Rate > 0 && o.Rate <= MaxRate):
		return invalid("the rate is not in (0, 5000] requests per second")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return invalid("the duration is not in (0, 10m]")
	case o.Requests <= 0 || o.Requests > MaxRequests:
		return invalid("the number of requests is not in 1 to 200000")
	case o.MaxInFlight <= 0:
		return invalid("the bound of requests under way is not above 0")
	case o.Deadline <= 0 || o.Deadline > MaxDuration:
		return invalid("the deadline is not in (0, 10m]")
	case !o.Prompt.valid() || !o.Output.valid():
		return invalid("a range of lengths is not within 1 to 262144 tokens")
	case o.Families < 0:
		return invalid("the number of families is below 0")
	}
	return nil
}

// valid says whether the range is in bounds and not empty.
func (r Range) valid() bool {
	return r.Min >= 1 && r.Min <= r.Max && r.Max <= maxPromptTokens
}

// checkLoopback refuses a base URL whose host isn't a loopback IP number.
func checkLoopback(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return invalid(err.Error())
	}
	if parsed.Scheme != "http" {
		return invalid("the target " + target + " is not an http URL")
	}
	addr, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !addr.IsLoopback() {
		return invalid("the target " + target + " is not a loopback IP address; load is sent to this machine alone")
	}
	return nil
}

// invalid returns the error for options that can't be used.
func invalid(reason string) error {
	return result.New(result.BadRequest, "load: "+reason)
}

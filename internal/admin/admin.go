// Package admin is the operators' HTTP interface of an entry host: resources,
// their watches, status, explanations and reports. Client is its counterpart
// for the command line.
package admin

import (
	"context"
	"crypto/subtle"
	"math"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/report"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Backend is what the interface shows of the running host. Its methods may be
// called from any goroutine and must return promptly.
type Backend interface {
	// Snapshot returns the resources in force at this host, or nil while it
	// has none.
	Snapshot() *resource.Snapshot
	// Hosts returns the entry hosts that this host knows, in order of name.
	Hosts() []HostStatus
	// Pools returns the pools in order of target and domain.
	Pools() []PoolStatus
	// Quarantine returns the suspects in a stable order.
	Quarantine() []QuarantineStatus
	// Explain returns what is known of a request in order of time; empty if
	// nothing is known.
	Explain(ctx context.Context, id ident.Request) []Record
}

// Options are the parts of a Server beside the running host.
type Options struct {
	// Store is where changes are made.
	Store *resource.Store
	// Reports works out burn reports; nil: there are none.
	Reports *report.Reader
	// Token is the bearer token that operators must send; empty: none.
	Token string
	// ApplyTimeout bounds one change; 0 stands for DefaultApplyTimeout.
	ApplyTimeout time.Duration
}

// Timeouts of a Server.
const (
	// DefaultApplyTimeout bounds one change.
	DefaultApplyTimeout = 15 * time.Second
	readTimeout         = 20 * time.Second
	pollInterval        = 200 * time.Millisecond
	watchHeartbeat      = 5 * time.Second
	maxWait             = 30 * time.Second
)

// Server serves the interface.
type Server struct {
	backend Backend
	options Options
	app     *fiber.App
	// closing ends watches and waits when the server stops.
	closing chan struct{}
	once    sync.Once
}

// New returns a Server that isn't listening yet.
func New(backend Backend, options Options) *Server {
	if options.ApplyTimeout == 0 {
		options.ApplyTimeout = DefaultApplyTimeout
	}
	s := &Server{backend: backend, options: options, closing: make(chan struct{})}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Strings outlive their handlers in watches.
		Immutable:    true,
		BodyLimit:    inifile.MaxSize,
		ReadTimeout:  readTimeout,
		ErrorHandler: writeError,
	})
	s.app.Use(s.authorize)
	s.routes()
	return s
}

// routes binds the paths.
func (s *Server) routes() {
	s.app.Post("/v1/apply", s.apply)
	s.app.Post("/v1/drain/:endpoint", s.drain)
	s.app.Get("/v1/wait", s.wait)
	s.app.Get("/v1/watch", s.watch)
	s.app.Get("/v1/resources/:kind", s.list)
	s.app.Get("/v1/resources/:kind/:name", s.list)
	s.app.Get("/v1/status/hosts", func(c *fiber.Ctx) error { return c.JSON(s.hosts()) })
	s.app.Get("/v1/status/pools", func(c *fiber.Ctx) error { return c.JSON(s.backend.Pools()) })
	s.app.Get("/v1/status/quarantine", func(c *fiber.Ctx) error { return c.JSON(s.backend.Quarantine()) })
	s.app.Get("/v1/explain/:id", s.explain)
	s.app.Get("/v1/report/burn", s.burn)
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.app.Listener(listener), "admin")
}

// Shutdown ends watches and waits, finishes the other calls and closes the
// listener.
func (s *Server) Shutdown(ctx context.Context) error {
	s.once.Do(func() { close(s.closing) })
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "admin")
}

// authorize refuses calls without the operators' token.
func (s *Server) authorize(c *fiber.Ctx) error {
	if s.options.Token == "" {
		return c.Next()
	}
	want := []byte("Bearer " + s.options.Token)
	if subtle.ConstantTimeCompare([]byte(c.Get(fiber.HeaderAuthorization)), want) != 1 {
		return result.New(result.Unauthorized, "the operators' token is missing or wrong")
	}
	return c.Next()
}

// writeError answers a failed call with an ErrorBody.
func writeError(c *fiber.Ctx, err error) error {
	body := errorBody(err)
	status := fiber.StatusInternalServerError
	if info, ok := result.Lookup(body.Code); ok {
		status = info.Status
	}
	if body.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, itoa(body.RetryAfter))
	}
	return c.Status(status).JSON(body)
}

// errorBody describes an error.
func errorBody(err error) ErrorBody {
	var coded *result.Error
	var problems inifile.Problems
	var framework *fiber.Error
	body := ErrorBody{Code: result.Internal, Reason: err.Error()}
	switch {
	case errors.As(err, &coded):
		body.Code = coded.Code
		body.Reason = coded.Reason
		body.RetryAfter = int(math.Ceil(coded.RetryAfter.Seconds()))
	case errors.As(err, &problems):
		body.Code = result.InvalidConfig
		body.Problems = problems
	case errors.As(err, &framework):
		body.Code = frameworkCode(framework.Code)
		body.Reason = framework.Message
	}
	body.Name = body.Code.String()
	return body
}

// frameworkCode returns the result code for a status that fiber gave.
func frameworkCode(status int) result.Code {
	switch status {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return result.NotFound
	case fiber.StatusRequestEntityTooLarge:
		return result.TooLarge
	case fiber.StatusInternalServerError:
		return result.Internal
	}
	return result.BadRequest
}

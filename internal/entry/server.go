// Package entry serves callers over HTTP: it checks and identifies requests,
// hands them to control, and writes answers as they come.
package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

const (
	// maxBody bounds a request body in bytes, whatever its route allows.
	maxBody = 16 << 20
	// readTimeout bounds the reading of a request from a slow caller.
	readTimeout = 15 * time.Second
	// writeTimeout bounds the wait for a caller that doesn't read its answer.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept.
	idleTimeout = 60 * time.Second
)

// Options configures a Server.
type Options struct {
	Host        ident.Host
	Incarnation uint64
	// Post hands an event to control.
	Post func(control.Event)
	// Runner carries the requests to endpoints.
	Runner *traffic.Runner
	// Now is control's clock.
	Now func() time.Duration
	// Observe is told of each final answer.
	Observe func(Outcome)
	// Metrics serves scrapes.
	Metrics http.Handler
}

// Outcome is one request's final answer, for metrics and reports.
type Outcome struct {
	ID   ident.Request
	Tier ident.Tier
	Team ident.Team
	Code result.Code
	// InTime says that the whole answer came before the deadline.
	InTime bool
	// FirstToken and Total are times since the request came; FirstToken is 0
	// where no part came.
	FirstToken time.Duration
	Total      time.Duration
	// QueueWait is the time to the dispatch; 0 where there was none.
	QueueWait time.Duration
	// Tokens of the prompt, of its part that the endpoint had cached, and of
	// the answer.
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Server serves callers.
type Server struct {
	opts     Options
	app      *fiber.App
	index    atomic.Pointer[index]
	ids      idSource
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a server that isn't ready until it has a configuration.
func New(opts Options) *Server {
	s := &Server{opts: opts, ids: newIDSource(opts.Host, opts.Incarnation)}
	s.app = fiber.New(fiber.Config{
		BodyLimit:             maxBody,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		ErrorHandler:          answerFiberError,
	})
	s.app.Server().Handler = checkMethod(s.app.Server().Handler)
	s.app.Use(s.closeWhenDraining)
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", adaptor.HTTPHandler(opts.Metrics))
	s.app.All("/*", s.serve)
	return s
}

// Configure brings a configuration into force.
func (s *Server) Configure(snap *resource.Snapshot) {
	s.index.Store(newIndex(snap))
}

// Serve answers callers on a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.app.Listener(ln), "entry: serve")
}

// Drain turns readiness off, so that the balancer sends no more callers. What
// still comes is served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Ready reports whether callers are to be sent here.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.index.Load() != nil
}

// Active returns the number of callers being served.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// Shutdown closes the listener and waits for the callers being served.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.app.Shutdown(), "entry: shutdown")
}

// closeWhenDraining ends the connection of each caller that is answered during
// a planned stop, so that its next request goes to another host.
func (s *Server) closeWhenDraining(c *fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Context().SetConnectionClose()
	}
	return err
}

// ready answers the balancer.
func (s *Server) ready(c *fiber.Ctx) error {
	switch {
	case s.draining.Load():
		return answerError(c, result.New(result.Stopping, "the host is stopping"))
	case s.index.Load() == nil:
		return answerError(c, result.New(result.NotReady, "no configuration yet"))
	}
	return c.SendString("ready\n")
}

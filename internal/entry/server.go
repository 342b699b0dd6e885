// Package entry serves callers over HTTP: it authenticates and validates requests, posts
// them to the control loop, and writes answers as they arrive.
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
	// maxBodyBytes bounds a request body, whatever its route allows.
	maxBodyBytes = 16 << 20
	// readTimeout bounds the time to read a request from a slow caller.
	readTimeout = 15 * time.Second
	// writeTimeout bounds a write to a caller that doesn't read its answer.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 60 * time.Second
)

// Options configures a Server.
type Options struct {
	Host        ident.Host
	Incarnation uint64
	// Post posts an event to the control loop.
	Post func(control.Event)
	// Runner executes requests on endpoints.
	Runner *traffic.Runner
	// Now returns the time on the clock of the control loop.
	Now func() time.Duration
	// OnOutcome is called with the outcome of each request.
	OnOutcome func(Outcome)
	// Metrics serves metrics scrapes.
	Metrics http.Handler
}

// Outcome is the outcome of one request, for metrics and reports.
type Outcome struct {
	ID   ident.Request
	Tier ident.Tier
	Team ident.Team
	Code result.Code
	// InTime reports whether the answer was complete before the deadline.
	InTime bool
	// FirstToken and Total are the times from the request's arrival to the first part and
	// to the end of the answer. FirstToken is 0 if there was no part.
	FirstToken time.Duration
	Total      time.Duration
	// QueueWait is the time from arrival to dispatch, or 0 if the request wasn't dispatched.
	QueueWait time.Duration
	// PromptTokens, CachedTokens and OutputTokens count the tokens of the prompt, of the
	// part of it that the endpoint had cached, and of the answer.
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Server is the HTTP server for callers.
type Server struct {
	opts     Options
	app      *fiber.App
	index    atomic.Pointer[index]
	ids      idSource
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a server. It isn't ready until Configure is called.
func New(opts Options) *Server {
	s := &Server{opts: opts, ids: newIDSource(opts.Host, opts.Incarnation)}
	s.app = fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		ErrorHandler:          handleFiberError,
	})
	s.app.Server().Handler = rejectUnknownMethods(s.app.Server().Handler)
	s.app.Use(s.closeWhenDraining)
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.serveReady)
	s.app.Get("/metrics", adaptor.HTTPHandler(opts.Metrics))
	s.app.All("/*", s.serve)
	return s
}

// Configure puts a configuration into effect.
func (s *Server) Configure(snapshot *resource.Snapshot) {
	s.index.Store(newIndex(snapshot))
}

// Serve serves callers on a listener until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.app.Listener(ln), "entry: serve")
}

// Drain makes the server report not ready, so that the load balancer sends no more callers.
// Requests that still arrive are served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Ready reports whether the load balancer should send callers to this host.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.index.Load() != nil
}

// Active returns the number of callers being served.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// Shutdown closes the listener and waits until the active requests are finished.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.app.Shutdown(), "entry: shutdown")
}

// closeWhenDraining closes each connection after its response while the host drains, so that
// the caller's next request goes to another host.
func (s *Server) closeWhenDraining(c *fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Context().SetConnectionClose()
	}
	return err
}

// serveReady answers the load balancer's readiness check.
func (s *Server) serveReady(c *fiber.Ctx) error {
	switch {
	case s.draining.Load():
		return writeError(c, result.New(result.Stopping, "the host is stopping"))
	case s.index.Load() == nil:
		return writeError(c, result.New(result.NotReady, "no configuration yet"))
	}
	return c.SendString("ready\n")
}

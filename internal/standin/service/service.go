// Package service is a small stand-in for a plain HTTP service that books
// something on every call. It counts the calls, so that a call that ran twice
// is seen.
package service

import (
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

// Paths of the stand-in's own controls. Bodies are JSON. Every other path takes
// bookings by any method.
const (
	// PathArrivals answers Arrivals.
	PathArrivals = "/standin/arrivals"
)

const (
	maxBody     = 16 << 20
	idleTimeout = 2 * time.Minute
	closeGrace  = time.Second
)

// Options configure a Server.
type Options struct {
	// Name is the endpoint's name.
	Name string
	// Delay is the time from reading a call to its booking.
	Delay time.Duration
}

// Booking answers one call.
type Booking struct {
	// Request is the id of the request.
	Request string `json:"request"`
	// Number counts the bookings of this service from 1.
	Number int `json:"number"`
	// Service is the endpoint's name.
	Service string `json:"service"`
	// Path is the path of the call.
	Path string `json:"path"`
	// Body is the fingerprint of the call's body, as in Arrivals.
	Body string `json:"body"`
}

// Arrivals counts the calls that were read.
type Arrivals struct {
	// Requests counts by request id.
	Requests map[string]int `json:"requests"`
	// Bodies counts by BodyKey.
	Bodies map[string]int `json:"bodies"`
	// Bookings is the number of bookings made.
	Bookings int `json:"bookings"`
}

// BodyKey names a call by its path and body.
func BodyKey(path string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Server offers one plain service over HTTP.
type Server struct {
	options Options
	boot    string
	app     *fiber.App

	mu       sync.Mutex
	arrivals Arrivals
}

// New returns a service that isn't running yet.
func New(options Options) *Server {
	s := &Server{
		options: options,
		boot:    strconv.FormatInt(time.Now().UnixNano(), 36),
		arrivals: Arrivals{
			Requests: map[string]int{},
			Bodies:   map[string]int{},
		},
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			BodyLimit:             maxBody,
			IdleTimeout:           idleTimeout,
			Immutable:             true,
		}),
	}
	s.app.Get(PathArrivals, s.getArrivals)
	s.app.Use(s.book)
	return s
}

// Serve answers calls on a listener until Close is called.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.app.Listener(listener), "serve service")
}

// Close stops the service. Calls in progress have a second to end.
func (s *Server) Close() error {
	return errors.Wrap(s.app.ShutdownWithTimeout(closeGrace), "close service")
}

// Arrivals returns the counts so far.
func (s *Server) Arrivals() Arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Arrivals{
		Requests: maps.Clone(s.arrivals.Requests),
		Bodies:   maps.Clone(s.arrivals.Bodies),
		Bookings: s.arrivals.Bookings,
	}
}

// book counts a call, makes its booking and answers it.
func (s *Server) book(c *fiber.Ctx) error {
	request := c.Get(engine.HeaderRequest)
	key := BodyKey(c.Path(), c.Body())
	s.count(request, key)
	time.Sleep(s.options.Delay)
	c.Set(engine.HeaderBoot, s.boot)
	return c.JSON(Booking{
		Request: request,
		Number:  s.nextNumber(),
		Service: s.options.Name,
		Path:    c.Path(),
		Body:    key,
	})
}

// count counts a call that was read.
func (s *Server) count(request, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.Requests[request]++
	s.arrivals.Bodies[key]++
}

// nextNumber makes a booking and returns its number.
func (s *Server) nextNumber() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.Bookings++
	return s.arrivals.Bookings
}

func (s *Server) getArrivals(c *fiber.Ctx) error {
	return c.JSON(s.Arrivals())
}

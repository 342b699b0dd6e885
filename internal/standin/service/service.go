// Package service is a small stand-in for a plain HTTP service that books
// something on every call. It counts the calls, so that a call that ran twice
// is seen. Switches bring about failures.
package service

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

// Paths of the stand-in's own controls. Bodies are JSON. Every other path takes
// bookings by any method.
const (
	// PathSwitch takes Switches by POST; they replace all switches.
	PathSwitch = "/standin/switch"
	// PathArrivals answers Arrivals.
	PathArrivals = "/standin/arrivals"
)

// HeaderIdempotencyKey is the header by whose value Arrivals counts keys.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	maxBody     = 16 << 20
	idleTimeout = 2 * time.Minute
	// closeGrace bounds the time that calls have to end at Close.
	closeGrace = time.Second
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
	// Keys counts by idempotency key, of calls that have one.
	Keys map[string]int `json:"keys"`
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
	listener *conns.Listener
	closed   bool
	switches Switches
	arrivals Arrivals
}

// New returns a service that isn't running yet.
func New(options Options) *Server {
	s := &Server{
		options: options,
		boot:    uuid.NewString(),
		arrivals: Arrivals{
			Requests: map[string]int{},
			Keys:     map[string]int{},
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
	s.app.Post(PathSwitch, s.postSwitches)
	s.app.Use(s.book)
	return s
}

// Serve answers calls on a listener until Close is called.
func (s *Server) Serve(listener net.Listener) error {
	wrapped := conns.Wrap(listener)
	s.mu.Lock()
	s.listener = wrapped
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return wrapped.Close()
	}
	return conns.Serve(s.app, wrapped)
}

// Close stops the service. Calls in progress have a second to end.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	return conns.Close(s.app, listener, closeGrace)
}

// Set replaces all switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// Arrivals returns the counts so far.
func (s *Server) Arrivals() Arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Arrivals{
		Requests: maps.Clone(s.arrivals.Requests),
		Keys:     maps.Clone(s.arrivals.Keys),
		Bodies:   maps.Clone(s.arrivals.Bodies),
		Bookings: s.arrivals.Bookings,
	}
}

// book counts a call, makes its booking and answers it.
func (s *Server) book(c *fiber.Ctx) error {
	request := c.Get(engine.HeaderRequest)
	body := BodyKey(c.Path(), c.Body())
	switches, unanswered := s.arrive(request, c.Get(HeaderIdempotencyKey), body)
	time.Sleep(s.options.Delay + switches.Slow)
	number := s.nextNumber()
	if unanswered {
		return conns.CloseUnanswered(c)
	}
	time.Sleep(switches.Late)
	c.Set(engine.HeaderBoot, s.boot)
	return c.JSON(Booking{
		Request: request,
		Number:  number,
		Service: s.options.Name,
		Path:    c.Path(),
		Body:    body,
	})
}

// arrive counts a call that was read. It returns the switches that hold for it
// and whether its connection is to be closed without an answer.
func (s *Server) arrive(request, key, body string) (switches Switches, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals.Requests[request]++
	s.arrivals.Bodies[body]++
	if key != "" {
		s.arrivals.Keys[key]++
	}
	unanswered = s.switches.takeClose()
	return s.switches, unanswered
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

func (s *Server) postSwitches(c *fiber.Ctx) error {
	var switches Switches
	if err := json.Unmarshal(c.Body(), &switches); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	s.Set(switches)
	return c.JSON(switches)
}

package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

const (
	maxBody     = 64 << 20
	idleTimeout = 2 * time.Minute
	// closeGrace bounds the time that streams have to end at Close.
	closeGrace = time.Second
)

// Server offers one engine over HTTP.
type Server struct {
	options  Options
	arrivals *arrivalLog
	orders   *orderBook
	// ctx ends at Close.
	ctx    context.Context
	cancel context.CancelFunc
	// workers drive the models of all incarnations.
	workers conc.WaitGroup

	mu       sync.Mutex
	current  *incarnation
	switches Switches
	// lastName numbers the requests that come without an id.
	lastName int
}

// New returns an engine that isn't running yet.
func New(options Options) *Server {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		options:  options,
		arrivals: newArrivalLog(),
		orders:   newOrderBook(options),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Serve runs the engine on a listener until Close is called. After a crash it
// listens on the same address again.
func (s *Server) Serve(listener net.Listener) error {
	defer s.workers.Wait()
	for {
		inc := s.start(listener)
		if inc == nil {
			return errors.Wrap(listener.Close(), "close engine")
		}
		if err := conns.Serve(inc.app, inc.listener); err != nil {
			return err
		}
		if s.ctx.Err() != nil {
			return nil
		}
		next, err := s.restart(listener.Addr())
		if next == nil {
			return err
		}
		listener = next
	}
}

// Close stops the engine. Streams have a second to end.
func (s *Server) Close() error {
	s.mu.Lock()
	s.cancel()
	inc := s.current
	s.mu.Unlock()
	if inc == nil {
		return nil
	}
	err := conns.Close(inc.app, inc.listener, closeGrace)
	inc.cancel()
	return err
}

// Arrivals returns the counts of requests so far.
func (s *Server) Arrivals() Arrivals {
	return s.arrivals.snapshot()
}

// Set replaces all switches.
func (s *Server) Set(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	if s.current != nil {
		s.current.model.SetSlow(switches.slowFactor())
	}
}

// Switches returns the switches as they stand now.
func (s *Server) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Silence makes all connections that are open now go silent for good. New ones
// work.
func (s *Server) Silence() {
	if inc := s.running(); inc != nil {
		inc.listener.Silence()
	}
}

// Crash kills the engine: its connections are cut, callers are refused, and
// after the restart delay a new incarnation starts that knows nothing.
func (s *Server) Crash() {
	if inc := s.running(); inc != nil {
		s.crash(inc)
	}
}

// running returns the current incarnation.
func (s *Server) running() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// start begins an incarnation. It returns nil after Close.
func (s *Server) start(listener net.Listener) *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil
	}
	inc := newIncarnation(s.options, conns.Wrap(listener))
	inc.app = s.newApp(inc)
	inc.model.SetSlow(s.switches.slowFactor())
	s.orders.reset(inc.boot)
	s.current = inc
	s.workers.Go(func() { s.drive(inc) })
	return inc
}

// restart waits for the restart delay and listens again. It returns nil after
// Close.
func (s *Server) restart(addr net.Addr) (net.Listener, error) {
	release, err := conns.Hold(addr.(*net.TCPAddr))
	if err != nil {
		return nil, err
	}
	defer release()
	if !sleep(s.ctx, s.options.RestartDelay) {
		return nil, nil
	}
	listener, err := net.Listen("tcp", addr.String())
	return listener, errors.Wrap(err, "listen again")
}

// crash ends an incarnation. Connections are cut before anything else, so that
// no stream can still end in good order.
func (s *Server) crash(inc *incarnation) {
	s.mu.Lock()
	first := !inc.crashed
	inc.crashed = true
	s.mu.Unlock()
	if !first {
		return
	}
	inc.listener.Kill()
	inc.cancel()
}

// drive steps the model whenever it has something to do.
func (s *Server) drive(inc *incarnation) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for inc.ctx.Err() == nil {
		s.mu.Lock()
		crash := inc.step()
		next, busy := inc.model.Next()
		s.mu.Unlock()
		if crash {
			s.crash(inc)
			return
		}
		timer.Stop()
		if busy {
			timer.Reset(max(0, next-inc.now()))
		}
		select {
		case <-timer.C:
		case <-inc.wake:
		case <-inc.ctx.Done():
		}
	}
}

// newApp returns the HTTP side of an incarnation.
func (s *Server) newApp(inc *incarnation) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxBody,
		IdleTimeout:           idleTimeout,
		Immutable:             true,
	})
	h := &handler{server: s, inc: inc}
	h.routes(app)
	return app
}

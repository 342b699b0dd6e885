package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

// Paths of the stand-in's own controls. Bodies are JSON.
const (
	// PathSwitch takes Switches by POST; they replace all switches.
	PathSwitch = "/standin/switch"
	// PathSilence calls Server.Silence by POST. Its own answer is lost too.
	PathSilence = "/standin/silence"
	// PathCounters answers Counters.
	PathCounters = "/standin/counters"
)

const (
	maxBody     = 64 << 20
	idleTimeout = time.Minute
	// closeGrace bounds the time that calls have to end at Close.
	closeGrace = time.Second
	// refusedValue is the value of platform.HeaderRefused.
	refusedValue = "before-effect"
)

// Server offers the services over HTTP.
type Server struct {
	store *store
	app   *fiber.App

	mu       sync.Mutex
	listener *conns.Listener
	closed   bool
}

// New returns a server with empty services. Call Serve to answer calls.
func New(options Options) *Server {
	s := &Server{
		store: newStore(options),
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			BodyLimit:             maxBody,
			IdleTimeout:           idleTimeout,
			Immutable:             true,
		}),
	}
	s.routes()
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

// Handler returns the HTTP handler for use without a listener.
func (s *Server) Handler() fasthttp.RequestHandler {
	return s.app.Handler()
}

// Close stops the server. Calls in progress have a second to end.
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
	s.store.setSwitches(switches)
}

// Silence makes all connections that are open now go silent for good. New ones
// work.
func (s *Server) Silence() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.Silence()
	}
}

// Switches returns the switches as they stand now.
func (s *Server) Switches() Switches {
	return s.store.currentSwitches()
}

// Counters returns the counters as they stand now.
func (s *Server) Counters() Counters {
	return s.store.currentCounters()
}

// routes registers every path.
func (s *Server) routes() {
	s.app.Get(platform.PathRow, s.reading(OperationGet, s.getRow))
	s.app.Get(platform.PathRows, s.reading(OperationList, s.listRows))
	s.app.Post(platform.PathCommit, s.writing(OperationCommit, s.commit))
	s.app.Get(platform.PathObject, s.reading(OperationGetObject, s.getObject))
	s.app.Put(platform.PathObject, s.writing(OperationPutObject, s.putObject))
	s.app.Get(platform.PathObjectKeys, s.reading(OperationListObjects, s.listObjects))
	s.app.Post(platform.PathReserve, s.writing(OperationReserve, s.reserve))
	s.app.Get(platform.PathHosts, s.reading(OperationListHosts, s.listHosts))
	s.app.Post(platform.PathHosts, s.writing(OperationRegister, s.register))
	s.app.Post(PathSwitch, s.postSwitches)
	s.app.Post(PathSilence, s.postSilence)
	s.app.Get(PathCounters, s.getCounters)
}

// reading applies the switches for reads to a handler.
func (s *Server) reading(operation Operation, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		v := s.store.admitRead(operation, time.Now())
		if v.err != nil {
			return sendError(c, v.err)
		}
		time.Sleep(v.delay)
		return handler(c)
	}
}

// writing applies the switches for writes to a handler.
func (s *Server) writing(operation Operation, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		v := s.store.admitWrite(operation, time.Now())
		if v.err != nil {
			return sendError(c, v.err)
		}
		time.Sleep(v.delay)
		if v.drop {
			return conns.CloseUnanswered(c)
		}
		err := handler(c)
		if v.lose {
			return conns.CloseUnanswered(c)
		}
		return err
	}
}

func (s *Server) getRow(c *fiber.Ctx) error {
	row, err := s.store.get(c.Query("key"))
	return send(c, row, err)
}

func (s *Server) listRows(c *fiber.Ctx) error {
	rows := s.store.list(c.Query("prefix"), c.Query("after"), c.QueryInt("limit"))
	return send(c, rows, nil)
}

func (s *Server) commit(c *fiber.Ctx) error {
	var txn platform.Txn
	if err := cbor.Unmarshal(c.Body(), &txn); err != nil {
		return sendBadRequest(c, err)
	}
	version, err := s.store.commit(txn)
	return send(c, platform.Committed{Version: version}, err)
}

func (s *Server) getObject(c *fiber.Ctx) error {
	value, err := s.store.getObject(c.Query("key"))
	if err != nil {
		return sendError(c, err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(value)
}

func (s *Server) putObject(c *fiber.Ctx) error {
	s.store.putObject(c.Query("key"), c.Body())
	return c.SendStatus(http.StatusOK)
}

func (s *Server) listObjects(c *fiber.Ctx) error {
	return send(c, s.store.listObjects(c.Query("prefix")), nil)
}

func (s *Server) reserve(c *fiber.Ctx) error {
	wait, err := s.store.reserve(time.Now())
	if err != nil {
		c.Status(http.StatusTooManyRequests)
	}
	return send(c, platform.Limited{Wait: wait}, nil)
}

func (s *Server) listHosts(c *fiber.Ctx) error {
	return send(c, s.store.listHosts(time.Now()), nil)
}

func (s *Server) register(c *fiber.Ctx) error {
	var entry platform.HostEntry
	if err := cbor.Unmarshal(c.Body(), &entry); err != nil {
		return sendBadRequest(c, err)
	}
	s.store.register(entry, time.Now())
	return c.SendStatus(http.StatusOK)
}

func (s *Server) postSwitches(c *fiber.Ctx) error {
	var switches Switches
	if err := json.Unmarshal(c.Body(), &switches); err != nil {
		return sendBadRequest(c, err)
	}
	s.Set(switches)
	return c.JSON(switches)
}

func (s *Server) postSilence(c *fiber.Ctx) error {
	s.Silence()
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) getCounters(c *fiber.Ctx) error {
	return c.JSON(s.Counters())
}

// send answers with a CBOR body, or with the status of an error.
func send(c *fiber.Ctx, body any, err error) error {
	if err != nil {
		return sendError(c, err)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	c.Set(fiber.HeaderContentType, platform.ContentType)
	return c.Send(data)
}

// sendError answers with the status that stands for one of the errors of
// package platform.
func sendError(c *fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return c.SendStatus(http.StatusConflict)
	case errors.Is(err, platform.ErrNotFound):
		return c.SendStatus(http.StatusNotFound)
	case errors.Is(err, platform.ErrLimited):
		c.Status(http.StatusTooManyRequests)
		return send(c, platform.Limited{}, nil)
	case errors.Is(err, platform.ErrUnavailable):
		c.Set(platform.HeaderRefused, refusedValue)
		return c.SendStatus(http.StatusServiceUnavailable)
	default:
		return c.SendStatus(http.StatusInternalServerError)
	}
}

// sendBadRequest answers that the body can't be read.
func sendBadRequest(c *fiber.Ctx, err error) error {
	return c.Status(http.StatusBadRequest).SendString(err.Error())
}

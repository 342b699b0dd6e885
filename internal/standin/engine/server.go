package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// Paths of the stand-in's own controls. Bodies are JSON.
const (
	// PathSwitch takes Switches by POST; they replace all switches.
	PathSwitch = "/standin/switch"
	// PathArrivals answers Arrivals.
	PathArrivals = "/standin/arrivals"
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

	mu       sync.Mutex
	current  *incarnation
	app      *fiber.App
	lastName int
	// workers are the drivers and the servers of all incarnations.
	workers conc.WaitGroup
}

// New returns an engine that isn't running yet.
func New(options Options) *Server {
	return &Server{options: options.withDefaults(), arrivals: newArrivalLog()}
}

// Serve runs the engine on a listener until Close is called.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	inc := newIncarnation(s.options.Speed)
	app := s.newApp(inc)
	s.current, s.app = inc, app
	s.mu.Unlock()
	s.workers.Go(func() { s.drive(inc) })
	return errors.Wrap(app.Listener(listener), "serve engine")
}

// Close stops the engine. Streams have a second to end.
func (s *Server) Close() error {
	s.mu.Lock()
	inc, app := s.current, s.app
	s.mu.Unlock()
	if inc == nil {
		return nil
	}
	inc.cancel()
	err := app.ShutdownWithTimeout(closeGrace)
	s.workers.Wait()
	return errors.Wrap(err, "close engine")
}

// Arrivals returns the counts of requests so far.
func (s *Server) Arrivals() Arrivals {
	return s.arrivals.snapshot()
}

// newApp returns the HTTP side of an incarnation.
func (s *Server) newApp(inc *incarnation) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxBody,
		IdleTimeout:           idleTimeout,
		Immutable:             true,
	})
	app.Use(func(c *fiber.Ctx) error {
		c.Set(engine.HeaderBoot, inc.boot)
		return c.Next()
	})
	h := &handler{server: s, inc: inc}
	app.Post(engine.PathChat, h.chat)
	app.Get(engine.PathResume+":id"+engine.SuffixStream, h.resume)
	app.Delete(engine.PathResume+":id", h.cancel)
	app.Get(engine.PathLoad, h.load)
	app.Get(PathArrivals, h.arrivals)
	return app
}

// drive steps the model whenever it has something to do.
func (s *Server) drive(inc *incarnation) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.mu.Lock()
		inc.step()
		next, busy := inc.model.Next()
		s.mu.Unlock()
		if busy {
			timer.Reset(max(0, next-inc.now()))
		} else {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-inc.wake:
		case <-inc.ctx.Done():
			return
		}
	}
}

// handler answers the calls to one incarnation.
type handler struct {
	server *Server
	inc    *incarnation
}

// chat runs a chat completion.
func (h *handler) chat(c *fiber.Ctx) error {
	var request ChatRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return sendFailure(c, http.StatusBadRequest, err.Error())
	}
	r := h.accept(c, &request)
	if request.Stream {
		return h.stream(c, r, 0)
	}
	return h.whole(c, r)
}

// accept counts a request and starts it.
func (h *handler) accept(c *fiber.Ctx, request *ChatRequest) *run {
	prompt := request.Prompt()
	r := &run{
		id:          c.Get(engine.HeaderRequest),
		model:       request.Model,
		created:     time.Now(),
		fingerprint: Fingerprint(prompt),
		promptSize:  prefix.Tokens(len(prompt)),
		length:      request.Length(prompt),
		changed:     make(chan struct{}),
	}
	s := h.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.id == "" {
		s.lastName++
		r.id = "direct-" + strconv.Itoa(s.lastName)
	}
	s.arrivals.add(r.id, c.Get(engine.HeaderAttempt), prompt)
	h.inc.submit(r, prefix.Hashes(prompt))
	return r
}

// resume streams the answer to a known request again.
func (h *handler) resume(c *fiber.Ctx) error {
	h.server.mu.Lock()
	r := h.inc.runs[c.Params("id")]
	h.server.mu.Unlock()
	from := c.QueryInt("from")
	if r == nil {
		return sendFailure(c, http.StatusNotFound, "unknown request")
	}
	if from < 0 || from > r.length {
		return sendFailure(c, http.StatusBadRequest, "no such sequence number")
	}
	return h.stream(c, r, from)
}

// cancel ends a request early.
func (h *handler) cancel(c *fiber.Ctx) error {
	h.server.mu.Lock()
	known := h.inc.abort(c.Params("id"))
	h.server.mu.Unlock()
	if !known {
		return sendFailure(c, http.StatusNotFound, "unknown request")
	}
	return c.SendStatus(http.StatusNoContent)
}

// load answers the load report.
func (h *handler) load(c *fiber.Ctx) error {
	h.server.mu.Lock()
	running, waiting := h.inc.model.Load()
	h.server.mu.Unlock()
	return c.JSON(engine.Load{Running: running, Waiting: waiting})
}

// arrivals answers the counts of requests.
func (h *handler) arrivals(c *fiber.Ctx) error {
	return c.JSON(h.server.Arrivals())
}

// failure is the body of an answer that refuses a call.
type failure struct {
	Error failureReason `json:"error"`
}

// failureReason says why.
type failureReason struct {
	Message string `json:"message"`
}

// sendFailure refuses a call.
func sendFailure(c *fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(failure{Error: failureReason{Message: reason}})
}

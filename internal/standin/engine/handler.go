package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/standin/conns"
)

// Paths of the stand-in's own controls. Bodies are JSON.
const (
	// PathSwitch takes Switches by POST; they replace all switches.
	PathSwitch = "/standin/switch"
	// PathSilence calls Server.Silence by POST. Its own answer may be lost too.
	PathSilence = "/standin/silence"
	// PathCrash calls Server.Crash by POST. It gets no answer.
	PathCrash = "/standin/crash"
	// PathArrivals answers Arrivals.
	PathArrivals = "/standin/arrivals"
)

// cacheEventsWait bounds the wait of a reader of cache events.
const cacheEventsWait = 10 * time.Second

// handler answers the calls to one incarnation.
type handler struct {
	server *Server
	inc    *incarnation
}

// routes registers every path.
func (h *handler) routes(app *fiber.App) {
	app.Use(h.boot)
	app.Post(engine.PathChat, h.chat)
	app.Get(engine.PathResume+":id"+engine.SuffixStream, h.resume)
	app.Delete(engine.PathResume+":id", h.cancel)
	app.Get(engine.PathLoad, h.load)
	app.Get(engine.PathCacheEvents, h.cacheEvents)
	app.Post(engine.PathOrders, h.order)
	app.Get(engine.PathState, h.state)
	app.Get(engine.PathKV+":hash", h.exportKV)
	app.Post(engine.PathKV, h.importKV)
	app.Post(PathSwitch, h.switches)
	app.Post(PathSilence, h.silence)
	app.Post(PathCrash, h.crash)
	app.Get(PathArrivals, h.arrivals)
}

// boot names the incarnation in every answer.
func (h *handler) boot(c *fiber.Ctx) error {
	c.Set(engine.HeaderBoot, h.inc.boot)
	return c.Next()
}

// chat runs a chat completion.
func (h *handler) chat(c *fiber.Ctx) error {
	var request ChatRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return sendFailure(c, http.StatusBadRequest, err.Error())
	}
	r, unanswered := h.accept(c, &request)
	if unanswered {
		return conns.CloseUnanswered(c)
	}
	if request.Stream {
		return h.stream(c, r, 0)
	}
	return h.whole(c, r)
}

// accept counts a request, starts it and says whether its connection is to be
// closed without an answer.
func (h *handler) accept(c *fiber.Ctx, request *ChatRequest) (r *run, unanswered bool) {
	prompt := request.Prompt()
	r = &run{
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
	r.crash = s.switches.crashes(prompt)
	s.arrivals.add(r.id, c.Get(engine.HeaderAttempt), prompt)
	h.inc.submit(r, prefix.Hashes(prompt))
	return r, s.switches.takeClose()
}

// resume streams the answer to a known request again.
func (h *handler) resume(c *fiber.Ctx) error {
	h.server.mu.Lock()
	r := h.inc.runs[c.Params("id")]
	h.server.mu.Unlock()
	if r == nil {
		return sendFailure(c, http.StatusNotFound, "unknown request")
	}
	from := c.QueryInt("from")
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
	load := h.inc.loads.report(h.inc.now())
	h.server.mu.Unlock()
	return c.JSON(load)
}

// cacheEvents waits for cache events after a sequence number and answers them.
func (h *handler) cacheEvents(c *fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return sendFailure(c, http.StatusBadRequest, "after is not a number")
	}
	deadline := h.inc.now() + cacheEventsWait
	for {
		h.server.mu.Lock()
		now := h.inc.now()
		page, pending := h.inc.cache.after(after, now)
		changed := h.inc.cache.changed
		h.server.mu.Unlock()
		if len(page) > 0 || now >= deadline || h.ended() {
			return c.JSON(engine.CacheEvents{Events: page, Boot: h.inc.boot})
		}
		until := deadline
		if pending > 0 {
			until = min(until, pending)
		}
		h.awaitUntil(changed, until)
	}
}

// ended says whether the incarnation has crashed or the server is closing.
func (h *handler) ended() bool {
	return h.inc.ctx.Err() != nil || h.server.ctx.Err() != nil
}

// awaitUntil waits for a change, a time or the end of the engine.
func (h *handler) awaitUntil(changed <-chan struct{}, until time.Duration) {
	timer := time.NewTimer(until - h.inc.now())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-h.inc.ctx.Done():
	case <-h.server.ctx.Done():
	}
}

// order carries out an order.
func (h *handler) order(c *fiber.Ctx) error {
	var order engine.Order
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return sendFailure(c, http.StatusBadRequest, err.Error())
	}
	state, err := h.server.orders.take(h.inc.ctx, order)
	if err != nil {
		return sendOrderError(c, err)
	}
	return c.JSON(state)
}

// state answers what is loaded.
func (h *handler) state(c *fiber.Ctx) error {
	return c.JSON(h.server.orders.current())
}

// exportKV answers the blocks up to a hash.
func (h *handler) exportKV(c *fiber.Ctx) error {
	hash, err := strconv.ParseUint(c.Params("hash"), 10, 64)
	if err != nil {
		return sendFailure(c, http.StatusBadRequest, "hash is not a number")
	}
	h.server.mu.Lock()
	hashes := h.inc.model.cache.chain(hash)
	h.server.mu.Unlock()
	if hashes == nil {
		return sendFailure(c, http.StatusNotFound, "block is not cached")
	}
	return c.JSON(engine.KV{Hashes: hashes})
}

// importKV stores blocks that another engine exported.
func (h *handler) importKV(c *fiber.Ctx) error {
	var kv engine.KV
	if err := json.Unmarshal(c.Body(), &kv); err != nil {
		return sendFailure(c, http.StatusBadRequest, err.Error())
	}
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	h.inc.model.store(kv.Hashes)
	h.inc.logCacheChanges()
	return c.SendStatus(http.StatusNoContent)
}

// switches replaces the switches.
func (h *handler) switches(c *fiber.Ctx) error {
	var switches Switches
	if err := json.Unmarshal(c.Body(), &switches); err != nil {
		return sendFailure(c, http.StatusBadRequest, err.Error())
	}
	h.server.Set(switches)
	return c.JSON(switches)
}

// silence makes the open connections go silent.
func (h *handler) silence(c *fiber.Ctx) error {
	h.server.Silence()
	return c.SendStatus(http.StatusNoContent)
}

// crash kills the engine.
func (h *handler) crash(*fiber.Ctx) error {
	h.server.crash(h.inc)
	return nil
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

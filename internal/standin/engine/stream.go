package engine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

// completion is the body of an answer that isn't streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   engine.Usage       `json:"usage"`
}

// completionChoice is the one alternative of a completion.
type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// completionMessage is the answer's text.
type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// view returns what a stream of the run may send now.
func (h *handler) view(r *run) view {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return r.view()
}

// await waits for a change after a view and says whether the engine still
// lives.
func (h *handler) await(v view) bool {
	select {
	case <-v.changed:
		return true
	case <-h.inc.ctx.Done():
		return false
	}
}

// stream sends the chunks of a run from a sequence number on as server-sent
// events.
func (h *handler) stream(c *fiber.Ctx, r *run, from int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().Response.ImmediateHeaderFlush = true
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		h.pump(w, r, from)
	})
	return nil
}

// pump writes chunks as they come, and the end marker after the last one. It
// writes no end marker if the run was canceled, the engine died or the
// connection broke.
func (h *handler) pump(w *bufio.Writer, r *run, from int) {
	next := from
	for {
		v := h.view(r)
		for ; next < v.produced; next++ {
			if writeChunk(w, r.chunk(next)) != nil {
				return
			}
		}
		if v.ended {
			if !v.canceled {
				_ = writeEvent(w, []byte(engine.DoneMarker))
			}
			return
		}
		if !h.await(v) {
			return
		}
	}
}

// whole waits for the end of a run and sends its answer as one body.
func (h *handler) whole(c *fiber.Ctx, r *run) error {
	v := h.view(r)
	for !v.ended {
		if !h.await(v) {
			return sendFailure(c, http.StatusServiceUnavailable, "stopping")
		}
		v = h.view(r)
	}
	if v.canceled {
		return sendFailure(c, http.StatusGone, "canceled")
	}
	var text strings.Builder
	for i := range r.length {
		text.WriteString(Word(r.fingerprint, i))
	}
	return c.JSON(completion{
		ID:      r.id,
		Object:  "chat.completion",
		Created: r.created.Unix(),
		Model:   r.model,
		Usage:   r.usage(),
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
	})
}

// writeChunk writes one chunk as an event.
func writeChunk(w *bufio.Writer, chunk engine.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	return writeEvent(w, data)
}

// writeEvent writes one server-sent event and sends it at once.
func writeEvent(w *bufio.Writer, data []byte) error {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return errors.Wrap(w.Flush(), "send event")
}

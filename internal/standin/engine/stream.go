package engine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"time"

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
	s := &stream{handler: h, run: r, next: from}
	h.server.mu.Lock()
	s.apply(h.server.switches.takeFaults())
	h.server.mu.Unlock()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Context().Response.ImmediateHeaderFlush = true
	c.Context().SetBodyStreamWriter(s.pump)
	return nil
}

// stream is one answer on its way to a caller.
type stream struct {
	handler *handler
	run     *run
	// next is the sequence number of the next chunk.
	next int
	late time.Duration
	// middle is the sequence number from which a fault shows.
	middle   int
	truncate bool
	// other is the run whose answer is sent from the middle on; nil: none.
	other *run
}

// apply sets the faults of the stream. The caller holds the server's mutex.
func (s *stream) apply(f faults) {
	s.late = f.late
	s.truncate = f.truncate
	s.middle = (s.next + s.run.length) / 2
	if f.cross {
		s.other = s.handler.inc.other(s.run)
	}
}

// pump writes chunks as they come, and the end marker after the last one. It
// writes no end marker if the run was canceled, the engine died, the connection
// broke or the stream is to be truncated.
func (s *stream) pump(w *bufio.Writer) {
	if s.late > 0 && !sleep(s.handler.inc.ctx, s.late) {
		return
	}
	for {
		v := s.handler.view(s.run)
		for ; s.next < v.produced; s.next++ {
			if s.truncate && s.next >= s.middle {
				return
			}
			if writeChunk(w, s.chunk()) != nil {
				return
			}
		}
		if v.ended {
			if !v.canceled {
				_ = writeEvent(w, []byte(engine.DoneMarker))
			}
			return
		}
		if !s.handler.await(v) {
			return
		}
	}
}

// chunk returns the next chunk.
func (s *stream) chunk() engine.Chunk {
	chunk := s.run.chunk(s.next)
	if s.other != nil && s.next >= s.middle {
		chunk.ID = s.other.id
		chunk.Choices[0].Delta.Content = Word(s.other.fingerprint, s.next)
	}
	return chunk
}

// whole waits for the end of a run and sends its answer as one body.
func (h *handler) whole(c *fiber.Ctx, r *run) error {
	if late := h.server.Switches().Late; late > 0 && !sleep(h.inc.ctx, late) {
		return sendFailure(c, http.StatusServiceUnavailable, "stopping")
	}
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

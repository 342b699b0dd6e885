package entry

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// callerCheckInterval is the interval at which the caller's connection is checked, since
// fasthttp doesn't report that a caller has disconnected.
const callerCheckInterval = 100 * time.Millisecond

// serve handles one caller's request.
func (s *Server) serve(c *fiber.Ctx) error {
	arrived := s.opts.Now()
	x := s.index.Load()
	if x == nil {
		return writeError(c, &result.Error{
			Code: result.NotReady, RetryAfter: time.Second, Reason: "no configuration yet",
		})
	}
	p, err := s.parse(c, x)
	if err != nil {
		return writeError(c, err)
	}
	s.active.Add(1)
	s.opts.Runner.Add(p.job)
	s.opts.Post(control.Arrived{Arrival: p.arrival})
	e := &exchange{server: s, request: p, conn: c.Context().Conn(), arrived: arrived}
	c.Set(HeaderRequest, string(p.job.ID))
	return e.writeAnswer(c)
}

// writeAnswer waits for the first part or the end of the answer, then writes the answer.
func (e *exchange) writeAnswer(c *fiber.Ctx) error {
	v := e.nextPart(0)
	switch {
	case !v.HasPart && v.Final.Code != result.OK:
		defer e.close(v.Final)
		return writeError(c, finalError(v.Final))
	case e.request.job.Type == resource.EndpointService:
		return e.writeServiceAnswer(c, v.Part)
	case e.request.stream:
		e.writeStream(c)
		return nil
	default:
		return e.writeCompletion(c)
	}
}

// writeServiceAnswer writes the answer of a plain service.
func (e *exchange) writeServiceAnswer(c *fiber.Ctx, body []byte) error {
	final := e.nextPart(1).Final
	defer e.close(final)
	if final.Code != result.OK {
		return writeError(c, finalError(final))
	}
	if final.ContentType != "" {
		c.Set(fiber.HeaderContentType, final.ContentType)
	}
	setCode(c, final.Code)
	return c.Status(final.Status).Send(body)
}

// finalError returns the end of an incomplete answer as an error.
func finalError(f *answer.Final) *result.Error {
	return &result.Error{Code: f.Code, Reason: f.Reason, RetryAfter: f.RetryAfter}
}

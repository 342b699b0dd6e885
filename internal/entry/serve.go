package entry

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// callerCheck is the time between two looks at whether a caller has left.
// fasthttp doesn't tell.
const callerCheck = 100 * time.Millisecond

// serve answers one request.
func (s *Server) serve(c *fiber.Ctx) error {
	came := s.opts.Now()
	x := s.index.Load()
	if x == nil {
		return answerError(c, &result.Error{
			Code: result.NotReady, RetryAfter: time.Second, Reason: "no configuration yet",
		})
	}
	p, err := s.parse(c, x)
	if err != nil {
		return answerError(c, err)
	}
	s.active.Add(1)
	s.opts.Runner.Add(p.job)
	s.opts.Post(control.Arrived{Arrival: p.arrival})
	e := &exchange{server: s, parsed: p, conn: c.Context().Conn(), came: came}
	c.Set(HeaderRequest, string(p.job.ID))
	return e.answer(c)
}

// answer waits for the first part or the end and writes the answer.
func (e *exchange) answer(c *fiber.Ctx) error {
	v := e.next(0)
	switch {
	case !v.HasPart && v.Final.Code != result.OK:
		defer e.close(v.Final)
		return answerError(c, finalError(v.Final))
	case e.parsed.job.Type == resource.EndpointService:
		return e.service(c, v.Part)
	case e.parsed.stream:
		e.stream(c)
		return nil
	default:
		return e.plain(c)
	}
}

// service writes a plain service's answer.
func (e *exchange) service(c *fiber.Ctx, body []byte) error {
	final := e.next(1).Final
	defer e.close(final)
	if final.ContentType != "" {
		c.Set(fiber.HeaderContentType, final.ContentType)
	}
	setCode(c, final.Code)
	return c.Status(final.Status).Send(body)
}

// finalError returns the error form of an end that is not a whole answer.
func finalError(f *answer.Final) *result.Error {
	return &result.Error{Code: f.Code, Reason: f.Reason, RetryAfter: f.RetryAfter}
}

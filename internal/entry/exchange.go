package entry

import (
	"bufio"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/sockpeek"
)

// exchange is one request and the answer being written to its caller.
type exchange struct {
	server *Server
	parsed *parsed
	conn   net.Conn
	came   time.Duration
	first  time.Duration
	gone   bool
	// checked is when the caller was last looked at.
	checked time.Time
}

// next waits for the part at position i or the end of the answer. Meanwhile it
// looks whether the caller is still there.
func (e *exchange) next(i int) answer.View {
	for {
		v := e.parsed.job.Answer.At(i)
		if v.HasPart || v.Final != nil {
			e.noteFirst(v)
			e.checkCaller()
			return v
		}
		timer := time.NewTimer(callerCheck)
		select {
		case <-v.Changed:
		case <-timer.C:
			e.checkCaller()
		}
		timer.Stop()
	}
}

// noteFirst keeps the time of the first part.
func (e *exchange) noteFirst(v answer.View) {
	if v.HasPart && e.first == 0 {
		e.first = e.server.opts.Now() - e.came
	}
}

// checkCaller tells control once that the caller has left. It looks at most
// every callerCheck, also while parts come faster than that.
func (e *exchange) checkCaller() {
	now := time.Now()
	if e.gone || now.Sub(e.checked) < callerCheck {
		return
	}
	e.checked = now
	if sockpeek.Closed(e.conn) {
		e.leave()
	}
}

// leave tells control that the caller has left.
func (e *exchange) leave() {
	if e.gone {
		return
	}
	e.gone = true
	e.server.opts.Post(control.CallerLeft{ID: e.parsed.job.ID})
}

// close ends the exchange and counts its outcome.
func (e *exchange) close(final *answer.Final) {
	s := e.server
	s.opts.Runner.Release(e.parsed.job)
	s.active.Add(-1)
	now := s.opts.Now()
	o := Outcome{
		ID: e.parsed.job.ID, Tier: e.parsed.tier, Team: e.parsed.arrival.Team,
		Code: final.Code, InTime: final.Code == result.OK && now <= e.parsed.arrival.Deadline,
		FirstToken: e.first, Total: now - e.came,
	}
	if run := e.parsed.job.Run(); run != nil {
		o.QueueWait = now - e.came - time.Since(run.Began)
		o.PromptTokens = run.End.PromptTokens
		o.CachedTokens = run.End.CachedTokens
		o.OutputTokens = run.End.OutputTokens
	}
	s.opts.Observe(o)
}

// stream writes the answer as server-sent events while it comes. A whole answer
// ends with the end marker; any other ends with an error event and without it.
func (e *exchange) stream(c *fiber.Ctx) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	setCode(c, result.OK)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		final := e.copyStream(w)
		e.close(final)
	})
}

// copyStream writes every part and the end. After the caller has left it goes
// on to the end without writing.
func (e *exchange) copyStream(w *bufio.Writer) *answer.Final {
	for i := 0; ; i++ {
		v := e.next(i)
		if v.HasPart {
			e.event(w, v.Part)
			continue
		}
		if v.Final.Code == result.OK {
			e.event(w, []byte(engine.DoneMarker))
		} else {
			e.event(w, finalError(v.Final).Body())
		}
		return v.Final
	}
}

// event writes one event. A failure to write means that the caller has left.
func (e *exchange) event(w *bufio.Writer, data []byte) {
	if e.gone {
		return
	}
	// The connection's write deadline was set when the header was sent.
	_ = e.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		e.leave()
	}
}

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

// exchange is one request and the writing of its answer to the caller.
type exchange struct {
	server     *Server
	request    *parsedRequest
	conn       net.Conn
	arrived    time.Duration
	firstToken time.Duration
	callerLeft bool
	// lastCallerCheck is when the caller's connection was last checked.
	lastCallerCheck time.Time
}

// nextPart waits for the part at position i or the end of the answer. While it waits, it
// checks that the caller is still connected.
func (e *exchange) nextPart(i int) answer.View {
	for {
		v := e.request.job.Answer.At(i)
		if v.HasPart || v.Final != nil {
			e.recordFirstToken(v)
			e.checkCaller()
			return v
		}
		timer := time.NewTimer(callerCheckInterval)
		select {
		case <-v.Changed:
		case <-timer.C:
			e.checkCaller()
		}
		timer.Stop()
	}
}

// recordFirstToken records the time of the first part.
func (e *exchange) recordFirstToken(v answer.View) {
	if v.HasPart && e.firstToken == 0 {
		e.firstToken = e.server.opts.Now() - e.arrived
	}
}

// checkCaller checks the caller's connection and reports to the control loop if the caller
// has left. It checks at most once per callerCheckInterval, however fast parts arrive.
func (e *exchange) checkCaller() {
	now := time.Now()
	if e.callerLeft || now.Sub(e.lastCallerCheck) < callerCheckInterval {
		return
	}
	e.lastCallerCheck = now
	if sockpeek.Closed(e.conn) {
		e.reportCallerLeft()
	}
}

// reportCallerLeft posts to the control loop, once, that the caller has left.
func (e *exchange) reportCallerLeft() {
	if e.callerLeft {
		return
	}
	e.callerLeft = true
	e.server.opts.Post(control.CallerLeft{ID: e.request.job.ID})
}

// close releases the request and reports its outcome.
func (e *exchange) close(final *answer.Final) {
	s := e.server
	s.opts.Runner.Release(e.request.job)
	s.active.Add(-1)
	now := s.opts.Now()
	o := Outcome{
		ID: e.request.job.ID, Tier: e.request.tier, Team: e.request.arrival.Team,
		Code: final.Code, InTime: final.Code == result.OK && now <= e.request.arrival.Deadline,
		FirstToken: e.firstToken, Total: now - e.arrived,
	}
	if run := e.request.job.Run(); run != nil {
		o.QueueWait = now - e.arrived - time.Since(run.Began)
		o.PromptTokens = run.End.PromptTokens
		o.CachedTokens = run.End.CachedTokens
		o.OutputTokens = run.End.OutputTokens
	}
	s.opts.OnOutcome(o)
}

// writeStream writes the answer as server-sent events as its parts arrive. A complete answer
// ends with the end marker, any other with an error event and no marker.
func (e *exchange) writeStream(c *fiber.Ctx) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	setCode(c, result.OK)
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		final := e.copyStream(w)
		e.close(final)
		if e.callerLeft {
			// A caller who closed its sending side only may read on. The server would end the
			// cut stream in order.
			e.resetConn()
		}
	})
}

// resetConn resets the caller's connection.
func (e *exchange) resetConn() {
	if conn, ok := e.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = e.conn.Close()
}

// copyStream writes all parts and the end of the answer. Once the caller has left, it
// continues to the end of the answer without writing.
func (e *exchange) copyStream(w *bufio.Writer) *answer.Final {
	for i := 0; ; i++ {
		v := e.nextPart(i)
		if v.HasPart {
			e.writeEvent(w, v.Part)
			continue
		}
		if v.Final.Code == result.OK {
			e.writeEvent(w, []byte(engine.DoneMarker))
		} else {
			e.writeEvent(w, finalError(v.Final).Body())
		}
		return v.Final
	}
}

// writeEvent writes one event. A failed write means that the caller has left.
func (e *exchange) writeEvent(w *bufio.Writer, data []byte) {
	if e.callerLeft {
		return
	}
	// fasthttp sets the write deadline only once, before the header, so it is extended here.
	_ = e.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		e.reportCallerLeft()
	}
}

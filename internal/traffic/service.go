package traffic

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/endpoint"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/sse"
)

// serviceTimeout bounds the wait for a plain service's answer. A service can't be
// asked again for an answer, so it is longer than a deadline.
const serviceTimeout = 60 * time.Second

// service sends the job to a plain service and reads its whole answer. After a
// fault nothing is known: a service can't resume.
func (x *run) service(conn *endpoint.Conn) {
	defer func() { _ = conn.Close() }()
	defer x.closeOnCancel(conn)()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err := x.exchange(conn, resp)
	if err != nil {
		x.lost(result.OutcomeUnknown, err.Error())
		return
	}
	contentType := string(resp.Header.ContentType())
	if sse.IsStream(contentType) && sse.EndsInside(body) {
		x.lost(result.OutcomeUnknown, "the service's answer ended inside an event")
		return
	}
	x.end.FirstToken = time.Since(x.began)
	x.job.Answer.Append(body)
	final := answer.Final{
		Code: result.OK, Status: resp.StatusCode(), ContentType: contentType,
	}
	x.finish(peerpb.Report_PHASE_FINISHED, final)
}

// exchange sends the request and reads the answer's body.
func (x *run) exchange(conn *endpoint.Conn, resp *fasthttp.Response) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.fill(req)
	req.SetConnectionClose()
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	return conn.ReadAll(resp, serviceTimeout)
}

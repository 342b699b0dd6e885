package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 5 * time.Second

// harness is a gateway between callers and scripted endpoints, with a fake control that
// grants every request immediately.
type harness struct {
	*WithT
	t       testing.TB
	gateway *Gateway
	address string
	// endpoints are granted in turn.
	endpoints []*endpoint
	granted   atomic.Int64
	// age is the configuration's age in nanoseconds.
	age atomic.Int64
	// onAge, if set, is called when the age is read.
	onAge atomic.Pointer[func()]
	// untilConfirmed is the time after which the configuration will be confirmed; 0: unknown.
	untilConfirmed atomic.Int64
	// refuse, if set, is control's answer to every request.
	refuse *result.Error
	// regrant grants each request a second time before it is connected for the first.
	regrant bool
	// withhold leaves the requests that arrive without a grant.
	withhold atomic.Bool

	mu       sync.Mutex
	outcomes chan Outcome
	dropped  chan DropReason
	limited  chan MemoryAction
	ended    []custody.End
	// leaving holds the endpoints that were reported as leaving.
	leaving []ident.Endpoint
	// arrived holds the arrival of each try.
	arrived   []custody.Arrival
	withdrawn chan ident.Request
}

// maxTestBody bounds a body in bytes: more than the kernel buffers on loopback.
const maxTestBody = 32 << 20

// testRuleset returns the configuration of the tests.
func testRuleset() *ruleset.Ruleset {
	r := &ruleset.Ruleset{
		Version: 1,
		Routes: []ruleset.Route{
			route("safe", ruleset.Safe, 2), route("unsafe", ruleset.Unsafe, 1), route("stream", ruleset.Stream, 1),
		},
		Teams:  []ruleset.Team{{Name: "blue", Keys: []string{"secret"}}},
		Limits: ruleset.Limits{MaxBodyBytes: maxTestBody},
	}
	resumable := route("resumable", ruleset.Stream, 2)
	resumable.Resumable = true
	r.Routes = append(r.Routes, resumable)
	// Requests that may run once, on routes that allow two tries.
	r.Routes = append(r.Routes, route("unsafe-twice", ruleset.Unsafe, 2), route("stream-twice", ruleset.Stream, 2))
	public := route("public", ruleset.Unsafe, 1)
	public.Public = true
	r.Routes = append(r.Routes, public)
	r.Index()
	return r
}

func route(name string, kind ruleset.Kind, tries int) ruleset.Route {
	return ruleset.Route{
		Name: name, Host: "app.example", Prefix: "/" + name + "/", Kind: kind, MaxTries: tries,
		Shares: []ruleset.Share{{Target: "t", Weight: 1}}, Timeout: 10 * time.Second, Objective: time.Second,
	}
}

// start starts a gateway in front of scripted endpoints.
func start(t testing.TB, scripts ...script) *harness {
	h := &harness{
		WithT: NewWithT(t), t: t, outcomes: make(chan Outcome, 64), dropped: make(chan DropReason, 64), limited: make(chan MemoryAction, 4096), withdrawn: make(chan ident.Request, 64),
	}
	for i, s := range scripts {
		h.endpoints = append(h.endpoints, serveScript(t, fmt.Sprintf("e%d", i), s))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	began := time.Now()
	h.gateway = New(Options{
		Host: "h", Log: log, Post: h.post, Offer: h.offer, Now: func() time.Duration { return time.Since(began) },
		ConfigurationAge: func() (time.Duration, bool) {
			if confirm := h.onAge.Load(); confirm != nil {
				(*confirm)()
			}
			return time.Duration(h.age.Load()), true
		},
		UntilConfirmed: func() time.Duration { return time.Duration(h.untilConfirmed.Load()) },
		Tuning: Tuning{
			KeyLife: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
			HeadLimit: 64 << 10, EventLimit: 1 << 20, DiscardWait: 100 * time.Millisecond,
			MaxBackoff: time.Minute, HeaderLines: 1000, EmptyLines: 16,
			Memory: memory.Limits{Bytes: 80 << 20, Connections: 1000, MinRate: 4 << 10},
		},
		OnOutcome: func(o *Outcome) { h.outcomes <- *o }, OnGap: func(ruleset.Kind, time.Duration) {},
		OnDrop: func(d DropReason) { h.dropped <- d }, OnMemory: func(a MemoryAction) { h.limited <- a },
	})
	h.gateway.SetRuleset(testRuleset())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.Expect(err).NotTo(HaveOccurred())
	h.address = ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- h.gateway.Serve(ln) }()
	t.Cleanup(func() {
		_ = h.gateway.Close()
		<-served
	})
	return h
}

// offer is post for a control that has room for events.
func (h *harness) offer(e control.Event, _ time.Duration) bool {
	h.post(e)
	return true
}

// post stands in for control: it grants the next endpoint and commits every dispatch.
func (h *harness) post(e control.Event) {
	switch e := e.(type) {
	case control.Arrived:
		h.mu.Lock()
		h.arrived = append(h.arrived, e.Arrival)
		h.mu.Unlock()
		if h.refuse != nil {
			h.gateway.Apply(custody.Directive{Kind: custody.Refuse, ID: e.Arrival.ID, Err: h.refuse})
			return
		}
		if len(h.endpoints) == 0 || h.withhold.Load() {
			return
		}
		grants := 1
		if h.regrant {
			grants = 2
		}
		for range grants {
			n := h.granted.Add(1) - 1
			x := h.endpoints[int(n)%len(h.endpoints)]
			h.gateway.Apply(custody.Directive{
				Kind: custody.Connect, ID: e.Arrival.ID, Endpoint: x.name, Address: x.address, Attempt: ident.Attempt(n + 1),
			})
		}
	case control.Connected:
		latest := int64(e.Attempt) == h.granted.Load()
		h.gateway.Apply(custody.Directive{Kind: custody.Commit, ID: e.ID, Attempt: e.Attempt, Proceed: !h.regrant || latest})
	case control.EndpointLeaving:
		h.mu.Lock()
		h.leaving = append(h.leaving, e.Endpoint)
		h.mu.Unlock()
	case control.CallerLeft:
		h.withdrawn <- e.ID
	case control.Ended:
		h.mu.Lock()
		h.ended = append(h.ended, e.End)
		h.mu.Unlock()
	}
}

// dial opens a caller's connection.
func (h *harness) dial() net.Conn {
	conn, err := net.Dial("tcp", h.address)
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	h.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// head returns the start of a request of the team blue.
func head(method, path, attempt string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + attempt + "\r\nCredential: secret\r\nDeadline-Ms: 8000\r\n"
}

// get returns a request without a body.
func get(path, attempt string) string {
	return head("GET", path, attempt) + "\r\n"
}

// post returns a request with a body.
func post(path, attempt, body string) string {
	return head("POST", path, attempt) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// closes is set if the connection closes after the response.
	closes bool
	// err is the error of reading the body.
	err error
}

// ask sends a request on a new connection and reads the response.
func (h *harness) ask(request string) response {
	conn := h.dial()
	return h.askOn(conn, bufio.NewReader(conn), request)
}

// askOn sends a request on a connection and reads the response.
func (h *harness) askOn(conn net.Conn, r *bufio.Reader, request string) response {
	_, err := io.WriteString(conn, request)
	h.Expect(err).NotTo(HaveOccurred())
	return readResponse(r)
}

// exchangeOn sends a request on a connection and reads the response, which may come before the whole
// request is sent.
func exchangeOn(conn net.Conn, request string) response {
	go func() { _, _ = io.WriteString(conn, request) }()
	return readResponse(bufio.NewReader(conn))
}

// readResponse reads a response.
func readResponse(r *bufio.Reader) response {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

// script responds to one request on a connection; it returns false to close the connection.
type script func(e *scriptedExchange) bool

// scriptedExchange is a request at a scripted endpoint.
type scriptedExchange struct {
	conn    net.Conn
	request *http.Request
	body    string
	// raw is the connection's reader, for a script that reads the body itself.
	raw *bufio.Reader
}

// attempt returns the attempt ID of the request.
func (e *scriptedExchange) attempt() string {
	return e.request.Header.Get("Attempt-Id")
}

// write sends bytes to the gateway.
func (e *scriptedExchange) write(text string) {
	_, _ = io.WriteString(e.conn, text)
}

// writeComplete sends a complete sealed response.
func (e *scriptedExchange) writeComplete(status int, body string) {
	e.write(sealedHead(status, e.attempt()) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// sealedHead returns the start of an endpoint's response.
func sealedHead(status int, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nRunner-Seal: s.%s\r\n", status, http.StatusText(status), attempt, attempt)
}

// endpoint is a scripted endpoint.
type endpoint struct {
	name     ident.Endpoint
	address  string
	listener net.Listener
	// seen receives every request.
	seen chan *scriptedExchange
	// conns counts the accepted connections, and closed receives a value when one ends.
	conns  atomic.Int64
	closed chan struct{}
}

// serveScript starts a scripted endpoint.
func serveScript(t testing.TB, name string, s script) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{
		name: ident.Endpoint(name), address: ln.Addr().String(), listener: ln,
		seen: make(chan *scriptedExchange, 64), closed: make(chan struct{}, 64),
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(conn, s)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn, s script) {
	defer func() {
		_ = conn.Close()
		e.closed <- struct{}{}
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := &scriptedExchange{conn: conn, request: req, raw: r}
		if !strings.HasSuffix(req.URL.Path, "/early") {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			x.body = string(body)
		}
		e.seen <- x
		if !s(x) {
			return
		}
	}
}

// answerOK sends a complete response to every request.
func answerOK(e *scriptedExchange) bool {
	e.writeComplete(200, "hello")
	return true
}

// answerNotRun responds as an endpoint without capacity that did not run the request.
func answerNotRun(e *scriptedExchange) bool {
	e.write("HTTP/1.1 503 X\r\nAttempt-Id: " + e.attempt() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

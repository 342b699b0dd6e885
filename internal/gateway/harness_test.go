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
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// eventually bounds the waits for something that is to happen.
const eventually = 5 * time.Second

// harness is a gateway between scripted endpoints and callers, with a control that
// grants at once.
type harness struct {
	*WithT
	t       *testing.T
	gateway *Gateway
	address string
	// endpoints are granted in turn.
	endpoints []*endpoint
	granted   atomic.Int64
	// age is the configuration's, in nanoseconds.
	age atomic.Int64
	// refuse, when set, is control's answer to every request.
	refuse *result.Error

	mu       sync.Mutex
	outcomes chan Outcome
	dropped  chan DropReason
	ended    []custody.End
	// left holds the endpoints that were found to leave.
	left []ident.Endpoint
	// arrived holds what control was told of each try.
	arrived  []custody.Arrival
	withdrew chan ident.Request
}

// maxTestBody bounds a body: more than the kernel buffers on loopback.
const maxTestBody = 32 << 20

// rules is the configuration of the tests.
func rules() *ruleset.Ruleset {
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
	// Those that may run once, on routes that allow more tries.
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

// start starts a gateway before endpoints that answer as scripted.
func start(t *testing.T, scripts ...script) *harness {
	h := &harness{
		WithT: NewWithT(t), t: t, outcomes: make(chan Outcome, 64), dropped: make(chan DropReason, 64), withdrew: make(chan ident.Request, 64),
	}
	for i, s := range scripts {
		h.endpoints = append(h.endpoints, serveScript(t, fmt.Sprintf("e%d", i), s))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	began := time.Now()
	h.gateway = New(Options{
		Host: "h", Log: log, Post: h.post, Now: func() time.Duration { return time.Since(began) },
		ConfigurationAge: func() (time.Duration, bool) { return time.Duration(h.age.Load()), true },
		Tuning: Tuning{
			KeyLife: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
			HeadLimit: 64 << 10, EventLimit: 1 << 20, DiscardWait: 100 * time.Millisecond,
			MaxBackoff: time.Minute,
		},
		OnOutcome: func(o *Outcome) { h.outcomes <- *o }, OnGap: func(ruleset.Kind, time.Duration) {},
		OnDrop: func(d DropReason) { h.dropped <- d },
	})
	h.gateway.SetRuleset(rules())
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

// post stands for control: it grants the next endpoint and commits every dispatch.
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
		if len(h.endpoints) == 0 {
			return
		}
		n := h.granted.Add(1) - 1
		x := h.endpoints[int(n)%len(h.endpoints)]
		h.gateway.Apply(custody.Directive{
			Kind: custody.Connect, ID: e.Arrival.ID, Endpoint: x.name, Address: x.address, Attempt: ident.Attempt(n + 1),
		})
	case control.Connected:
		h.gateway.Apply(custody.Directive{Kind: custody.Commit, ID: e.ID, Attempt: e.Attempt, Proceed: true})
	case control.EndpointLeaving:
		h.mu.Lock()
		h.left = append(h.left, e.Endpoint)
		h.mu.Unlock()
	case control.CallerLeft:
		h.withdrew <- e.ID
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
	h.Expect(conn.SetDeadline(time.Now().Add(eventually))).To(Succeed())
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// closes says that the connection ends after it.
	closes bool
	// err is the failure to read the whole body.
	err error
}

// ask sends a request on a connection of its own and reads the answer.
func (h *harness) ask(request string) answer {
	conn := h.dial()
	return h.askOn(conn, bufio.NewReader(conn), request)
}

// askOn sends a request on a connection and reads the answer.
func (h *harness) askOn(conn net.Conn, r *bufio.Reader, request string) answer {
	_, err := io.WriteString(conn, request)
	h.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

// script answers one request on a connection; it returns false to close it.
type script func(e *exchanged) bool

// exchanged is a request at a scripted endpoint.
type exchanged struct {
	conn    net.Conn
	request *http.Request
	body    string
	// raw is the connection's reader, for a script that reads the body itself.
	raw *bufio.Reader
}

// attempt is the name of the request.
func (e *exchanged) attempt() string {
	return e.request.Header.Get("Attempt-Id")
}

// write sends bytes to the gateway.
func (e *exchanged) write(text string) {
	_, _ = io.WriteString(e.conn, text)
}

// whole sends a whole sealed answer.
func (e *exchanged) whole(status int, body string) {
	e.write(sealed(status, e.attempt()) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// sealed returns the start of an endpoint's answer.
func sealed(status int, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nRunner-Seal: s.%s\r\n", status, http.StatusText(status), attempt, attempt)
}

// endpoint is a scripted endpoint.
type endpoint struct {
	name     ident.Endpoint
	address  string
	listener net.Listener
	// seen holds every request that came.
	seen chan *exchanged
	// conns counts the connections, closed tells when one has ended.
	conns  atomic.Int64
	closed chan struct{}
}

// serveScript starts a scripted endpoint.
func serveScript(t *testing.T, name string, s script) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{
		name: ident.Endpoint(name), address: ln.Addr().String(), listener: ln,
		seen: make(chan *exchanged, 64), closed: make(chan struct{}, 64),
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
		x := &exchanged{conn: conn, request: req, raw: r}
		if !strings.HasPrefix(req.URL.Path, "/unsafe/early") {
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

// okay answers every request whole.
func okay(e *exchanged) bool {
	e.whole(200, "hello")
	return true
}

// full answers every request as an endpoint that has no room and didn't run it.
func full(e *exchanged) bool {
	e.write("HTTP/1.1 503 X\r\nAttempt-Id: " + e.attempt() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

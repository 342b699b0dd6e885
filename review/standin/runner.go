package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, zone string
	slots, queue      int
	// work is how long a request runs.
	work func(attempt string) time.Duration
	// fails reports whether a run ends with the runner's own status 500.
	fails func(attempt string) bool
	// spoils reports whether the first digit of the answer's status is sent wrongly.
	spoils func(attempt string) bool
	// cutsOff reports whether a stream is ended inside an event, properly to HTTP.
	cutsOff func(attempt string) bool
	// events is the number of events of an answer; 0: the answer is no stream. They come in equal
	// steps over the time that the request runs.
	events int

	http    *http.Server
	address string
	born    int64
	rec     *record
	running chan struct{}
	places  chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// start listens and serves.
func (r *runner) start(rec *record) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.rec, r.address, r.born, r.runs = rec, ln.Addr().String(), time.Now().UnixMilli(), map[string]int{}
	r.running, r.places = make(chan struct{}, r.slots), make(chan struct{}, r.slots+r.queue)
	r.http = &http.Server{Handler: r}
	go func() { _ = r.http.Serve(ln) }()
	return nil
}

// row is the runner's entry in the store.
func (r *runner) row(beat int) []byte {
	row, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": beat, "born": r.born,
	})
	if err != nil {
		panic(err) // a map of plain values encodes
	}
	return row
}

// ran returns how often a request ran here.
func (r *runner) ran(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	h.Set("Runner-Id", r.id)
	_, err := io.Copy(io.Discard, req.Body)
	switch {
	case err != nil:
		return
	case attempt == "":
		r.refuse(w, http.StatusBadRequest)
		return
	case req.Header.Get("Expect-Runner") != r.id:
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	limit := time.After(24 * time.Hour)
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		limit = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	default:
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.running <- struct{}{}:
		defer func() { <-r.running }()
	case <-limit:
		r.refuse(w, http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	r.mu.Lock()
	r.runs[attempt]++
	r.mu.Unlock()
	r.rec.add("run attempt=%s runner=%s", attempt, r.id)
	h.Set("Runner-Seal", r.id+"."+attempt)
	if r.events > 0 {
		r.stream(w, req, attempt)
		return
	}
	select {
	case <-time.After(r.work(attempt)):
	case <-limit:
		r.end(w, attempt, http.StatusGatewayTimeout, "the time limit has passed")
		return
	case <-req.Context().Done():
		r.rec.add("dropped attempt=%s runner=%s", attempt, r.id)
		return
	}
	switch {
	case r.fails != nil && r.fails(attempt):
		r.end(w, attempt, http.StatusInternalServerError, "failed")
	case r.spoils != nil && r.spoils(attempt):
		r.spoil(w, attempt)
	default:
		r.end(w, attempt, http.StatusOK, body(attempt))
	}
}

// refuse answers that the request was not run.
func (r *runner) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// end answers a run.
func (r *runner) end(w http.ResponseWriter, attempt string, status int, text string) {
	r.rec.add("ran attempt=%s runner=%s status=%d", attempt, r.id, status)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// stream answers a run with the events behind the last that the caller has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	step := r.work(attempt) / time.Duration(r.events)
	for i := first; i < r.events; i++ {
		select {
		case <-time.After(step):
		case <-req.Context().Done():
			r.rec.add("dropped attempt=%s runner=%s", attempt, r.id)
			return
		}
		text := event(attempt, i)
		if i == r.events/2 && r.cutsOff != nil && r.cutsOff(attempt) {
			// The handler returns, so that the body ends with its last chunk.
			_, _ = io.WriteString(w, text[:len(text)/2])
			r.rec.add("cut-off attempt=%s runner=%s inside-event=%d of=%d", attempt, r.id, i, r.events)
			return
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	r.rec.add("ran attempt=%s runner=%s status=200 from-event=%d", attempt, r.id, first)
}

// event is one event of the answer to an attempt, and stream are the first n.
func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, attempt, i)
}

func stream(attempt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(event(attempt, i))
	}
	return b.String()
}

// spoil answers a run with one wrong byte, the first digit of the status, and ends the channel.
func (r *runner) spoil(w http.ResponseWriter, attempt string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	text := body(attempt)
	r.rec.add("ran attempt=%s runner=%s status=200 sent-as=100", attempt, r.id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 100 OK\r\nAttempt-Id: %s\r\nRunner-Id: %s\r\nRunner-Seal: %s\r\n"+
		"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", attempt, r.id, r.id+"."+attempt, len(text), text)
	_ = conn.Close()
}

// body is the whole answer of a successful run.
func body(attempt string) string {
	return attempt + " " + strings.Repeat("x", int(draw(attempt, "body")*1600)) + " end"
}

// draw returns a number in [0, 1) that depends on an attempt and a purpose alone.
func draw(attempt, purpose string) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, purpose+" "+attempt)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

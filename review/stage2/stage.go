package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

// program is what the deploy file builds and runs.
const program = "target/trefoilchute"

// stage is a small deployment on loopback addresses: a store, endpoints and hosts.
type stage struct {
	dir          string
	began        time.Time
	store        *store.Server
	storeAddress string
	hosts        []*host
	runners      []*runner.Runner
	attempts     atomic.Int64

	mu     sync.Mutex
	record *os.File
}

// host is one gateway process.
type host struct {
	name, settings, address, ready string
	log                            *os.File
	process                        *exec.Cmd
	ended                          chan struct{}
}

// newStage starts a store. record.txt is written in dir, everything else in a temporary folder.
func newStage(dir string) (*stage, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stage{dir: temp, began: time.Now(), store: store.New(), record: record}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = ln.Addr().String()
	go func() { _ = s.store.Serve(ln) }()
	return s, nil
}

// trace writes a line into the record.
func (s *stage) trace(format string, args ...any) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.record, line)
	return line
}

// note writes a line into the record and to the standard output.
func (s *stage) note(format string, args ...any) {
	fmt.Println(s.trace(format, args...))
}

// traceRuns writes what the endpoints ran into the record.
func (s *stage) traceRuns() {
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			s.trace("ran: %s at %s for team %q, began at %.3f", run.Attempt, run.Runner, run.Team, run.Began.Sub(s.began).Seconds())
		}
	}
}

// close ends everything that the stage started.
func (s *stage) close() {
	for _, h := range s.hosts {
		h.kill()
		_ = h.log.Close()
	}
	for _, r := range s.runners {
		_ = r.Close()
	}
	_ = s.store.Close()
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// heartbeat is the time between two reports of an endpoint.
const heartbeat = 1200 * time.Millisecond

// addRunner starts an endpoint that registers itself in the store, and reports until the stage ends.
func (s *stage) addRunner(service, zone string, o runner.Options) error {
	o.ID = fmt.Sprintf("%s-%d", service, len(s.runners))
	r := runner.New(o)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = r.Serve(ln) }()
	s.runners = append(s.runners, r)
	born := time.Now().UnixMilli()
	write := func(n int) {
		s.store.Put("servers", "", o.ID, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			service, ln.Addr(), zone, o.Slots, n, born))
	}
	write(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			write(n)
		}
	}()
	return nil
}

// addHost prepares a host with the settings that the deploy file's template gives on the users' site.
func (s *stage) addHost(name, zone string) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%90, os.Getpid()/90%250, len(s.hosts)+1)
	var ports []string
	for range 4 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().String())
	}
	h := &host{name: name, settings: filepath.Join(s.dir, name+".ini"), address: ports[0], ready: ports[1]}
	text := fmt.Sprintf(`[host]
name = %s
domain = %s
region = be-flanders
memory_mb = 134
cores = 1
core_share = 0.4
stop_grace = 8s
[callers]
listen = %s
ready_listen = %s
[peer]
listen = %s
[metrics]
listen = %s
[platform]
store = %s
key_life = 5000ms
[retry]
ratio = 0.2
extra = 56
window = 10s
[quota]
slack = 140000
window = 8s
`, name, zone, ports[0], ports[1], ports[2], ports[3], s.storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	s.hosts = append(s.hosts, h)
	return h, err
}

// start starts the host's process.
func (h *host) start() error {
	c := exec.Command(program, "gateway", "--settings", h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return err
	}
	h.process, h.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(h.ended)
	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(sig syscall.Signal) {
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
	}
}

// kill ends the host's process.
func (h *host) kill() {
	if h.process == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// startTime is how long the hosts may take until they are ready.
const startTime = 10 * time.Second

// awaitReady waits until all hosts say that they are ready.
func (s *stage) awaitReady() bool {
	until := time.Now().Add(startTime)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// isReady asks a host as the platform does.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a requester got.
type answer struct {
	attempt, body string
	status        int
	sealed        bool
	err           error
}

// send sends one request on a new connection and waits for its answer.
func (s *stage) send(h *host, method, path, key, body string, limit time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("a%06d", s.attempts.Add(1))}
	s.trace("sent: %s to %s, %s %s with %s", a.attempt, h.name, method, path, key)
	defer func() { s.trace("answered: %s, status %d, sealed: %t", a.attempt, a.status, a.sealed) }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.address+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host, req.Close = "app.test", true
	req.Header.Set("Attempt-Id", a.attempt)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.status, a.body, a.sealed, a.err = resp.StatusCode, string(b), resp.Header.Get("Runner-Seal") != "", err
	return a
}

// ran reports whether an endpoint began to run an attempt, and for which team.
func (s *stage) ran(attempt string) (string, bool) {
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			if run.Attempt == attempt {
				return run.Team, true
			}
		}
	}
	return "", false
}

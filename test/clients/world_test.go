// Package clients_test runs a gateway process with small limits before stand-ins and lets a
// crowd of clients send it what no ordinary client sends. The crowd and the bounds are fixed.
package clients_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// memoryMB is memory_mb in the settings, that of the smallest class of hosts, and
	// descriptors the process's limit of open files.
	memoryMB, descriptors = 112, 256
	// maxHeader and maxBody are the limits of the configuration.
	maxHeader, maxBody = 64 << 10, 4 << 20
	// grace is the time from SIGTERM to the end of the process.
	grace = 8 * time.Second
	key   = "key-0"
	// patience bounds each wait. It is far above what the waits take.
	patience = 40 * time.Second
)

// buildProgram builds the program once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/trefoilchute/trefoilchute/cmd/trefoilchute")
})

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	gexec.CleanupBuildArtifacts()
	os.Exit(code)
}

// world is a gateway process, the store and one endpoint.
type world struct {
	*WithT
	t       *testing.T
	address string
	ready   string
	runner  *runner.Runner
	process *exec.Cmd
	ended   chan struct{}
	log     string

	mu sync.Mutex
	// headers holds the headers of each request that the endpoint got, by attempt.
	headers map[string]http.Header
}

// ServeHTTP is the endpoint. It drops bodies, so that the runner doesn't keep them, and answers
// paths under /big/ with a body that no kernel buffers.
func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.mu.Lock()
	w.headers[attempt] = r.Header.Clone()
	w.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	r.Body = http.NoBody
	if !strings.HasPrefix(r.URL.Path, "/big/") {
		w.runner.ServeHTTP(rw, r)
		return
	}
	rw.Header().Set("Runner-Id", "app-0")
	rw.Header().Set("Attempt-Id", attempt)
	rw.Header().Set("Runner-Seal", "app-0."+attempt)
	part := bytes.Repeat([]byte{'x'}, 64<<10)
	for range bigAnswer / len(part) {
		if _, err := rw.Write(part); err != nil {
			return
		}
	}
}

// bigAnswer is the length of an answer under /big/.
const bigAnswer = 16 << 20

// serve serves a handler on a loopback port.
func (w *world) serve(server interface {
	Serve(net.Listener) error
	Close() error
},
) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(ln) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// start starts the stand-ins and the process, and waits until it serves.
func start(t *testing.T) *world {
	w := &world{WithT: NewWithT(t), t: t, headers: map[string]http.Header{}, ended: make(chan struct{})}
	program, err := buildProgram()
	w.Expect(err).NotTo(HaveOccurred())
	w.runner = runner.New(runner.Options{ID: "app-0", Slots: 8, Queue: 8, Work: 300 * time.Millisecond})
	endpoint := w.serve(&http.Server{Handler: w, ReadHeaderTimeout: patience, MaxHeaderBytes: 1 << 20})
	table := store.New()
	dir := t.TempDir()
	settings := w.writeSettings(dir, w.serve(table))
	table.Put("op", "", "config", configuration())
	beat := 0
	putServer := func() {
		beat++
		table.Put("servers", "", "app-0", fmt.Appendf(nil,
			`{"service":"app","address":%q,"zone":"zone-0","slots":8,"state":"ready","sequence":%d,"born":1}`, endpoint, beat))
	}
	putServer()
	w.log = filepath.Join(dir, "log")
	log, err := os.Create(w.log)
	w.Expect(err).NotTo(HaveOccurred())
	// The program raises its soft limit to the hard one, so that both are set.
	w.process = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), program, "gateway", "--settings", settings)
	w.process.Stdout, w.process.Stderr = log, log
	w.Expect(w.process.Start()).To(Succeed())
	go func() {
		_ = w.process.Wait()
		close(w.ended)
	}()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				putServer()
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		if w.lives() {
			_ = w.process.Process.Kill()
		}
		<-w.ended
		_ = log.Close()
	})
	w.Eventually(w.isReady, patience, 50*time.Millisecond).Should(BeTrue())
	w.expectServed("before")
	return w
}

// worlds counts the processes that were started.
var worlds atomic.Uint32

// isReady asks the host as a balancer does.
func (w *world) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + w.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings writes the settings of the process.
func (w *world) writeSettings(dir, store string) string {
	// Nothing else takes ports of this address, as the connections of other processes do of the usual
	// one between the choice of a port and the start of the process.
	ip := fmt.Sprintf("127.%d.%d.%d", 200+os.Getpid()%50, os.Getpid()/50%250, worlds.Add(1))
	var ports []string
	for range 4 {
		ln, err := net.Listen("tcp", ip+":0")
		w.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		ports = append(ports, ln.Addr().String())
	}
	w.address, w.ready = ports[0], ports[1]
	path := filepath.Join(dir, "settings.ini")
	w.Expect(os.WriteFile(path, fmt.Appendf(nil, `[host]
name = host-0
domain = zone-0
region = region
memory_mb = %d
cores = 1
core_share = 0.5
stop_grace = %s
[callers]
listen = %s
ready_listen = %s
[peer]
listen = %s
[metrics]
listen = %s
[platform]
store = %s
key_life = 5s
[retry]
ratio = 0.2
extra = 50
window = 10s
[quota]
slack = 0
window = 8s
`, memoryMB, grace, ports[0], ports[1], ports[2], ports[3], store), 0o600)).To(Succeed())
	return path
}

// configuration has a route that allows one try, one that allows two and one with long answers.
func configuration() []byte {
	var routes []any
	for _, r := range []struct {
		name, kind string
		tries      int
	}{{"once", "unsafe", 1}, {"twice", "safe", 2}, {"big", "unsafe", 1}} {
		routes = append(routes, map[string]any{
			"name": r.name, "host": "app.test", "prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": 8000,
			"target_latency_ms": 500, "service": "app", "max_attempts": r.tries,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": "app", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "blue", "api_keys": []string{key}, "priority": 0}},
	})
	if err != nil {
		panic(err) // maps of plain values encode
	}
	return value
}

// lives reports whether the process runs.
func (w *world) lives() bool {
	select {
	case <-w.ended:
		return false
	default:
		return true
	}
}

// peak returns the peak of the process's resident memory in KiB, or 0 if it has ended.
func (w *world) peak() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	return 0
}

// expectBounds checks that the process lives and kept its limits.
func (w *world) expectBounds() {
	w.t.Helper()
	w.Expect(w.lives()).To(BeTrue(), "the process ended")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.process.Process.Pid))
	w.Expect(err).NotTo(HaveOccurred())
	peak := w.peak()
	w.t.Logf("peak %d KiB of %d, %d descriptors of %d", peak, memoryMB<<10, len(open), descriptors)
	w.Expect(peak).To(BeNumerically("<", memoryMB<<10), "peak of resident memory, KiB")
	w.Expect(len(open)).To(BeNumerically("<", descriptors), "open descriptors")
}

// expectServed sends an ordinary request until it is served.
func (w *world) expectServed(name string) {
	w.t.Helper()
	n := 0
	w.Eventually(func() int {
		n++
		c := caller.New(w.address)
		defer c.Close()
		attempt := fmt.Sprintf("%s-%d", name, n)
		return c.Do(caller.Request{
			Method: "POST", Host: "app.test", Path: "/once/x", Attempt: attempt, Key: key, Limit: 4 * time.Second, Body: "body",
		}).Status
	}, patience, 100*time.Millisecond).Should(Equal(http.StatusOK), "an ordinary request")
}

// ran reports which attempts the endpoint has run.
func (w *world) ran() map[string]bool {
	ran := map[string]bool{}
	for _, r := range w.runner.Runs() {
		ran[r.Attempt] = true
	}
	return ran
}

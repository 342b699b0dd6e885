package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// grace is the time that a gateway has from SIGTERM to its end.
const grace = 8 * time.Second

// host is one gateway process with its proxy to the store.
type host struct {
	name     string
	settings string
	log      *os.File
	address  string
	ready    string
	store    *proxy
	// unready is the last answer, or the error, of a readiness check.
	unready atomic.Value

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended   chan struct{}
	started time.Time
}

// hostsBegun counts the hosts of this process, over all runs.
var hostsBegun atomic.Uint32

// loopback returns an address of the loopback range for one host alone: nothing else
// takes the ports of a host that is down.
func loopback() string {
	n := hostsBegun.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250, n%250+1)
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// newHost writes the settings of a host in a region, with more sections at their end.
func newHost(dir string, i int, store, region, settings string) (*host, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(loopback(), 4)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("host-%d", i), address: ports[0], ready: ports[1], store: p}
	h.settings = filepath.Join(dir, h.name+".ini")
	text := fmt.Sprintf(`[host]
name = %s
domain = zone-%d
region = %s
memory_mb = 256
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
key_life = %s
[retry]
ratio = 0.2
extra = 50
window = 10s
[quota]
slack = 0
window = 8s
%s`, h.name, i%2, region, grace, ports[0], ports[1], ports[2], ports[3], p.address(), revokeBound, settings)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	return h, err
}

// start starts the process, unless it runs.
func (h *host) start(program string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		select {
		case <-h.ended:
		default:
			return nil
		}
	}
	c := exec.Command(program, "gateway", "--settings", h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return err
	}
	h.process, h.ended, h.started = c, make(chan struct{}), time.Now()
	ended := h.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this host started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.process.Process.Signal(s)
	}
}

// bootTime is how long a process takes at most until it has installed its signal
// handlers: before, the kernel's default for SIGHUP ends it.
const bootTime = 500 * time.Millisecond

// hup tells the process that its settings have changed, once it has installed its
// handlers.
func (h *host) hup() {
	h.mu.Lock()
	young := bootTime - time.Since(h.started)
	h.mu.Unlock()
	time.Sleep(young)
	h.signal(syscall.SIGHUP)
}

// wait waits for the end of the process. It returns false if it takes too long.
func (h *host) wait(most time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// close ends the process and the proxy.
func (h *host) close() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if h.process != nil {
		<-h.ended
	}
	h.store.close()
	_ = h.log.Close()
}

// answerTime is how long a host has to answer the balancer.
const answerTime = 500 * time.Millisecond

// isReady asks the host as a balancer does.
func (h *host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		h.unready.Store(err.Error())
		return false
	}
	_ = resp.Body.Close()
	h.unready.Store(resp.Status)
	return resp.StatusCode == http.StatusOK
}

// describeReadiness says what the host last answered to the question whether it is ready, and whether its
// process runs.
func (h *host) describeReadiness() string {
	last, _ := h.unready.Load().(string)
	return fmt.Sprintf("%s: %q, ended: %t", h.name, last, h.wait(0))
}

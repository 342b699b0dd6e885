package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one gateway process.
type host struct {
	name, zone, ip              string
	front, ready, peer, storeAt string
	settings                    string
	log                         *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// hostCount counts the loopback addresses that were given to hosts.
var hostCount int

// nextIP returns a loopback address that nothing else in this run uses.
func nextIP() string {
	hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, (os.Getpid()/128)%250, hostCount)
}

// freePort returns a free port of an address.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

// newHost reserves the addresses of a host.
func newHost(name, zone string) (*host, error) {
	h := &host{name: name, zone: zone, ip: nextIP()}
	for _, to := range []*string{&h.front, &h.ready, &h.peer} {
		port, err := freePort(h.ip)
		if err != nil {
			return nil, err
		}
		*to = h.ip + ":" + port
	}
	return h, nil
}

// bounds are the bounds of the small deployment of Karoo Ridge.
var bounds = map[string]string{
	"limits.memory_mb": "284", "limits.cpu_cores": "1", "limits.cpu_share": "0.4", "region": "karoo-west",
	"bounds.grace_s": "8", "bounds.revoke_ms": "5000", "bounds.retry_budget_ratio": "0.2",
	"bounds.budget_extra": "56", "bounds.budget_window_s": "10", "bounds.quota_slack": "140000", "bounds.quota_window_s": "8",
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#bounds\.rollback_ms\}\}.*?\{\{/bounds\.rollback_ms\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills in the template of the deploy file.
func (h *host) render(dir string) error {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	_, peerPort, _ := net.SplitHostPort(h.peer)
	values := map[string]string{
		"node_name": h.name, "zone": h.zone, "ip": h.ip, "listen.front": h.front, "listen.readiness": h.ready,
		"internal_ports.0": peerPort, "platform.address": h.storeAt,
	}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(string(template), ""), func(m string) string {
		name := strings.Trim(m, "{}")
		if v, ok := values[name]; ok {
			return v
		}
		v, ok := bounds[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return fmt.Errorf("deploy/settings.ini has placeholders that the case doesn't know: %v", missing)
	}
	h.settings = filepath.Join(dir, h.name+".ini")
	if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := exec.Command("target/trefoilchute", "gateway")
	c.Env = append(os.Environ(), "TREFOILCHUTE_SETTINGS="+h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = c, make(chan struct{})
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
	if h.cmd == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process.
func (h *host) wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
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

var errNotReady = errors.New("a host is not ready after 10 s")

// waitReady waits until hosts are ready.
func waitReady(hosts ...*host) error {
	for _, h := range hosts {
		for end := time.Now().Add(10 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return errNotReady
			}
		}
	}
	return nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// gateways is the number of machines.
	gateways = 3
	// template is the deployment's settings template.
	template = "deploy/settings.ini"
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// heartbeat is the time between two reports of a runner.
	heartbeat = 1200 * time.Millisecond
	// idleLimit is the configuration's idle_timeout_ms.
	idleLimit = 15 * time.Second
	// leadTime is the time from the start of the hosts to the start of the traffic.
	leadTime = 10 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// gateway is one host of the system, run by the command of the deploy file.
type gateway struct {
	name, settings, front, ready string
	log                          *os.File
	process                      *exec.Cmd
	ended                        chan struct{}
}

// world is a small deployment: the platform's store, runners and gateways.
type world struct {
	dir      string
	rec      *record
	store    *store.Server
	address  string
	runners  []*runner
	gateways []*gateway
	stop     chan struct{}
	group    sync.WaitGroup
}

// newWorld starts the store with a configuration.
func newWorld(rec *record, config map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, rec: rec, store: store.New(), stop: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	go func() { _ = w.store.Serve(ln) }()
	return w, w.putConfig(config)
}

// putConfig writes a version of the configuration.
func (w *world) putConfig(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.store.Put("op", "", "config", value)
	return nil
}

// addRunner starts a runner and its reports.
func (w *world) addRunner(r *runner) error {
	if err := r.start(w.rec); err != nil {
		return err
	}
	w.runners = append(w.runners, r)
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		for beat := 1; ; beat++ {
			w.store.Put("servers", "", r.id, r.row(beat))
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// addGateways starts the gateways, each on a loopback address of its own, alternately in two
// zones, and waits until all are ready and the lead time is over.
func (w *world) addGateways() error {
	began := time.Now()
	for i := range gateways {
		g, err := w.newGateway(i)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.begin(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Since(began) > 2*leadTime {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	return nil
}

// newGateway writes a gateway's settings from the template.
func (w *world) newGateway(i int) (*gateway, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, i+1)
	ports := make([]string, 3)
	for j := range ports {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		_, ports[j], _ = net.SplitHostPort(ln.Addr().String())
	}
	g := &gateway{
		name: fmt.Sprintf("front-%d", i), settings: filepath.Join(w.dir, fmt.Sprintf("front-%d.ini", i)),
		front: ip + ":" + ports[0], ready: ip + ":" + ports[1],
	}
	filled := strings.NewReplacer(
		"{{node_name}}", g.name, "{{zone}}", fmt.Sprintf("zone-%d", i%2), "{{region}}", "region",
		"{{limits.memory_mb}}", "284", "{{limits.cpu_cores}}", "1", "{{limits.cpu_share}}", "0.4",
		"{{bounds.grace_s}}", "8", "{{listen.front}}", g.front, "{{listen.readiness}}", g.ready,
		"{{ip}}", ip, "{{internal_ports.0}}", ports[2], "{{platform.address}}", w.address,
		"{{bounds.revoke_ms}}", "5000", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "56",
		"{{bounds.budget_window_s}}", "10", "{{bounds.quota_slack}}", "140000", "{{bounds.quota_window_s}}", "8",
	).Replace(string(text))
	if err := os.WriteFile(g.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	g.log, err = os.Create(filepath.Join(w.dir, g.name+".log"))
	return g, err
}

// begin starts the process.
func (g *gateway) begin() error {
	g.process = exec.Command("target/trefoilchute", "gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TREFOILCHUTE_SETTINGS=" + g.settings}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	if err := g.process.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(g.process, g.ended)
	return nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (g *gateway) terminate() {
	_ = g.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(grace):
		g.kill()
	}
}

// kill ends the process at once.
func (g *gateway) kill() {
	select {
	case <-g.ended:
	default:
		_ = g.process.Process.Kill()
		<-g.ended
	}
}

// isReady asks the readiness address.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/v1/ready", http.NoBody)
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

// close ends all processes and removes their files. keep leaves the logs for reading.
func (w *world) close(keep bool) {
	close(w.stop)
	w.group.Wait()
	for _, g := range w.gateways {
		if g.process != nil && g.process.Process != nil {
			g.kill()
		}
		_ = g.log.Close()
	}
	for _, r := range w.runners {
		_ = r.http.Close()
	}
	_ = w.store.Close()
	if !keep {
		_ = os.RemoveAll(w.dir)
	}
}

// balancer is the platform's balancer: it asks each gateway once a second whether it is ready, and
// takes it out of rotation after two misses.
type balancer struct {
	gateways []*gateway
	mu       sync.Mutex
	misses   map[*gateway]int
}

// balance starts the balancer's questions.
func (w *world) balance() *balancer {
	b := &balancer{gateways: w.gateways, misses: map[*gateway]int{}}
	for _, g := range w.gateways {
		w.group.Go(func() {
			for {
				ready := g.isReady()
				b.mu.Lock()
				if b.misses[g]++; ready {
					b.misses[g] = 0
				}
				if b.misses[g] == 2 {
					w.rec.add("out of rotation host=%s", g.name)
				}
				b.mu.Unlock()
				select {
				case <-w.stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	return b
}

// choose returns the gateway in rotation for the i-th new channel.
func (b *balancer) choose(i int) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for _, g := range b.gateways {
		if b.misses[g] < 2 {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		in = b.gateways
	}
	return in[i%len(in)]
}

// limitMemory plays the platform: it kills a process that has more memory than its machine allows,
// and starts it again. The function that it returns tells how often, by gateway.
func (w *world) limitMemory() func() []int {
	var mu sync.Mutex
	ends, most := make([]int, len(w.gateways)), make([]int, len(w.gateways))
	for i, g := range w.gateways {
		w.group.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(memoryStep):
				}
				used := residentBytes(g.process.Process.Pid)
				mu.Lock()
				most[i] = max(most[i], used)
				mu.Unlock()
				if used <= memoryLimit {
					continue
				}
				g.kill()
				w.rec.add("killed host=%s memory=%d MB", g.name, used>>20)
				mu.Lock()
				ends[i]++
				mu.Unlock()
				time.Sleep(restartDelay)
				if err := g.begin(); err != nil {
					w.rec.add("no start host=%s error=%q", g.name, err)
					return
				}
			}
		})
	}
	return func() []int {
		mu.Lock()
		defer mu.Unlock()
		w.rec.add("summary most memory, in bytes, by host: %v", most)
		return ends
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

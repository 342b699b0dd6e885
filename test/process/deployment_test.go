package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

// Limits of waiting. They are wide: a slow machine must not change a verdict.
const (
	startLimit  = 30 * time.Second
	changeLimit = 60 * time.Second
	stopLimit   = 30 * time.Second
	poll        = 20 * time.Millisecond
)

// stillRunning is the exit code of a session that has not ended.
const stillRunning = -1

// key is the bearer key of the team of the tests; its SHA-256 is in the manifest.
const key = "process-test-key"

// deployment is a set of processes on loopback addresses.
type deployment struct {
	platform string
	hosts    map[string]*entryProcess
	dir      string
	// grace is the drain_grace of hosts that are started.
	grace string
}

// entryProcess is one entry host's process.
type entryProcess struct {
	session *gexec.Session
	caller  string
	admin   string
	peer    string
}

// start starts a process of the binary that is ended with the test.
func start(args ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(stopLimit) })
	return session
}

// readyField returns a field of a process's ready line.
func readyField(session *gexec.Session, name string) string {
	output := func() string {
		return string(session.Out.Contents()) + string(session.Err.Contents())
	}
	line := regexp.MustCompile(`(?m)^.*event=ready.*$`)
	Eventually(func() string {
		Expect(session.ExitCode()).To(Equal(stillRunning), output())
		return output()
	}, startLimit, poll).Should(MatchRegexp(line.String()))
	field := regexp.MustCompile(`(?:^|\s)` + name + `="?([^"\s]+)"?`)
	match := field.FindStringSubmatch(line.FindString(output()))
	Expect(match).To(HaveLen(2), "field %s", name)
	return match[1]
}

// newDeployment starts the platform's stand-in.
func newDeployment() *deployment {
	session := start("standin", "platform", "--listen", "127.0.0.1:0")
	return &deployment{
		platform: "http://" + readyField(session, "addr"),
		hosts:    map[string]*entryProcess{},
		dir:      GinkgoT().TempDir(),
		grace:    "20s",
	}
}

// endpoint starts a model engine's stand-in and returns its address.
func (d *deployment) endpoint(name string) string {
	return readyField(start("standin", "endpoint", "--listen", "127.0.0.1:0",
		"--type", "engine", "--name", name, "--model", "assistant"), "addr")
}

// service starts a plain service's stand-in and returns its address.
func (d *deployment) service(name string) string {
	return readyField(start("standin", "endpoint", "--listen", "127.0.0.1:0",
		"--type", "service", "--name", name), "addr")
}

// entry starts an entry host.
func (d *deployment) entry(name, domain string) {
	file := filepath.Join(d.dir, name+".ini")
	ip := d.loopback()
	text := fmt.Sprintf(`[host]
name = %[1]s
domain = %[2]s
drain_grace = %[6]s

[callers]
listen = %[4]s:7070

[admin]
listen = %[4]s:7071

[peer]
listen = %[4]s:7072
secret = a-secret-for-process-tests

[platform]
url = %[3]s

[log]
level = debug
trace = %[5]s
`, name, domain, d.platform, ip, d.trace(name), d.grace)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	session := start("entry", "--settings", file)
	p := &entryProcess{session: session}
	p.caller = "http://" + readyField(session, "listen")
	p.admin = "http://" + readyField(session, "admin_listen")
	p.peer = readyField(session, "peer_listen")
	d.hosts[name] = p
}

// trace returns the file of a host's trace.
func (d *deployment) trace(name string) string {
	return filepath.Join(d.dir, name+".trace")
}

// loopback returns an address of the loopback range for one host, so that hosts
// can have the same ports without racing for free ones.
func (d *deployment) loopback() string {
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, len(d.hosts)+1)
}

// run runs a command to its end and returns what it printed.
func run(args ...string) string {
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session, changeLimit, poll).Should(gexec.Exit())
	Expect(session.ExitCode()).To(BeZero(), string(session.Err.Contents()))
	return string(session.Out.Contents())
}

// apply applies a manifest through a host and waits until it is in force.
func (d *deployment) apply(p *entryProcess, manifest string) {
	file := filepath.Join(d.dir, "manifest.ini")
	Expect(os.WriteFile(file, []byte(manifest), 0o600)).To(Succeed())
	run("apply", "--host", p.admin, "-f", file, "--wait")
}

// awaitHosts waits until every host knows all others as alive.
func (d *deployment) awaitHosts() {
	for _, p := range d.hosts {
		Eventually(func() int {
			return strings.Count(run("get", "host", "--host", p.admin), " alive ")
		}, changeLimit, poll).Should(Equal(len(d.hosts)))
	}
}

// keysProbed is how many keys awaitKeys wants served in a row: enough that every pair of
// three hosts holds some of them.
const keysProbed = 16

// awaitKeys waits until requests with idempotency keys are served, whichever hosts hold the
// key. After all hosts have started, the holders of keys don't vouch for a key for some
// seconds, up to ten after they have found each other, and a first sending without an
// attempt number is refused with 210.
func (d *deployment) awaitKeys(p *entryProcess) {
	tries := 0
	Eventually(func(g Gomega) {
		for range keysProbed {
			tries++
			served := chat(p, `{"model":"assistant","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}`,
				"Idempotency-Key", fmt.Sprint("ready-", tries))
			g.Expect(served.status).To(Equal(http.StatusOK), served.body)
		}
	}, changeLimit, poll).Should(Succeed())
}

// schedulerOf returns the name of the host that schedules a pool, on which all
// hosts agree.
func (d *deployment) schedulerOf(pool string) string {
	var name string
	Eventually(func(g Gomega) {
		names := map[string]bool{}
		for host := range d.hosts {
			name = d.schedulerFrom(host, pool)
			names[name] = true
		}
		g.Expect(names).To(HaveLen(1))
		g.Expect(name).NotTo(BeEmpty())
	}, changeLimit, poll).Should(Succeed())
	return name
}

// schedulerFrom returns the name of the host that one host takes for a pool's
// scheduler; empty if it knows none.
func (d *deployment) schedulerFrom(host, pool string) string {
	line := regexp.MustCompile(`(?m)^pool ` + regexp.QuoteMeta(pool) + ` scheduler=(\S+)`)
	match := line.FindStringSubmatch(run("get", "pool", "--host", d.hosts[host].admin))
	if match == nil {
		return ""
	}
	return match[1]
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	header http.Header
	body   string
}

// chat sends a chat completion.
func chat(p *entryProcess, body string, headers ...string) reply {
	return send(p, "/v1/chat/completions", body, headers...)
}

// send sends a request with extra headers given as name, value pairs.
func send(p *entryProcess, path, body string, headers ...string) reply {
	got, err := trySend(p, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	return got
}

// trySend is send for a host that may die meanwhile.
func trySend(p *entryProcess, path, body string, headers ...string) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, p.caller+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text)}, err
}

// arrivals returns the stand-in's count of what it has read.
func arrivals(address string) string {
	resp, err := http.Get("http://" + address + "/standin/arrivals")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// arrived returns how often a stand-in has read each request.
func arrived(address string) map[string]int {
	var counted struct {
		Requests map[string]int `json:"requests"`
	}
	Expect(json.Unmarshal([]byte(arrivals(address)), &counted)).To(Succeed())
	return counted.Requests
}

// bookings returns the number of bookings a plain service has made.
func bookings(address string) int {
	var counted struct {
		Bookings int `json:"bookings"`
	}
	Expect(json.Unmarshal([]byte(arrivals(address)), &counted)).To(Succeed())
	return counted.Bookings
}

// toggle sets switches of a stand-in.
func toggle(base, switches string) {
	resp, err := http.Post(base+"/standin/switch", "application/json", strings.NewReader(switches))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(BeNumerically("<", 300), string(text))
}

// stop asks a host to stop as planned and waits for its end.
func (p *entryProcess) stop() {
	p.session.Terminate()
	Eventually(p.session, stopLimit, poll).Should(gexec.Exit(0))
	Expect(p.session.Err).To(gbytes.Say("event=stopped"))
}

package traffic_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"

	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

const (
	chatPath    = "/v1/chat/completions"
	bookingPath = "/bookings"
	model       = "assistant"
	bookings    = "bookings"
	bearer      = "team-key"
	maxBody     = 1 << 16
	retryAfter  = 3 * time.Second
	// wide bounds waits for events.
	wide = 30 * time.Second
)

// bench is one traffic side with its endpoints.
type bench struct {
	engine  *engine.Server
	service *service.Server
	runner  *traffic.Runner
	server  *entry.Server
	control *fakeControl
	address string
}

// libraryWorkers are goroutines of fasthttp's own: two that it starts once in a
// process, and the sweeper of a server's idle workers, which looks for the
// server's end every 10 seconds only.
var libraryWorkers = Or(
	gleak.IgnoringCreator("github.com/valyala/fasthttp.updateServerDate"),
	gleak.IgnoringCreator("github.com/valyala/fasthttp.(*TCPDialer).startTCPAddrsClean"),
	gleak.IgnoringCreator("github.com/valyala/fasthttp.(*workerPool).Start"),
)

// newBench starts a traffic side before an engine of a decode rate in tokens
// per second. At the end of the spec nothing of it may be left.
func newBench(decodeRate float64) *bench {
	before := gleak.Goroutines()
	b := &bench{control: newFakeControl()}
	b.engine = engine.New(engine.Options{
		Name: "e1", Model: model, RestartDelay: 100 * time.Millisecond,
		Speed: engine.Speed{PrefillRate: 1e6, DecodeRate: decodeRate, Slots: 64, CacheTokens: 1 << 16},
	})
	b.service = service.New(service.Options{Name: "s1"})
	b.runner = traffic.NewRunner(traffic.Options{
		Self: "h1", Post: b.control.post, Gap: func(ident.Tier, time.Duration) {},
		Send: func(ident.Host, *peerpb.Envelope) bool { return false },
	})
	b.control.runner = b.runner
	b.server = entry.New(entry.Options{
		Host: "h1", Incarnation: 1, Post: b.control.post, Runner: b.runner,
		Now: sinceStart(), OnOutcome: func(entry.Outcome) {}, Metrics: http.NotFoundHandler(),
	})
	b.server.Configure(snapshot())
	var serving sync.WaitGroup
	b.control.addresses[model] = serve(&serving, b.engine.Serve)
	awaitServing(b.control.addresses[model])
	b.control.addresses[bookings] = serve(&serving, b.service.Serve)
	b.address = serve(&serving, b.server.Serve)
	DeferCleanup(func() {
		Eventually(b.server.Active).WithTimeout(wide).Should(BeZero())
		Expect(b.server.Shutdown()).To(Succeed())
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.runner.Wait()
		}()
		Eventually(done).WithTimeout(wide).Should(BeClosed(), "a job was left")
		Expect(b.engine.Close()).To(Succeed())
		Expect(b.service.Close()).To(Succeed())
		serving.Wait()
		Eventually(gleak.Goroutines).WithTimeout(wide).ShouldNot(gleak.HaveLeaked(before, libraryWorkers))
	})
	return b
}

// serve runs a server on a loopback port and returns its address.
func serve(serving *sync.WaitGroup, run func(net.Listener) error) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	serving.Go(func() { _ = run(ln) })
	return ln.Addr().String()
}

// awaitServing returns when a server has answered a request. A spec may start several benches, and
// each takes goroutines of an earlier bench that start after its own snapshot for leaked ones.
func awaitServing(address string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wide}
	answer, err := client.Get("http://" + address + "/not-served")
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Body.Close()).To(Succeed())
}

func sinceStart() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// snapshot declares a team, its tier and two routes.
func snapshot() *resource.Snapshot {
	sum := sha256.Sum256([]byte(bearer))
	return &resource.Snapshot{
		Revision: 1,
		Tiers: map[string]resource.Tier{
			"urgent":   {Name: "urgent", Rank: 0, Deadline: time.Minute},
			"standard": {Name: "standard", Rank: 1, Deadline: time.Minute},
		},
		Teams: map[string]resource.Team{"t": {
			Name: "t", Tier: "standard", KeySHA256: []string{hex.EncodeToString(sum[:])},
		}},
		Routes: map[string]resource.Route{
			"chat": {
				Name: "chat", Path: chatPath, Model: model, Target: model,
				Type: resource.EndpointEngine, Idempotent: true, MaxBody: maxBody, MaxTokens: 512,
			},
			"booking": {
				Name: "booking", Path: bookingPath, Target: bookings,
				Type: resource.EndpointService, MaxBody: maxBody,
			},
		},
	}
}

// reply is what a caller got.
type reply struct {
	status int
	code   result.Code
	body   string
	header http.Header
}

// errorCode returns the code in the body of an answer that isn't whole.
func (r reply) errorCode() result.Code {
	var doc struct {
		Error struct{ Code result.Code } `json:"error"`
	}
	data := strings.TrimPrefix(strings.TrimSpace(r.body), "data: ")
	Expect(json.Unmarshal([]byte(data), &doc)).To(Succeed(), r.body)
	return doc.Error.Code
}

// client keeps no connection, so that none is left at the end.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wide}

// send sends one request with headers given as pairs and reads its answer.
func (b *bench) send(method, path string, body []byte, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+b.address+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	code, _ := strconv.Atoi(resp.Header.Get(entry.HeaderCode))
	return reply{resp.StatusCode, result.Code(code), string(read), resp.Header}
}

// question returns a chat completion of its own with an answer of a length in
// tokens, and the text of that answer.
func question(text string, tokens int) (body []byte, want string) {
	var r engine.ChatRequest
	body = []byte(`{"model":"assistant","messages":[{"role":"user","content":` + strconv.Quote(text) +
		`}],"x_output_tokens":` + strconv.Itoa(tokens) + `}`)
	Expect(json.Unmarshal(body, &r)).To(Succeed())
	return body, engine.Answer(&r)
}

// ask sends a question and expects the whole answer to it.
func (b *bench) ask(text string, tokens int) {
	body, want := question(text, tokens)
	got := b.send(http.MethodPost, chatPath, body)
	Expect(got.code).To(Equal(result.OK), got.body)
	var doc struct {
		Choices []struct{ Message struct{ Content string } }
	}
	Expect(json.Unmarshal([]byte(got.body), &doc)).To(Succeed())
	Expect(doc.Choices[0].Message.Content).To(Equal(want))
}

// askMany asks different questions at once.
func (b *bench) askMany(name string, n, tokens int) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			defer GinkgoRecover()
			b.ask(name+strconv.Itoa(i), tokens)
		})
	}
	group.Wait()
}

// expectOneArrivalEach checks that no request reached the engine twice.
func (b *bench) expectOneArrivalEach(requests int) {
	arrivals := b.engine.Arrivals().Requests
	Expect(arrivals).To(HaveLen(requests))
	for id, n := range arrivals {
		Expect(n).To(Equal(1), id)
	}
}

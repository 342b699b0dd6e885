package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

// never is longer than any test.
const never = time.Hour

// fast is a speed at which tests take no time.
var fast = engine.Speed{PrefillRate: 1e6, DecodeRate: 1e4, Slots: 8, CacheTokens: 1 << 16}

// stuck is a speed at which no first token comes.
var stuck = engine.Speed{PrefillRate: 1e-3, DecodeRate: 1, Slots: 8}

// start runs an engine for the length of a spec and returns it and its address.
func start(options engine.Options) (*engine.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := engine.New(options)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	DeferCleanup(func() {
		Expect(server.Close()).To(Succeed())
		Eventually(served).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
	return server, listener.Addr().String()
}

// reply is the answer to a call. Its body is closed at the end of the spec.
type reply struct {
	status int
	header http.Header
	body   io.Reader
}

// call makes a request on a connection of its own.
func call(method, addr, path, id string, body any) (reply, error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(api.HeaderRequest, id)
	request.Header.Set(api.HeaderAttempt, "1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request) //nolint:bodyclose // closed at the end of the spec
	if err != nil {
		return reply{}, err
	}
	DeferCleanup(func() { _ = response.Body.Close() })
	return reply{status: response.StatusCode, header: response.Header, body: response.Body}, nil
}

// get calls a path and decodes the answer; it returns the status.
func get(addr, path string, out any) int {
	response, err := call(http.MethodGet, addr, path, "", nil)
	Expect(err).NotTo(HaveOccurred())
	if out != nil {
		Expect(json.NewDecoder(response.body).Decode(out)).To(Succeed())
	}
	return response.status
}

// ask returns a streamed request with a prompt.
func ask(prompt string, tokens int) *engine.ChatRequest {
	return &engine.ChatRequest{
		Model:        "m",
		Stream:       true,
		OutputTokens: tokens,
		Messages:     []api.Message{{Role: "user", Content: api.Content(prompt)}},
	}
}

// answer is what came of a stream.
type answer struct {
	chunks []api.Chunk
	whole  bool
	err    error
}

// text returns the text of the chunks.
func (a answer) text() string {
	var text strings.Builder
	for _, chunk := range a.chunks {
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

// read reads a stream to its end.
func read(body io.Reader) answer {
	var a answer
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == api.DoneMarker:
			a.whole = true
		default:
			var chunk api.Chunk
			Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
			a.chunks = append(a.chunks, chunk)
		}
	}
	a.err = lines.Err()
	return a
}

// stream runs a request and reads its answer to the end.
func stream(addr, id string, request *engine.ChatRequest) answer {
	response, err := call(http.MethodPost, addr, api.PathChat, id, request)
	if err != nil {
		return answer{err: err}
	}
	Expect(response.status).To(Equal(http.StatusOK))
	return read(response.body)
}

// expectWhole checks that an answer is whole and the one to its own request.
func expectWhole(a answer, id string, request *engine.ChatRequest) {
	GinkgoHelper()
	Expect(a.err).NotTo(HaveOccurred())
	Expect(a.whole).To(BeTrue())
	Expect(a.text()).To(Equal(engine.Answer(request)))
	for seq, chunk := range a.chunks {
		Expect(chunk.ID).To(Equal(id))
		Expect(chunk.Seq).To(Equal(seq))
	}
}

var _ = Describe("an engine", func() {
	It("streams the whole answer to its own prompt, usage last", func() {
		_, addr := start(engine.Options{Speed: fast})
		request := ask("hello", 0)
		a := stream(addr, "r1", request)
		expectWhole(a, "r1", request)
		for _, chunk := range a.chunks[:len(a.chunks)-1] {
			Expect(chunk.Usage).To(BeNil())
		}
		Expect(a.chunks[len(a.chunks)-1].Usage).To(HaveValue(Equal(api.Usage{
			PromptTokens: 2, CompletionTokens: len(a.chunks), TotalTokens: 2 + len(a.chunks),
		})))
		other := stream(addr, "r2", ask("hallo", 0))
		Expect(other.text()).NotTo(Equal(a.text()))
	})

	It("answers as one body and bounds the length", func() {
		_, addr := start(engine.Options{Speed: fast})
		request := ask("hello", 50)
		request.Stream, request.MaxTokens = false, 7
		response, err := call(http.MethodPost, addr, api.PathChat, "r1", request)
		Expect(err).NotTo(HaveOccurred())
		var body struct {
			ID      string
			Choices []struct{ Message struct{ Content string } }
			Usage   api.Usage
		}
		Expect(json.NewDecoder(response.body).Decode(&body)).To(Succeed())
		Expect(body.ID).To(Equal("r1"))
		Expect(body.Choices[0].Message.Content).To(Equal(engine.Answer(request)))
		Expect(body.Usage.CompletionTokens).To(Equal(7))
	})

	It("resumes a known request and no other", func() {
		server, addr := start(engine.Options{Speed: fast})
		request := ask("hello", 20)
		expectWhole(stream(addr, "r1", request), "r1", request)
		response, err := call(http.MethodGet, addr, api.PathResume+"r1"+api.SuffixStream+"?from=15", "", nil)
		Expect(err).NotTo(HaveOccurred())
		a := read(response.body)
		Expect(a.whole).To(BeTrue())
		Expect(a.chunks).To(HaveLen(5))
		Expect(a.chunks[0].Seq).To(Equal(15))
		Expect(engine.Answer(request)).To(HaveSuffix(a.text()))
		Expect(get(addr, api.PathResume+"r2"+api.SuffixStream, nil)).To(Equal(http.StatusNotFound))
		Expect(server.Arrivals().Requests).To(Equal(map[string]int{"r1": 1}), "a resume is no arrival")
	})

	It("cancels a request and frees its place", func() {
		_, addr := start(engine.Options{Speed: stuck})
		response, err := call(http.MethodPost, addr, api.PathChat, "r1", ask("hello", 10))
		Expect(err).NotTo(HaveOccurred())
		var load api.Load
		get(addr, api.PathLoad, &load)
		Expect(load).To(Equal(api.Load{Running: 1}))
		canceled, err := call(http.MethodDelete, addr, api.PathResume+"r1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(canceled.status).To(Equal(http.StatusNoContent))
		a := read(response.body)
		Expect(a.whole).To(BeFalse())
		get(addr, api.PathLoad, &load)
		Expect(load).To(Equal(api.Load{}))
		unknown, err := call(http.MethodDelete, addr, api.PathResume+"r2", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(unknown.status).To(Equal(http.StatusNotFound))
	})

	It("tells cached blocks, exports and imports them", func() {
		prompt := strings.Repeat("0123456789abcdef", 100)
		hashes := prefix.Hashes([]byte(prompt))
		_, from := start(engine.Options{Speed: fast})
		_, to := start(engine.Options{Speed: fast})
		stream(from, "r1", ask(prompt, 1))

		var events api.CacheEvents
		get(from, api.PathCacheEvents+"?after=0", &events)
		Expect(events.Events).To(HaveLen(1))
		Expect(events.Events[0].Stored).To(ConsistOf(hashes))
		var kv api.KV
		last := strconv.FormatUint(hashes[len(hashes)-1], 10)
		Expect(get(to, api.PathKV+last, nil)).To(Equal(http.StatusNotFound))
		Expect(get(from, api.PathKV+last, &kv)).To(Equal(http.StatusOK))
		Expect(kv.Hashes).To(Equal(hashes))
		imported, err := call(http.MethodPost, to, api.PathKV, "", kv)
		Expect(err).NotTo(HaveOccurred())
		Expect(imported.status).To(Equal(http.StatusNoContent))
		a := stream(to, "r1", ask(prompt, 1))
		Expect(a.chunks[0].Usage.CachedTokens).To(Equal(len(hashes) * prefix.BlockTokens))
	})
})

var _ = Describe("an engine's faults", func() {
	It("crashes on a marked request and comes back knowing nothing", func() {
		server, addr := start(engine.Options{Speed: fast, RestartDelay: 50 * time.Millisecond})
		server.Set(engine.Switches{CrashMarker: "poison"})
		var before, after api.State
		get(addr, api.PathState, &before)
		slow := ask("hello", 1<<20)
		response, err := call(http.MethodPost, addr, api.PathChat, "bystander", slow)
		Expect(err).NotTo(HaveOccurred())

		Expect(stream(addr, "r1", ask("some poison here", 5)).err).To(HaveOccurred())
		a := read(response.body)
		Expect(a.err).To(HaveOccurred(), "the connection is cut, not ended")
		Expect(a.whole).To(BeFalse())

		Eventually(func() error {
			_, err := call(http.MethodGet, addr, api.PathState, "", nil)
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		get(addr, api.PathState, &after)
		Expect(after.Boot).NotTo(Equal(before.Boot))
		Expect(get(addr, api.PathResume+"bystander"+api.SuffixStream, nil)).To(Equal(http.StatusNotFound))
		expectWhole(stream(addr, "r2", ask("hello", 5)), "r2", ask("hello", 5))
		Expect(server.Arrivals().Requests).To(Equal(map[string]int{"bystander": 1, "r1": 1, "r2": 1}))
	})

	It("comes back on its port after every crash", func() {
		server, addr := start(engine.Options{Speed: fast, RestartDelay: time.Millisecond})
		boots := map[string]bool{}
		for range 100 {
			var state api.State
			Eventually(func() error {
				reply, err := call(http.MethodGet, addr, api.PathState, "", nil)
				if err != nil {
					return err
				}
				return json.NewDecoder(reply.body).Decode(&state)
			}).WithTimeout(10 * time.Second).Should(Succeed())
			boots[state.Boot] = true
			server.Crash()
		}
		Expect(boots).To(HaveLen(100))
	})

	It("refuses connections while it is away", func() {
		server, addr := start(engine.Options{Speed: fast, RestartDelay: never})
		get(addr, api.PathState, nil)
		server.Crash()
		Eventually(func() error {
			conn, err := net.Dial("tcp", addr)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}).WithTimeout(10 * time.Second).Should(MatchError(ContainSubstring("refused")))
	})

	It("lets open connections go silent while new ones work", func() {
		// The first token comes at once, the second one never.
		server, addr := start(engine.Options{Speed: engine.Speed{PrefillRate: 1e6, DecodeRate: 1e-3}})
		response, err := call(http.MethodPost, addr, api.PathChat, "r1", ask("hello", 40))
		Expect(err).NotTo(HaveOccurred())
		first, err := bufio.NewReader(response.body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(ContainSubstring("r1"))
		server.Silence()
		silent := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			silent <- read(response.body)
		}()

		resumed, err := call(http.MethodGet, addr, api.PathResume+"r1"+api.SuffixStream, "", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = call(http.MethodDelete, addr, api.PathResume+"r1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		a := read(resumed.body)
		Expect(a.err).NotTo(HaveOccurred(), "the end of the canceled stream comes on a new connection")
		Expect(a.chunks).To(HaveLen(1))
		Consistently(silent).WithTimeout(200*time.Millisecond).ShouldNot(Receive(), "and not on the silent one")
	})

	It("crosses answers half-way", func() {
		server, addr := start(engine.Options{Speed: fast})
		server.Set(engine.Switches{Cross: 1})
		request := ask("hello", 10)
		a := stream(addr, "r1", request)
		Expect(a.chunks).To(HaveLen(10))
		Expect(a.chunks[4].ID).To(Equal("r1"))
		Expect(a.chunks[5].ID).NotTo(Equal("r1"))
		Expect(a.text()).NotTo(Equal(engine.Answer(request)))
		expectWhole(stream(addr, "r2", request), "r2", request)
	})

	It("truncates answers without an error", func() {
		server, addr := start(engine.Options{Speed: fast})
		server.Set(engine.Switches{Truncate: 1})
		request := ask("hello", 10)
		a := stream(addr, "r1", request)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.whole).To(BeFalse())
		Expect(a.chunks).To(HaveLen(5))
		expectWhole(stream(addr, "r2", request), "r2", request)
	})

	It("closes a connection after it has read and run the request", func() {
		server, addr := start(engine.Options{Speed: fast})
		server.Set(engine.Switches{CloseAfterRead: 1})
		request := ask("hello", 10)
		Expect(stream(addr, "r1", request).err).To(HaveOccurred())
		Expect(server.Arrivals()).To(Equal(engine.Arrivals{
			Requests: map[string]int{"r1": 1},
			Attempts: map[string]int{"r1/1": 1},
			Prompts:  map[string]int{engine.PromptKey([]byte("hello")): 1},
		}))
		resumed, err := call(http.MethodGet, addr, api.PathResume+"r1"+api.SuffixStream, "", nil)
		Expect(err).NotTo(HaveOccurred())
		expectWhole(read(resumed.body), "r1", request)
	})

	It("holds answers back", func() {
		server, addr := start(engine.Options{Speed: fast})
		server.Set(engine.Switches{Late: never})
		response, err := call(http.MethodPost, addr, api.PathChat, "late", ask("hello", 1))
		Expect(err).NotTo(HaveOccurred())
		late := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			late <- read(response.body)
		}()
		server.Set(engine.Switches{})
		expectWhole(stream(addr, "r1", ask("hello", 1)), "r1", ask("hello", 1))
		Expect(late).NotTo(Receive())
	})

	It("takes its switches over HTTP", func() {
		server, addr := start(engine.Options{Speed: fast})
		want := engine.Switches{Slow: 2, Late: time.Second, CrashMarker: "x", Cross: 1, Truncate: 2, CloseAfterRead: 3}
		response, err := call(http.MethodPost, addr, engine.PathSwitch, "", want)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.status).To(Equal(http.StatusOK))
		Expect(server.Switches()).To(Equal(want))
	})
})

// order sends an order and returns the status and the state.
func order(addr string, o api.Order) (int, api.State) {
	response, err := call(http.MethodPost, addr, api.PathOrders, "", o)
	Expect(err).NotTo(HaveOccurred())
	var state api.State
	if response.status == http.StatusOK {
		Expect(json.NewDecoder(response.body).Decode(&state)).To(Succeed())
	}
	return response.status, state
}

var _ = Describe("orders", func() {
	role := func(id string, fence uint64, value string) api.Order {
		return api.Order{ID: id, Fence: fence, Action: string(resource.OrderSetRole), Value: value}
	}

	It("are refused with an old fencing number where that is enforced", func() {
		server, addr := start(engine.Options{Fencing: resource.FencingEnforced, RestartDelay: time.Millisecond})
		status, state := order(addr, role("o1", 5, "prefill"))
		Expect(status).To(Equal(http.StatusOK))
		Expect(state).To(And(HaveField("Role", "prefill"), HaveField("Fence", BeEquivalentTo(5)), HaveField("LastOrder", "o1")))
		status, _ = order(addr, role("o2", 4, "decode"))
		Expect(status).To(Equal(http.StatusConflict))
		status, state = order(addr, role("o1", 4, "prefill"))
		Expect(status).To(Equal(http.StatusOK), "a known order is answered again")
		Expect(state.Role).To(Equal("prefill"))

		server.Crash()
		Eventually(func() error {
			_, err := call(http.MethodGet, addr, api.PathState, "", nil)
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		get(addr, api.PathState, &state)
		Expect(state.Role).To(BeEmpty())
		status, _ = order(addr, role("o3", 4, "decode"))
		Expect(status).To(Equal(http.StatusConflict), "the fencing number outlives a crash")
	})

	It("are taken with any fencing number where that is ignored", func() {
		_, addr := start(engine.Options{Fencing: resource.FencingIgnored})
		order(addr, role("o1", 5, "prefill"))
		status, state := order(addr, role("o2", 4, "decode"))
		Expect(status).To(Equal(http.StatusOK))
		Expect(state).To(And(HaveField("Role", "decode"), HaveField("Fence", BeZero())))
	})

	It("wait for the weight store", func() {
		weights := standin.NewFake(standin.Options{WeightInterval: never})
		_, addr := start(engine.Options{Model: "m", Weights: weights})
		load := api.Order{ID: "o1", Action: string(resource.OrderLoadModel), Value: "m2"}
		status, state := order(addr, load)
		Expect(status).To(Equal(http.StatusOK))
		Expect(state.Models).To(Equal([]string{"m", "m2"}))
		load.ID, load.Value = "o2", "m3"
		response, err := call(http.MethodPost, addr, api.PathOrders, "", load)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.status).To(Equal(http.StatusTooManyRequests))
		Expect(response.header.Get("Retry-After")).To(Equal("3600"))
		weights.Set(standin.Switches{Down: true})
		status, _ = order(addr, load)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		get(addr, api.PathState, &state)
		Expect(state.Models).To(Equal([]string{"m", "m2"}))
	})

	It("with an unknown action are refused", func() {
		_, addr := start(engine.Options{})
		status, _ := order(addr, api.Order{ID: "o1", Action: "dance"})
		Expect(status).To(Equal(http.StatusBadRequest))
	})

	It("have no effect if the engine crashes meanwhile", func() {
		server, addr := start(engine.Options{LoadTime: never, RestartDelay: time.Millisecond})
		failed := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			load := api.Order{ID: "o1", Fence: 7, Action: string(resource.OrderLoadModel), Value: "m2"}
			_, err := call(http.MethodPost, addr, api.PathOrders, "", load)
			failed <- err
		}()
		var state api.State
		Eventually(func() uint64 {
			get(addr, api.PathState, &state)
			return state.Fence
		}).WithTimeout(10 * time.Second).Should(BeEquivalentTo(7))
		server.Crash()
		Eventually(failed).WithTimeout(10 * time.Second).Should(Receive(HaveOccurred()))
		Expect(state.LastOrder).To(BeEmpty())
	})
})

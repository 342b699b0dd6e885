package load

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
)

// options returns options that pass Check.
func options() Options {
	return Options{
		Target: "http://127.0.0.1:1", Rate: 500, Duration: time.Second, Requests: 40,
		MaxInFlight: 100, Seed: 7, Model: "m", Deadline: time.Minute,
		Prompt: Range{Min: 4, Max: 400}, Output: Range{Min: 1, Max: 20},
	}
}

// start runs an engine stand-in and returns it and its base URL.
func start(t *testing.T) (*engine.Server, string) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := engine.New(engine.Options{Speed: engine.Speed{PrefillRate: 1e7, DecodeRate: 1e4}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	})
	return server, "http://" + listener.Addr().String()
}

func TestLoadStaysOnThisMachine(t *testing.T) {
	g := NewWithT(t)
	for _, target := range []string{
		"http://192.0.2.1:80", "http://10.0.0.1", "http://localhost:80", "http://example.org",
		"https://127.0.0.1:1", "127.0.0.1:1", "http://127.0.0.1.example.org", "http://[::ffff:192.0.2.1]:80",
		"http://0.0.0.0:80", "http://127.0.0.1@192.0.2.1/",
	} {
		o := options()
		o.Target = target
		_, err := Run(t.Context(), o)
		g.Expect(err).To(HaveOccurred(), target)
		o = options()
		o.Direct = []string{"http://127.0.0.1:1", target}
		g.Expect(o.Check()).NotTo(Succeed(), target)
	}
	o := options()
	o.Target = "http://192.0.2.1:80"
	g.Expect(o.Check()).To(MatchError(ContainSubstring("not a loopback IP address")))
	for _, target := range []string{"http://127.0.0.1:80", "http://127.9.9.9", "http://[::1]:80"} {
		o.Target = target
		g.Expect(o.Check()).To(Succeed(), target)
	}
}

func TestLoadIsBounded(t *testing.T) {
	g := NewWithT(t)
	for name, change := range map[string]func(*Options){
		"rate":      func(o *Options) { o.Rate = MaxRate + 1 },
		"no rate":   func(o *Options) { o.Rate = 0 },
		"duration":  func(o *Options) { o.Duration = MaxDuration + 1 },
		"requests":  func(o *Options) { o.Requests = MaxRequests + 1 },
		"in flight": func(o *Options) { o.MaxInFlight = 0 },
		"prompt":    func(o *Options) { o.Prompt.Max = 1 << 30 },
		"output":    func(o *Options) { o.Output = Range{Min: 2, Max: 1} },
		"deadline":  func(o *Options) { o.Deadline = 0 },
	} {
		o := options()
		change(&o)
		g.Expect(o.Check()).NotTo(Succeed(), name)
	}
}

func TestPlanFollowsFromItsOptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		o := options()
		o.Seed = rapid.Uint64().Draw(t, "seed")
		o.Families = rapid.IntRange(0, 3).Draw(t, "families")
		o.Tiers = []string{"high", "low"}
		o.Direct = []string{"http://127.0.0.1:2", "http://127.0.0.1:3"}
		plan := makePlan(&o)
		g.Expect(makePlan(&o)).To(Equal(plan))
		g.Expect(len(plan)).To(BeNumerically("<=", 2*o.Requests))
		prompts := map[string]bool{}
		for i, p := range plan {
			g.Expect(p.at).To(BeNumerically("<", o.Duration))
			if i > 0 {
				g.Expect(p.at).To(BeNumerically(">=", plan[i-1].at))
			}
			g.Expect(p.request.OutputTokens).To(And(BeNumerically(">=", o.Output.Min), BeNumerically("<=", o.Output.Max)))
			g.Expect(len(p.request.Prompt())).To(BeNumerically("<=", o.Prompt.Max*4))
			g.Expect(prompts).NotTo(HaveKey(string(p.request.Prompt())))
			prompts[string(p.request.Prompt())] = true
		}
		for i := 0; i < len(plan); i += 2 {
			g.Expect(plan[i].lane).NotTo(Equal(plan[i+1].lane))
			g.Expect(plan[i].request.OutputTokens).To(Equal(plan[i+1].request.OutputTokens))
			g.Expect(plan[i].at).To(Equal(plan[i+1].at))
		}
	})
}

func TestRunCountsWholeAnswersOfBothLanes(t *testing.T) {
	g := NewWithT(t)
	server, base := start(t)
	o := options()
	o.Target, o.Direct, o.Tiers = base, []string{base}, []string{"high"}
	report, err := Run(t.Context(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Faulty()).To(BeZero())
	g.Expect(report.Goodput(LaneEntry)).To(Equal(1.0))
	g.Expect(report.Goodput(LaneDirect)).To(Equal(1.0))
	g.Expect(server.Arrivals().Prompts).To(And(HaveLen(80), HaveEach(1)))
	var text strings.Builder
	g.Expect(report.Write(&text)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring(`lane=entry tier="high" offered=40 whole=40 in_time=40`))
	g.Expect(text.String()).To(ContainSubstring("event=added_by_entry first_token_p50="))
}

// Without the checks of id and text all answers would count as whole.
func TestRunFindsAnswersThatAreCutOrWrong(t *testing.T) {
	g := NewWithT(t)
	server, base := start(t)
	server.Set(engine.Switches{Cross: 3, Truncate: 4, CloseAfterRead: 2})
	o := options()
	o.Target = base
	report, err := Run(t.Context(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Faulty()).To(Equal(7))
	ends := report.tallies[group{lane: LaneEntry}].ends
	g.Expect(ends).To(Equal([kinds]int{whole: 31, cut: 4, wrong: 3, failed: 2}))
	g.Expect(server.Arrivals().Prompts).To(And(HaveLen(40), HaveEach(1)), "nothing is sent twice")
}

func TestRunCountsRefusalsByTheirCode(t *testing.T) {
	g := NewWithT(t)
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Use(func(c *fiber.Ctx) error {
		g.Expect(c.Get("Authorization")).To(Equal("Bearer k"))
		g.Expect(c.Get(entry.HeaderTier)).To(Equal("low"))
		g.Expect(c.Get(entry.HeaderDeadline)).To(Equal("60000"))
		c.Set(entry.HeaderCode, "200")
		return c.SendStatus(http.StatusTooManyRequests)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = app.Listener(listener) }()
	defer func() { _ = app.Shutdown() }()
	o := options()
	o.Target, o.Keys, o.Tiers = "http://"+listener.Addr().String(), []string{"k"}, []string{"low"}
	report, err := Run(t.Context(), o)
	g.Expect(err).NotTo(HaveOccurred())
	counts := report.tallies[group{lane: LaneEntry, tier: "low"}]
	g.Expect(counts.reasons).To(Equal(map[string]int{"refused: 200": 40}))
	g.Expect(report.Goodput(LaneEntry)).To(BeZero())
}

func TestErrorEventIsNoCut(t *testing.T) {
	g := NewWithT(t)
	const chunk = `data: {"id":"r1","choices":[{"delta":{"content":"bafijo"}}]}` + "\n\n"
	request := engine.ChatRequest{OutputTokens: 2}
	end := func(stream string) outcome {
		return receive(strings.NewReader(stream), time.Now(), "r1", &request)
	}
	lost := end(chunk + `data: {"error":{"code":301,"ran":"unknown"}}` + "\n\n")
	g.Expect([]any{lost.kind, lost.reason}).To(Equal([]any{erred, "301"}))
	g.Expect(end(chunk).kind).To(Equal(cut))
	g.Expect(end(chunk + "data: {\n\n").kind).To(Equal(cut))
	g.Expect(end(chunk + "data: [DONE]\n\n").kind).To(Equal(wrong))
	g.Expect(end(strings.ReplaceAll(chunk, "r1", "r2")).kind).To(Equal(wrong))
}

func TestRunBoundsWhatIsUnderWay(t *testing.T) {
	g := NewWithT(t)
	server, base := start(t)
	server.Set(engine.Switches{Late: time.Hour})
	o := options()
	o.Target, o.MaxInFlight = base, 5
	r := newRunner(&o)
	plan := makePlan(&o)
	for i := range 8 {
		r.start(&plan[i], 0)
	}
	// The engine has read a request before it holds back the answer to it.
	g.Eventually(func() int { return len(server.Arrivals().Prompts) }).WithTimeout(10 * time.Second).Should(Equal(5))
	server.Crash()
	r.group.Wait()
	ends := r.report.tallies[group{lane: LaneEntry}].ends
	g.Expect(ends[unsent]).To(Equal(3))
	g.Expect(ends[cut] + ends[failed]).To(Equal(5))
}

package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

// benchKeySum is the SHA-256 sum of the key "demo-key".
const benchKeySum = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

// BenchmarkParse measures the parsing and checking of a request before it is posted to the
// control loop, by prompt size.
func BenchmarkParse(b *testing.B) {
	s := &Server{ids: newIDSource("h", 1)}
	s.opts.Now = func() time.Duration { return 0 }
	x := newIndex(resource.NewSnapshot().With(1, []resource.Item{
		{Kind: resource.KindTier, Name: "t", Spec: resource.Tier{Name: "t"}},
		{Kind: resource.KindTeam, Name: "team", Spec: resource.Team{
			Name: "team", Tier: "t", KeySHA256: []string{benchKeySum},
		}},
		{Kind: resource.KindRoute, Name: "chat", Spec: resource.Route{
			Name: "chat", Path: engine.PathChat, Model: "m", Target: "m",
			Type: resource.EndpointEngine, Idempotent: true,
		}},
	}))
	app := fiber.New()
	for _, size := range []int{1 << 10, 1 << 13, 1 << 16} {
		b.Run(fmt.Sprintf("prompt=%dB", size), func(b *testing.B) {
			body, err := json.Marshal(map[string]any{"model": "m", "messages": []map[string]string{
				{"role": "user", "content": strings.Repeat("word ", size/5)},
			}})
			if err != nil {
				b.Fatal(err)
			}
			raw := &fasthttp.RequestCtx{}
			raw.Request.Header.SetMethod(fiber.MethodPost)
			raw.Request.SetRequestURI(engine.PathChat)
			raw.Request.Header.Set(fiber.HeaderAuthorization, "Bearer demo-key")
			raw.Request.SetBody(body)
			c := app.AcquireCtx(raw)
			defer app.ReleaseCtx(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.parse(c, x); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPart measures the cost per chunk of buffering an answer and copying it to a
// caller, without sockets.
func BenchmarkPart(b *testing.B) {
	part := []byte(`{"id":"entry-1.1","object":"chat.completion.chunk","created":1,"model":"m",` +
		`"choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}],"seq":7}`)
	for _, parts := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			s := &Server{}
			s.opts.Now = func() time.Duration { return time.Second }
			w := bufio.NewWriter(io.Discard)
			b.ReportAllocs()
			for b.Loop() {
				job := &traffic.Job{Answer: answer.New()}
				e := &exchange{server: s, request: &parsedRequest{job: job}}
				for range parts {
					job.Answer.Append(part)
				}
				job.Answer.Finish(answer.Final{Code: result.OK})
				e.copyStream(w)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*parts), "ns/part")
		})
	}
}

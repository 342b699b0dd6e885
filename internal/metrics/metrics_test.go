package metrics

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// failingTable fails each call with its error.
type failingTable struct{ err error }

func (f failingTable) Get(context.Context, string) (platform.Row, error) {
	return platform.Row{}, f.err
}

func (f failingTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, f.err
}

func (f failingTable) Commit(context.Context, platform.Txn) (uint64, error) { return 0, f.err }

// record records each metric at least once.
func record(t *testing.T) *Metrics {
	t.Helper()
	storeEra := uint64(7)
	m, err := New(func() Status {
		return Status{
			Revision: 7, InFlight: 2, Members: map[string]int{"alive": 3},
			Waiting:     map[ident.Tier]int{"urgent": 5},
			RetriesLeft: map[string]float64{"llm": 2.5}, RateShare: map[ident.Team]float64{"clerks": 0.25},
			Slots:     map[NameState]int{{Name: "llm@a", State: "decoding"}: 4},
			Endpoints: map[NameState]int{{Name: "llm", State: "active"}: 6},
			Suspects:  map[NameState]int{{Name: "part", State: "quarantined"}: 1},
			Promises:  map[NameState]int{{Name: "llm@a", State: "kept"}: 1},
			Load:      map[NameState]int{{Name: "llm@a", State: "slow"}: 1},
			Age:       map[string]time.Duration{"configuration": 500 * time.Millisecond},
			StoreEra:  &storeEra,
			Settings:  "5e771465", Held: map[string]int64{"bodies": 72000}, Budget: 1 << 20, Connections: 3,
			Rollouts: map[NameState]int{{Name: "m", State: "watching"}: 1}, RolloutShare: map[string]float64{"m": 0.1},
			Peer: []PeerTraffic{{Kind: "usage", Domain: "other", Messages: 3, Bytes: 120}},
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	good := Answer{
		Tier: "urgent", Code: result.OK, InTime: true,
		QueueWait: time.Millisecond, FirstToken: time.Second, Total: 2 * time.Second, Tries: 2,
	}
	late := good
	late.InTime = false
	m.Answered(&good)
	m.Answered(&late)
	m.Answered(&Answer{Tier: "urgent", Code: result.ShedTier})
	m.Answered(&Answer{Tier: "urgent", Code: result.OutcomeUnknown})
	m.TokenGap("urgent", time.Millisecond)
	m.Reloaded("applied")
	m.Dropped("head_too_long")
	m.EndpointClosed("lost")
	m.EventDropped()
	m.LeftDomain("llm@a", 1200)
	m.CallerLimited("body_refused")
	m.Tokens("urgent", 100, 30, 10, true)
	m.Tokens("urgent", 100, 0, 0, false)
	_, _ = m.Table(failingTable{errors.Wrap(platform.ErrAmbiguous, "lost")}).Commit(t.Context(), platform.Txn{})
	return m
}

// TestPage holds docs/METRICS.md to the code, and the code's names to what is
// scraped.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(Markdown()), "run go generate ./...")
	families, err := record(t).registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	var scraped, listed []string
	for _, family := range families {
		scraped = append(scraped, family.GetName())
	}
	for _, info := range Table {
		listed = append(listed, info.scraped())
	}
	g.Expect(scraped).To(ConsistOf(listed))
}

func TestScrape(t *testing.T) {
	g := NewWithT(t)
	recorder := httptest.NewRecorder()
	record(t).Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`trefoilchute_requests_total{code="ok",tier="urgent"} 2`,
		`trefoilchute_goodput_total{tier="urgent"} 1`,
		`trefoilchute_refusals_total{code="shed_tier",tier="urgent"} 1`,
		`trefoilchute_first_token_seconds_count{tier="urgent"} 2`,
		`trefoilchute_prefill_total{kind="cached",tier="urgent"} 30`,
		`trefoilchute_prefill_total{kind="useful",tier="urgent"} 70`,
		`trefoilchute_prefill_total{kind="wasted",tier="urgent"} 100`,
		`trefoilchute_platform_calls_total{operation="table_commit",outcome="ambiguous"} 1`,
		`trefoilchute_configuration_revision 7`,
		`trefoilchute_callers_limited_total{action="body_refused"} 1`,
		`trefoilchute_callers_held_bytes{kind="bodies"} 72000`,
		`trefoilchute_membership_hosts{state="alive"} 3`,
		`trefoilchute_queue_waiting{tier="urgent"} 5`,
		`trefoilchute_retries_total{tier="urgent"} 2`,
		`trefoilchute_retries_left{target="llm"} 2.5`,
		`trefoilchute_rate_share{team="clerks"} 0.25`,
		`trefoilchute_slots{pool="llm@a",state="decoding"} 4`,
		`trefoilchute_endpoints{state="active",target="llm"} 6`,
		`trefoilchute_age_seconds{of="configuration"} 0.5`,
		`trefoilchute_platform_era 7`,
		`trefoilchute_peer_messages_total{domain="other",kind="usage"} 3`,
		`trefoilchute_peer_sent_bytes_total{domain="other",kind="usage"} 120`,
	} {
		g.Expect(recorder.Body.String()).To(ContainSubstring(line + "\n"))
	}
	g.Expect(recorder.Body.String()).NotTo(ContainSubstring(`refusals_total{code="outcome_unknown"`))
}

func BenchmarkTokenGap(b *testing.B) {
	m, err := New(func() Status { return Status{} })
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.TokenGap("urgent", time.Millisecond)
	}
}

package resource

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// deployment returns the resources of a deployment with numbers of teams and
// endpoints.
func deployment(teams, endpoints int) *Snapshot {
	items := []Item{tierItem("high", 0)}
	for i := range teams {
		name := fmt.Sprint("team-", i)
		items = append(items, Item{Kind: KindTeam, Name: name, Spec: Team{
			Name: ident.Team(name), Tier: "high", Weight: 1, KeySHA256: []string{fmt.Sprintf("%064x", i)},
		}})
	}
	for i := range endpoints {
		name := fmt.Sprint("endpoint-", i)
		items = append(items, Item{Kind: KindEndpoint, Name: name, Spec: Endpoint{
			Name: ident.Endpoint(name), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), Domain: "a",
			Target: "assistant", Type: EndpointEngine, State: EndpointActive, Slots: 8, PrefillRate: 8000, DecodeRate: 60,
			CacheTokens: 65536, Fencing: FencingEnforced,
		}})
	}
	return NewSnapshot().With(1, items)
}

// BenchmarkSpread measures what a change of one team costs a host: the delta
// that it is sent, and a whole snapshot for a host that has none.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ teams, endpoints int }{{5, 20}, {65, 60}, {650, 600}} {
		from := deployment(size.teams, size.endpoints)
		team := from.Teams["team-0"]
		team.Weight = 2
		to := from.With(2, []Item{{Kind: KindTeam, Name: "team-0", Spec: team}})
		name := fmt.Sprintf("teams=%d/endpoints=%d", size.teams, size.endpoints)
		b.Run("delta/"+name, func(b *testing.B) {
			for b.Loop() {
				delta, _ := Diff(from, to)
				data, _ := EncodeDelta(delta)
				b.ReportMetric(float64(len(data)), "B")
				decoded, _ := DecodeDelta(data)
				if _, err := decoded.Apply(from); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("snapshot/"+name, func(b *testing.B) {
			for b.Loop() {
				data, _ := EncodeSnapshot(to)
				b.ReportMetric(float64(len(data)), "B")
				if _, err := DecodeSnapshot(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApply counts the reads, the pages among them, and the bytes written
// for a change of one resource.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ teams, endpoints int }{{5, 20}, {65, 60}, {650, 600}} {
		b.Run(fmt.Sprintf("teams=%d/endpoints=%d", size.teams, size.endpoints), func(b *testing.B) {
			table := newMemoryTable()
			store := NewStore(table)
			items := deployment(size.teams, size.endpoints).Items()
			for len(items) > 0 {
				n := min(len(items), MaxChangeItems)
				if _, err := store.Apply(b.Context(), Change{ID: fmt.Sprint("start", len(items)), Items: items[:n]}); err != nil {
					b.Fatal(err)
				}
				items = items[n:]
			}
			operations, changes := 0, 0
			table.before = func(string) { operations++ }
			for b.Loop() {
				changes++
				tier := tierItem("high", 0)
				spec := tier.Spec.(Tier)
				spec.Deadline += time.Duration(changes) * time.Millisecond
				tier.Spec = spec
				if _, err := store.Apply(b.Context(), Change{ID: fmt.Sprint(changes), Items: []Item{tier}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(operations)/float64(changes), "operations/change")
		})
	}
}

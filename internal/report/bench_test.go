package report

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// benchTiers is the number of tiers, and benchPerMinute that of answers of a
// host in a minute.
const (
	benchTiers     = 4
	benchPerMinute = 411
)

// fullWindow returns the buckets of the longest window of a host whose answers
// are spread over teams.
func fullWindow(host, teams int, now time.Time) []Bucket {
	collector := NewCollector(ident.Host(fmt.Sprint("h", host)), 1, now.Add(-longestWindow))
	for at := now.Add(-longestWindow); at.Before(now); at = at.Add(minute) {
		for i := range benchPerMinute {
			team := (i*31 + host*17) % teams
			collector.Add(at, &Answer{
				Tier: ident.Tier(fmt.Sprint("tier", team%benchTiers)), Team: ident.Team(fmt.Sprint("team", team)), Code: result.OK, InTime: true,
			})
		}
	}
	return collector.Buckets(now)
}

// BenchmarkCompute works a report out for numbers of hosts and teams; it also
// tells the size of a full bucket.
func BenchmarkCompute(b *testing.B) {
	for _, size := range []struct{ hosts, teams int }{{8, 5}, {8, 650}, {32, 650}, {128, 650}} {
		b.Run(fmt.Sprintf("hosts=%d/teams=%d", size.hosts, size.teams), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			var buckets []Bucket
			for host := range size.hosts {
				buckets = append(buckets, fullWindow(host, size.teams, now)...)
			}
			data, err := encodeBucket(&buckets[1])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				in := &Input{Sums: NewSums(now)}
				for tier := range benchTiers {
					in.Objectives = append(in.Objectives, resource.Objective{Tier: ident.Tier(fmt.Sprint("tier", tier)), Goodput: 0.99})
				}
				for i := range buckets {
					in.Sums.Add(&buckets[i])
				}
				Compute(in)
			}
			b.ReportMetric(float64(len(data)), "B/bucket")
		})
	}
}

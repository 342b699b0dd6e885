package report

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// memoryObjects is an object store in memory that can be down.
type memoryObjects struct {
	mu   sync.Mutex
	rows map[string][]byte
	down bool
	// broken is a key that can't be read.
	broken string
	writes int
}

func (o *memoryObjects) PutObject(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return platform.ErrUnavailable
	}
	o.writes++
	o.rows[key] = bytes.Clone(value)
	return nil
}

func (o *memoryObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down || key == o.broken {
		return nil, platform.ErrUnavailable
	}
	return o.rows[key], nil
}

func (o *memoryObjects) ListObjects(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, platform.ErrUnavailable
	}
	var keys []string
	for key := range o.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

func (o *memoryObjects) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func snapshot() *resource.Snapshot {
	return resource.NewSnapshot().With(1, []resource.Item{
		{Kind: resource.KindTier, Name: "high", Spec: resource.Tier{Name: "high"}},
		{Kind: resource.KindObjective, Name: "high", Spec: resource.Objective{
			Name: "high", Tier: "high", Goodput: 0.9, FirstToken: time.Second, TokenGap: 50 * time.Millisecond,
		}},
	})
}

func answer(team ident.Team, code result.Code) *Answer {
	return &Answer{Tier: "high", Team: team, Code: code, InTime: code == result.OK, FirstToken: time.Second, TokenGap: time.Second}
}

// hostOf returns a collector and writer of a host that starts now.
func hostOf(name ident.Host, objects platform.Objects) (*Collector, *Writer) {
	collector := NewCollector(name, 1, time.Now())
	collector.Configure(snapshot())
	log := logrus.New()
	log.SetOutput(io.Discard)
	return collector, NewWriter(collector, objects, log)
}

// TestCountsOutliveHosts lets three hosts count for two hours; one dies, one is
// replaced. The report of a host that starts afterwards has all that was
// written.
func TestCountsOutliveHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		objects := &memoryObjects{rows: map[string][]byte{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		died, die := context.WithCancel(ctx)
		for i := range 3 {
			collector, writer := hostOf(ident.Host(fmt.Sprint("h", i)), objects)
			life := ctx
			if i == 0 {
				life = died
			}
			go writer.Run(life)
			go func() {
				for range 120 {
					collector.Add(time.Now(), answer("billing", result.OK))
					collector.Add(time.Now(), answer("faults", result.ShedTier))
					collector.Add(time.Now(), answer("faults", result.BadRequest))
					time.Sleep(time.Minute)
				}
			}()
		}
		time.Sleep(time.Hour + 30*time.Second)
		die()
		time.Sleep(time.Hour + time.Minute)
		collector, _ := hostOf("h3", objects)
		r := NewReader(collector, objects).Report(ctx, time.Now(), snapshot(), []ident.Host{"h1", "h2"})
		g.Expect(r.Missing).To(BeEmpty())
		g.Expect(r.Hosts).To(Equal(4))
		g.Expect(r.Lines).To(HaveLen(3))
		longest := r.Lines[0].Burns[2]
		g.Expect(longest.Total).To(Equal(uint64(2 * (60 + 120 + 120))))
		g.Expect(longest.Good).To(Equal(uint64(60 + 120 + 120)))
		g.Expect(longest.Rate).To(Equal(5.0))
		g.Expect(longest.FirstToken).To(Equal(1.0))
		g.Expect(longest.TokenGap).To(Equal(0.0))
		g.Expect(r.Lines[1].Team).To(BeEquivalentTo("billing"))
		g.Expect(r.Lines[1].Burns[1].Rate).To(Equal(0.0))
		g.Expect(r.Lines[2].Burns[1].Rate).To(Equal(10.0))
		g.Expect(r.Lines[2].Burns[1].Total).To(Equal(uint64(2 * 60)))
		g.Expect(r.Lines[2].Alert).To(Equal(AlertSlow))
	})
}

// TestStoreDown keeps the store down for half an hour. Meanwhile the report has
// this host's own counts and says what is missing; afterwards nothing is lost.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		objects := &memoryObjects{rows: map[string][]byte{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		one, writerOne := hostOf("h1", objects)
		two, writerTwo := hostOf("h2", objects)
		go writerOne.Run(ctx)
		go writerTwo.Run(ctx)
		live := []ident.Host{"h1", "h2"}
		count := func(minutes int) {
			for range minutes {
				one.Add(time.Now(), answer("billing", result.OK))
				two.Add(time.Now(), answer("billing", result.OK))
				time.Sleep(time.Minute)
			}
		}
		read := func() *Report { return NewReader(one, objects).Report(ctx, time.Now(), snapshot(), live) }
		count(10)
		objects.setDown(true)
		count(30)
		r := read()
		g.Expect(r.Lines[0].Burns[2].Total).To(Equal(uint64(35)))
		g.Expect(r.Missing).To(HaveLen(1))
		g.Expect(r.Missing[0].Host).To(BeEmpty())
		g.Expect(r.Missing[0].Reason).To(Equal("can't be read: platform: unavailable"))
		var text, html bytes.Buffer
		g.Expect(r.WriteText(&text)).To(Succeed())
		g.Expect(text.String()).To(ContainSubstring("PARTIAL: 1 stretches"))
		g.Expect(text.String()).To(ContainSubstring("all other hosts, "))
		g.Expect(r.WriteHTML(&html)).To(Succeed())
		g.Expect(html.String()).To(ContainSubstring("PARTIAL"))
		objects.setDown(false)
		r = read()
		g.Expect(r.Missing).To(ConsistOf(HaveField("Host", ident.Host("h2"))))
		count(2)
		r = read()
		g.Expect(r.Missing).To(BeEmpty())
		g.Expect(r.Lines[0].Burns[2].Total).To(Equal(uint64(2 * 40)))
		objects.mu.Lock()
		for _, key := range slices.Sorted(maps.Keys(objects.rows)) {
			if hostOfKey(key) == "h2" {
				objects.broken = key
				break
			}
		}
		objects.mu.Unlock()
		r = read()
		g.Expect(r.Missing).To(ConsistOf(SatisfyAll(
			HaveField("Host", ident.Host("h2")), HaveField("Reason", "can't be read: platform: unavailable"))))
	})
}

// TestFinish checks that a stopping host writes its last minute.
func TestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		objects := &memoryObjects{rows: map[string][]byte{}}
		collector, writer := hostOf("h1", objects)
		collector.Add(time.Now(), answer("billing", result.OK))
		writer.Finish(t.Context())
		other, _ := hostOf("h2", objects)
		time.Sleep(period + 2*time.Minute)
		r := NewReader(other, objects).Report(t.Context(), time.Now(), snapshot(), nil)
		g.Expect(r.Lines[0].Burns[0].Total).To(Equal(uint64(1)))
	})
}

func TestAlerts(t *testing.T) {
	cases := []struct {
		short, middle, longest float64
		want                   Alert
	}{
		{20, 20, 1, AlertFast},
		{20, 5, 1, AlertNone},
		{1, 20, 20, AlertSlow},
		{1, 7, 6, AlertSlow},
		{1, 7, 5, AlertNone},
	}
	for _, c := range cases {
		NewWithT(t).Expect(alert([]Burn{{Rate: c.short}, {Rate: c.middle}, {Rate: c.longest}})).To(Equal(c.want))
	}
}

// TestSumAgreesWithNaive compares the sums of the windows with a plain loop
// over all answers, for answers at random times.
func TestSumAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		now := begin.Add(time.Duration(rapid.IntRange(0, int(8*time.Hour)).Draw(rt, "now")))
		seconds := rapid.SliceOfN(rapid.IntRange(0, int(now.Sub(begin)/time.Second)), 0, 60).Draw(rt, "seconds")
		slices.Sort(seconds)
		collector := NewCollector("h", 1, begin)
		collector.Configure(snapshot())
		for _, s := range seconds {
			collector.Add(begin.Add(time.Duration(s)*time.Second), answer("t", result.OK))
		}
		objective := snapshot().Objectives["high"]
		in := &Input{Objectives: []resource.Objective{objective}, Sums: NewSums(now), Live: []ident.Host{"h"}}
		for _, bucket := range collector.Buckets(now) {
			in.Sums.Add(&bucket)
		}
		r := Compute(in)
		end := now.Add(-time.Minute).Truncate(5 * time.Minute)
		for i, window := range windows {
			want := uint64(0)
			for _, s := range seconds {
				at := begin.Add(time.Duration(s) * time.Second)
				if at.Before(end) && !at.Before(end.Add(-window)) {
					want++
				}
			}
			if got := r.Lines[0].Burns[i].Total; got != want {
				rt.Fatalf("window %s: %d answers, want %d", window, got, want)
			}
		}
		if len(r.Missing) > 0 {
			rt.Fatalf("missing: %v", r.Missing)
		}
	})
}

func TestHTMLIsSelfContained(t *testing.T) {
	g := NewWithT(t)
	r := &Report{End: time.Unix(0, 0).UTC(), Lines: []Line{{
		Tier: "high", Objective: 0.9, Alert: AlertFast, Burns: make([]Burn, 3),
		Series: []Point{{Time: time.Unix(0, 0), Rate: 3, Known: true}, {Time: time.Unix(300, 0)}},
	}, {Tier: "high", Team: "<script>", Burns: make([]Burn, 3)}}}
	var first, second bytes.Buffer
	g.Expect(r.WriteHTML(&first)).To(Succeed())
	g.Expect(r.WriteHTML(&second)).To(Succeed())
	g.Expect(first.String()).To(Equal(second.String()))
	g.Expect(first.String()).To(ContainSubstring("<svg"))
	g.Expect(first.String()).To(ContainSubstring(`class="fast"`))
	for _, foreign := range []string{"<script", "src=", "@import", "href="} {
		g.Expect(first.String()).NotTo(ContainSubstring(foreign))
	}
}

func FuzzBucket(f *testing.F) {
	collector := NewCollector("h", 1, time.Unix(0, 0))
	collector.Add(time.Unix(70, 0), answer("t", result.OK))
	bucket := collector.Buckets(time.Unix(200, 0))[0]
	data, err := encodeBucket(&bucket)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x87})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeBucket(bucket.key(), data)
		if err != nil {
			if !errors.Is(err, errBucket) {
				t.Fatal(err)
			}
			return
		}
		sums := NewSums(time.Unix(1000, 0))
		sums.Add(b)
		Compute(&Input{Sums: sums})
	})
}

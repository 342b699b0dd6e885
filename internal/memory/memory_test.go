package memory

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const kib, mib = int64(1 << 10), int64(1 << 20)

// holder is a connection that a case begins with.
type holder struct {
	name   string
	phase  Phase
	kind   Kind
	bytes  int64
	opened time.Duration
	// steady says that it makes progress.
	steady bool
}

// build opens accounts at the times that they name and samples their progress twice.
func build(b *Budget, holders []holder) map[string]*Account {
	accounts := map[string]*Account{}
	progress := map[string]*int64{}
	for _, h := range holders {
		n := new(int64)
		a, _ := b.Open(h.opened, h.name, func() int64 { return *n })
		b.Enter(h.opened, a, Receiving)
		if granted, _ := b.Ask(h.opened, a, h.kind, h.bytes); !granted {
			panic("no room for " + h.name)
		}
		b.Enter(h.opened, a, h.phase)
		accounts[h.name], progress[h.name] = a, n
	}
	for _, at := range []time.Duration{8 * time.Second, 9 * time.Second} {
		b.Sample(at)
		for _, h := range holders {
			if h.steady {
				*progress[h.name] += mib
			}
		}
	}
	b.Sample(10 * time.Second)
	return accounts
}

// TestWhoGivesWay guards against a choice that displaces requests that an endpoint runs, those that
// make progress in favor of others like them, or ordinary ones in favor of large ones.
func TestWhoGivesWay(t *testing.T) {
	cases := []struct {
		name    string
		held    []holder
		asks    int64
		kind    Kind
		running bool
		granted bool
		yields  []any
	}{
		{name: "room", held: []holder{{"a", Receiving, Bodies, 4 * mib, 0, false}}, asks: 4 * mib, granted: true},
		{
			name: "largest stalled sender", granted: true, yields: []any{"large"}, asks: mib,
			held: []holder{{"small", Receiving, Bodies, 2 * mib, 0, false}, {"large", Receiving, Bodies, 7 * mib, 0, false}, {"steady", Receiving, Bodies, mib, 0, true}},
		},
		{
			name: "oldest stalled sender", granted: true, yields: []any{"old"}, asks: mib,
			held: []holder{{"new", Receiving, Bodies, 5 * mib, 5 * time.Second, false}, {"old", Receiving, Bodies, 5 * mib, 0, false}},
		},
		{
			name: "steady sender of like size stays", asks: 4 * mib,
			held: []holder{{"a", Receiving, Bodies, 5 * mib, 0, true}, {"b", Receiving, Bodies, 5 * mib, 0, true}},
		},
		{
			name: "steady sender that is far larger", granted: true, yields: []any{"b"}, asks: 72 * kib,
			held: []holder{{"a", Receiving, Bodies, 4 * mib, 0, true}, {"b", Receiving, Bodies, 6 * mib, 0, true}},
		},
		{
			name: "incomplete before complete", granted: true, yields: []any{"incomplete"}, asks: 72 * kib,
			held: []holder{{"complete", Waiting, Bodies, 6 * mib, 0, false}, {"incomplete", Receiving, Bodies, 4 * mib, 0, true}},
		},
		{
			name: "complete and far larger", granted: true, yields: []any{"waiting"}, asks: 72 * kib,
			held: []holder{{"waiting", Waiting, Bodies, 6 * mib, 0, false}, {"running", Running, Bodies, 4 * mib, 0, false}},
		},
		{
			name: "running stays", asks: 72 * kib,
			held: []holder{{"a", Running, Bodies, 5 * mib, 0, false}, {"b", Running, Bodies, 5 * mib, 0, false}},
		},
		{
			name: "answer before a body", kind: Answers, running: true, asks: mib, granted: true, yields: []any{"waiting"},
			held: []holder{{"waiting", Waiting, Bodies, 5 * mib, 0, false}, {"running", Running, Bodies, 5 * mib, 0, false}},
		},
		{
			name: "slowest reader of an answer", kind: Answers, running: true, asks: mib, granted: true, yields: []any{"slow"},
			held: []holder{{"slow", Running, Answers, 3 * mib, 0, false}, {"less", Running, Answers, 2 * mib, 0, false}},
		},
		{
			name: "more than everything", asks: 11 * mib,
			held: []holder{{"stalled", Receiving, Bodies, 4 * mib, 0, false}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := New(Limits{Bytes: 10 * mib, Connections: 10, MinRate: 4 * kib})
			build(b, c.held)
			now := 10 * time.Second
			asker, _ := b.Open(now, "asker", func() int64 { return 0 })
			b.Enter(now, asker, Receiving)
			if c.running {
				b.Enter(now, asker, Running)
			}
			kind := c.kind
			if kind == Heads {
				kind = Bodies
			}
			granted, yields := b.Ask(now, asker, kind, c.asks)
			g.Expect(granted).To(Equal(c.granted))
			var names []any
			for _, a := range yields {
				names = append(names, a.Owner)
			}
			g.Expect(names).To(Equal(c.yields))
		})
	}
}

// TestConnectionsInExcess guards against idle connections that lock out new ones, and against the
// end of requests in favor of new connections.
func TestConnectionsInExcess(t *testing.T) {
	g := NewWithT(t)
	b := New(Limits{Bytes: 10 * mib, Connections: 3, MinRate: 4 * kib})
	accounts := build(b, []holder{{"used", Idle, Heads, 0, 0, true}, {"runs", Running, Bodies, kib, 0, true}})
	unused, _ := b.Open(9*time.Second, "unused", func() int64 { return 0 })
	for _, want := range []*Account{unused, accounts["used"], nil} {
		a, yields := b.Open(10*time.Second, "new", func() int64 { return 0 })
		g.Expect(yields).To(BeIdenticalTo(want))
		if g.Expect(a == nil).To(Equal(want == nil)); a != nil {
			b.Enter(10*time.Second, a, Waiting)
		}
	}
	g.Expect(b.Usage().Connections).To(Equal(3))
}

// TestLedgerUnderLoad lets large senders of every behavior and ordinary requests ask at once. It
// guards against a ledger that exceeds its bound or loses bytes, and against ordinary requests that
// are refused while others hold the budget without progress.
func TestLedgerUnderLoad(t *testing.T) {
	g := NewWithT(t)
	limits := Limits{Bytes: 25 * mib, Connections: 200, MinRate: 4 * kib}
	b, r := New(limits), rand.New(rand.NewPCG(1, 1))
	var now time.Duration
	var large []*Account
	refused := 0
	for step := range 20_000 {
		if now += 10 * time.Millisecond; step%100 == 0 {
			b.Sample(now)
		}
		if r.IntN(4) == 0 {
			if a, _ := b.Open(now, "large", func() int64 { return 0 }); a != nil {
				b.Enter(now, a, Receiving)
				_, yields := b.Ask(now, a, Bodies, 4*mib)
				if large = append(large, a); r.IntN(3) == 0 {
					b.Enter(now, a, Waiting)
				}
				for _, y := range yields {
					b.Close(y)
				}
			}
		}
		if len(large) > 100 {
			b.Close(large[0])
			large = large[1:]
		}
		a, _ := b.Open(now, "ordinary", func() int64 { return 0 })
		if a == nil {
			refused++
			continue
		}
		b.Enter(now, a, Receiving)
		granted, yields := b.Ask(now, a, Bodies, 72*kib)
		if !granted {
			refused++
		}
		for _, y := range yields {
			b.Close(y)
		}
		usage := b.Usage()
		g.Expect(usage.Held[Bodies]).To(BeNumerically("<=", limits.Bytes+limits.Bytes/8))
		g.Expect(usage.Connections).To(BeNumerically("<=", limits.Connections))
		b.Close(a)
	}
	for _, a := range large {
		b.Close(a)
	}
	g.Expect(refused).To(BeZero(), "ordinary requests that were refused")
	g.Expect(b.Usage().Held).To(Equal(map[Kind]int64{Heads: 0, Bodies: 0, Answers: 0}))
	g.Expect([]int64{b.leaving, b.running}).To(Equal([]int64{0, 0}))
}

package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

const testTerm = 16 * time.Second

func testLease(host ident.Host) *Lease {
	l := New(Config{Name: "x", Host: host, Incarnation: 1, Term: testTerm, Linger: time.Minute})
	l.SetWanted(0, true)
	return l
}

// tick calls Tick and returns the call that it makes, if any.
func tick(l *Lease, now time.Duration) (system.Call, bool) {
	var out system.Outbox
	l.Tick(now, &out)
	if len(out.Calls) == 0 {
		return system.Call{}, false
	}
	return out.Calls[0], true
}

// reply answers a call and returns the call that follows, if any.
func reply(l *Lease, now time.Duration, r system.Reply) system.Call {
	var out system.Outbox
	l.Reply(now, r, &out)
	if len(out.Calls) == 0 {
		return system.Call{}
	}
	return out.Calls[0]
}

func TestAmbiguousTakeoverIsSettledByReading(t *testing.T) {
	g := NewWithT(t)
	l := testLease("a")
	read, _ := tick(l, 0)
	write := reply(l, 0, system.Reply{Token: read.Token, Err: platform.ErrNotFound})
	reply(l, time.Second, system.Reply{Token: write.Token, Err: platform.ErrAmbiguous})
	_, held := l.Held(time.Second)
	g.Expect(held).To(BeFalse())
	read, _ = tick(l, 3*time.Second)
	row := platform.Row{Value: write.Txn.Puts[0].Value, Version: 9}
	reply(l, 3*time.Second, system.Reply{Token: read.Token, Rows: []platform.Row{row}})
	grant, held := l.Held(3 * time.Second)
	g.Expect(held).To(BeTrue())
	g.Expect(grant.Until).To(Equal(testTerm), "the term starts when the write is sent")
	g.Expect(grant.SafeAt).To(Equal(3*time.Second + time.Minute))
	_, held = l.Held(testTerm)
	g.Expect(held).To(BeFalse())
}

func TestTakeoverWaitsForHoldersTerm(t *testing.T) {
	g := NewWithT(t)
	l := testLease("b")
	row := Row{Holder: "a", Incarnation: 1, Fence: 4, TermMillis: 2 * testTerm.Milliseconds()}
	stored := platform.Row{Value: row.encode(), Version: 3}
	var now time.Duration
	for {
		read, ok := tick(l, now)
		if !ok {
			now, _ = l.NextWake()
			continue
		}
		write := reply(l, now, system.Reply{Token: read.Token, Rows: []platform.Row{stored}})
		if write.Kind != system.CallCommit {
			continue
		}
		g.Expect(now).To(BeNumerically(">=", 2*testTerm+2*testTerm/driftDivisor))
		g.Expect(write.Txn.Conditions).To(Equal([]platform.Condition{{Key: "lease/x", Version: 3}}))
		taken, err := decode(write.Txn.Puts[0].Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(taken.Fence).To(Equal(uint64(5)))
		return
	}
}

// FuzzLeaseRow feeds a row to the decoder and to a host that wants the lease. A
// malformed row must neither give the host the lease at once nor block it forever.
func FuzzLeaseRow(f *testing.F) {
	f.Add(Row{Holder: "a", Incarnation: 1, Fence: 2, TermMillis: 5000}.encode())
	f.Add([]byte(`{"holder":"b","incarnation":1,"fence":18446744073709551615}`))
	f.Add([]byte(`{"holder":"a","fence":1,"term_ms":-1}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		if row, err := decode(value); err == nil {
			again, err := decode(row.encode())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(row))
		}
		l := testLease("b")
		stored := platform.Row{Value: value, Version: 3}
		for _, now := range []time.Duration{0, 3 * time.Hour} {
			read, _ := tick(l, now)
			write := reply(l, now, system.Reply{Token: read.Token, Rows: []platform.Row{stored}})
			_, held := l.Held(now)
			g.Expect(held).To(BeFalse())
			if write.Kind == system.CallCommit {
				return
			}
			g.Expect(now).To(BeZero())
		}
	})
}

package trace

import (
	"bytes"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// allEvents holds an event of each kind.
var allEvents = []pool.Event{
	pool.Arrive{Request: pool.Request{ID: "r", Host: "h", Rank: 1, Prefix: []uint64{1, 2}}},
	pool.Cancel{ID: "r"},
	pool.Started{ID: "r", Attempt: 1},
	pool.Declined{ID: "r", Attempt: 1, Requeue: true},
	pool.FirstToken{ID: "r", Attempt: 1, After: time.Second},
	pool.Finished{ID: "r", Attempt: 1, Outcome: pool.OutcomeLost, OutputTokens: 5},
	pool.LoadReport{Endpoint: "e", Running: 3},
	pool.CacheEvent{Endpoint: "e", Stored: []uint64{1}, Gap: true},
	pool.Configure{Revision: 2, Endpoints: []resource.Endpoint{{Name: "e", Slots: 2}}},
	pool.Restore{Host: "h", Running: []pool.Running{{Endpoint: "e", Attempt: 3}}},
	pool.HostLost{Host: "h"},
	pool.Remote{Domain: "d", Free: 2, Wait: []time.Duration{time.Second}},
	pool.Suspects{List: []pool.Suspect{{KeyHash: 1, Crashes: 1}}},
	pool.RolloutChanged{Active: true, Status: rollout.Status{Order: rollout.Order{ID: 1, Target: "m", Version: "2"}}},
}

// allEffects holds an effect of each kind.
var allEffects = []pool.Effect{
	pool.Grant{ID: "r", Endpoint: "e", Attempt: ident.Attempt(1)},
	pool.Refuse{ID: "r", Code: result.ShedTier},
	pool.Spill{ID: "r", Domain: "d"},
	pool.Publish{List: []pool.Suspect{{KeyHash: 1}}},
	pool.RolloutDecided{Verdict: rollout.Verdict{State: rollout.RolledBack, Reason: "slow"}},
	pool.RolloutStep{Share: 0.1, Judgement: "none"},
}

// recordTrace returns a trace with a single step of all events and effects.
func recordTrace(t testing.TB) []byte {
	g := NewWithT(t)
	var b bytes.Buffer
	r, err := NewRecorder(&b)
	g.Expect(err).NotTo(HaveOccurred())
	s, err := r.Start(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Record(time.Second, allEvents, allEffects)).To(Succeed())
	return b.Bytes()
}

// readAll decodes the events of every step, up to the end of the trace or the
// first error.
func readAll(b []byte) ([]pool.Event, error) {
	r, err := NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	var events []pool.Event
	for {
		f, err := r.Next()
		if err != nil {
			return events, err
		}
		if f.Step == nil {
			continue
		}
		decoded, err := f.Step.Decode()
		if err != nil {
			return events, err
		}
		events = append(events, decoded...)
	}
}

func TestEventsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	g.Expect(allEvents).To(HaveLen(len(decoders)))
	events, err := readAll(recordTrace(t))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(events).To(Equal(allEvents))
}

func TestInvalidTracesAreRejected(t *testing.T) {
	valid := recordTrace(t)
	truncated := valid[:len(valid)-1]
	oversized := append([]byte{0xff, 0xff, 0xff, 0xff}, valid...)
	for name, b := range map[string][]byte{"truncated": truncated, "oversized frame": oversized, "no header": valid[4+len(magic)+10:]} {
		_, err := readAll(b)
		NewWithT(t).Expect(err).To(MatchError(Not(Equal(io.EOF))), name)
	}
	g := NewWithT(t)
	_, err := (&Step{At: 0, Events: []Event{mustEncodeEvent(pool.Arrive{Request: pool.Request{Rank: -1}})}}).Decode()
	g.Expect(err).To(HaveOccurred())
}

func mustEncodeEvent(e pool.Event) Event {
	x, err := encodeEvent(e)
	if err != nil {
		panic(err)
	}
	return x
}

// FuzzReader checks that reading arbitrary input doesn't panic, and that every
// event that was read can be encoded and decoded again.
func FuzzReader(f *testing.F) {
	whole := recordTrace(f)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		events, _ := readAll(b)
		for _, e := range events {
			x, err := encodeEvent(e)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := x.Decode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

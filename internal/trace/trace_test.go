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
)

// everyEvent holds one event of each kind.
var everyEvent = []pool.Event{
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
}

var everyEffect = []pool.Effect{
	pool.Grant{ID: "r", Endpoint: "e", Attempt: ident.Attempt(1)},
	pool.Refuse{ID: "r", Code: result.ShedTier},
	pool.Spill{ID: "r", Domain: "d"},
	pool.Publish{List: []pool.Suspect{{KeyHash: 1}}},
}

func record(t testing.TB) []byte {
	g := NewWithT(t)
	var b bytes.Buffer
	r, err := NewRecorder(&b)
	g.Expect(err).NotTo(HaveOccurred())
	s, err := r.Start(pool.Config{Pool: ident.Pool{Target: "m", Domain: "d"}, Epoch: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Record(time.Second, everyEvent, everyEffect)).To(Succeed())
	return b.Bytes()
}

// readAll reads a trace to its end or first error and decodes every step.
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

func TestEveryEventComesBack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(everyEvent).To(HaveLen(len(decoders)))
	events, err := readAll(record(t))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(events).To(Equal(everyEvent))
}

func TestBadTracesAreErrors(t *testing.T) {
	whole := record(t)
	cut := whole[:len(whole)-1]
	long := append([]byte{0xff, 0xff, 0xff, 0xff}, whole...)
	for name, b := range map[string][]byte{"cut": cut, "long frame": long, "no header": whole[4+len(magic)+10:]} {
		_, err := readAll(b)
		NewWithT(t).Expect(err).To(MatchError(Not(Equal(io.EOF))), name)
	}
	g := NewWithT(t)
	_, err := (&Step{At: 0, Events: []Event{mustEncode(pool.Arrive{Request: pool.Request{Rank: -1}})}}).Decode()
	g.Expect(err).To(HaveOccurred())
}

func mustEncode(e pool.Event) Event {
	x, err := encodeEvent(e)
	if err != nil {
		panic(err)
	}
	return x
}

// FuzzReader wants no panic, and what can be read to be written the same.
func FuzzReader(f *testing.F) {
	whole := record(f)
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

package pool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

var testPool = ident.Pool{Target: "m", Domain: "d"}

func testEndpoint(name string, slots int) resource.Endpoint {
	return resource.Endpoint{
		Name: ident.Endpoint(name), Target: "m", Domain: "d", Type: resource.EndpointEngine,
		State: resource.EndpointActive, Slots: slots, PrefillRate: 10000, DecodeRate: 100, CacheTokens: 64000,
	}
}

func testRequest(id string, rank int) Request {
	return Request{ID: ident.Request(id), Host: "h", Rank: rank, Team: "t", PromptTokens: 100, MaxTokens: 100, Deadline: time.Minute}
}

func newTestScheduler(endpoints ...resource.Endpoint) *Scheduler {
	s := New(Config{Pool: testPool, Epoch: 1})
	s.Step(0, []Event{Configure{Revision: 1, Endpoints: endpoints}})
	return s
}

func grants(effects []Effect) []Grant {
	var out []Grant
	for _, e := range effects {
		if g, ok := e.(Grant); ok {
			out = append(out, g)
		}
	}
	return out
}

func refusals(effects []Effect) []Refuse {
	var out []Refuse
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			out = append(out, r)
		}
	}
	return out
}

func TestStrictTiers(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 1))
	out := s.Step(0, []Event{Arrive{testRequest("low", 1)}, Arrive{testRequest("high", 0)}})
	first := grants(out)
	g.Expect(first).To(HaveLen(1))
	g.Expect(first[0].ID).To(Equal(ident.Request("high")))
	out = s.Step(time.Second, []Event{
		Started{ID: "high", Attempt: first[0].Attempt},
		Finished{ID: "high", Attempt: first[0].Attempt},
	})
	g.Expect(grants(out)).To(HaveLen(1))
	g.Expect(grants(out)[0].ID).To(Equal(ident.Request("low")))
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	drained := testEndpoint("e", 1)
	drained.State = resource.EndpointDrain
	s := newTestScheduler(drained)
	out := refusals(s.Step(0, []Event{Arrive{testRequest("r", 0)}}))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Code).To(Equal(result.NoEndpoint))
	g.Expect(out[0].RetryAfter).To(BeNumerically(">", 0))
}

func TestStartAfterGrantExpiryCounts(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 1))
	first := grants(s.Step(0, []Event{Arrive{testRequest("r", 0)}}))[0]
	s.Step(rules.GrantLifetime, nil)
	g.Expect(s.endpoints.rows[0].inFlight).To(Equal(1), "the slot is kept during the report margin")
	second := grants(s.Step(rules.GrantLifetime+rules.GrantReportMargin, nil))
	g.Expect(second).To(HaveLen(1), "the request is granted again")
	s.Step(3*time.Second, []Event{Started{ID: "r", Attempt: first.Attempt}})
	g.Expect(s.endpoints.rows[0].inFlight).To(Equal(2), "the late start runs beside the second grant")
	s.Step(3*time.Second, []Event{Declined{ID: "r", Attempt: second[0].Attempt}})
	g.Expect(s.endpoints.rows[0].inFlight).To(Equal(1))
	s.Step(4*time.Second, []Event{Finished{ID: "r", Attempt: first.Attempt}})
	g.Expect(s.endpoints.rows[0].inFlight).To(Equal(0))
	g.Expect(s.requests).To(BeEmpty())
}

func TestDeadlineInQueue(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 1))
	late := testRequest("late", 1)
	late.Deadline = 10 * time.Second
	s.Step(0, []Event{Arrive{testRequest("r", 0)}, Arrive{late}})
	out := refusals(s.Step(late.Deadline, nil))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].ID).To(Equal(late.ID))
}

func TestCancelInStepOfArrival(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 1))
	out := s.Step(0, []Event{Arrive{testRequest("r", 0)}, Cancel{ID: "r"}})
	g.Expect(out).To(BeEmpty())
	g.Expect(s.endpoints.rows[0].inFlight).To(BeZero())
}

func TestUnknownAttemptsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 1))
	out := s.Step(0, []Event{
		Started{ID: "x", Attempt: 7}, Declined{ID: "x", Attempt: 7}, Finished{ID: "x", Attempt: 7}, Cancel{ID: "x"},
	})
	g.Expect(out).To(BeEmpty())
}

func TestRestoreRebuildsLedger(t *testing.T) {
	g := NewWithT(t)
	s := newTestScheduler(testEndpoint("e", 2))
	out := s.Step(0, []Event{Restore{
		Host:    "h",
		Waiting: []Request{testRequest("w1", 0), testRequest("w2", 0)},
		Running: []Running{{Request: testRequest("r", 0), Endpoint: "e", Attempt: 5, Age: time.Second}},
	}})
	g.Expect(grants(out)).To(HaveLen(1))
	out = s.Step(time.Second, []Event{Finished{ID: "r", Attempt: 5}})
	g.Expect(grants(out)).To(HaveLen(1))
}

// TestSlotsOfLostHostAreFreed checks when the slot of a request whose custodian is
// lost goes to another request: at its deadline, or soon where requests end with their
// connection.
func TestSlotsOfLostHostAreFreed(t *testing.T) {
	for _, c := range []struct {
		name string
		ends bool
		free time.Duration
	}{
		{"requests can be resumed", false, time.Minute},
		{"requests end with their connection", true, time.Second + rules.OrphanSlotHold},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := testEndpoint("e", 1)
			e.EndsWithConnection = c.ends
			s := newTestScheduler(e)
			first := grants(s.Step(0, []Event{Arrive{testRequest("r", 0)}}))
			g.Expect(first).To(HaveLen(1))
			s.Step(0, []Event{Started{ID: "r", Attempt: first[0].Attempt}})
			next := testRequest("next", 0)
			next.Host, next.Deadline = "other", 5*time.Minute
			g.Expect(grants(s.Step(time.Second, []Event{HostLost{Host: "h"}, Arrive{next}}))).To(BeEmpty())
			g.Expect(grants(s.Step(c.free-time.Millisecond, nil))).To(BeEmpty())
			g.Expect(grants(s.Step(c.free, nil))).To(HaveLen(1))
		})
	}
}

// TestOnlyHeldRequestsReportHoldReason checks a request that was held and has returned
// to its queue as a late one.
func TestOnlyHeldRequestsReportHoldReason(t *testing.T) {
	g := NewWithT(t)
	r := &request{phase: phaseHeld, holdReason: reasonReserved}
	g.Expect(r.heldSuffix()).To(ContainSubstring(reasonReserved))
	r.phase = phaseQueued
	g.Expect(r.heldSuffix()).To(BeEmpty())
}

package traffic_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
)

var _ = Describe("an engine's connections that go silent", func() {
	It("cost no request while they are kept unused", func() {
		b := newBench(400)
		b.askMany("before ", 12, 8)
		for round := range 2 {
			b.engine.Silence()
			b.askMany("after "+string(rune('a'+round)), 12, 8)
		}
		b.expectOneArrivalEach(36)
		Eventually(b.control.phases).WithTimeout(wide).Should(HaveEach(peerpb.Report_PHASE_FINISHED))
	})

	It("are left in the middle of a stream, which is resumed at the next chunk", func() {
		b := newBench(20)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			b.ask("long", 40)
		}()
		Eventually(b.control.count(func(c *fakeControl) int { return c.firstTokens })).WithTimeout(wide).Should(Equal(1))
		b.engine.Silence()
		Eventually(done).WithTimeout(wide).Should(BeClosed())
		b.expectOneArrivalEach(1)
	})

	It("swallow a request between probe and commit: its outcome is unknown and the engine isn't lost", func() {
		b := newBench(400)
		b.ask("first", 4)
		b.control.with(func(c *fakeControl) { c.beforeCommit = b.engine.Silence })
		body, _ := question("second", 4)
		got := b.send(http.MethodPost, chatPath, body)
		Expect(got.code).To(Equal(result.OutcomeUnknown))
		Expect(got.errorCode()).To(Equal(result.OutcomeUnknown))
		b.expectOneArrivalEach(1)
		Eventually(b.control.phases).WithTimeout(wide).Should(Equal([]peerpb.Report_Phase{
			peerpb.Report_PHASE_FINISHED, peerpb.Report_PHASE_CANCELED,
		}))
	})
})

var _ = DescribeTable("an engine's faulty stream still gives the whole answer, with one arrival",
	func(faults standin.Switches) {
		b := newBench(200)
		b.engine.Set(faults)
		b.askMany("question ", 4, 12)
		b.expectOneArrivalEach(4)
		left := b.engine.Switches()
		Expect([]int{left.Cross, left.Truncate, left.CloseAfterRead}).To(HaveEach(0), "each fault came about")
	},
	Entry("crossed", standin.Switches{Cross: 3}),
	Entry("truncated", standin.Switches{Truncate: 3}),
	Entry("closed after the request was read", standin.Switches{CloseAfterRead: 3}),
	Entry("late", standin.Switches{Late: 2500 * time.Millisecond}),
	Entry("all together", standin.Switches{Cross: 2, Truncate: 2, CloseAfterRead: 1}),
)

var _ = Describe("what can't be whole", func() {
	It("is honestly lost when the engine crashes, and not dispatched again", func() {
		b := newBench(200)
		b.engine.Set(standin.Switches{CrashMarker: "poison"})
		body, _ := question("poison", 8)
		got := b.send(http.MethodPost, chatPath, body)
		Expect(got.errorCode()).To(Equal(result.EndpointLost))
		b.expectOneArrivalEach(1)
		Eventually(b.control.phases).WithTimeout(wide).Should(Equal([]peerpb.Report_Phase{peerpb.Report_PHASE_LOST}))
	})

	It("is unknown when a service's answer is cut, and booked once", func() {
		b := newBench(200)
		book := func(key string) reply {
			return b.send(http.MethodPost, bookingPath, []byte(`{"stream":true}`), entry.HeaderKey, key)
		}
		Expect(book("k1").code).To(Equal(result.OK))
		b.service.Set(service.Switches{CloseAfterRead: 1})
		Expect(book("k2").errorCode()).To(Equal(result.OutcomeUnknown))
		Expect(b.service.Arrivals().Bookings).To(Equal(2))
	})

	It("would run twice with a client library that repeats requests by itself", func() {
		b := newBench(200)
		c := fasthttp.Client{RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, true }}
		defer c.CloseIdleConnections()
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + b.control.addresses[bookings] + bookingPath)
		req.Header.SetMethod(http.MethodPost)
		req.Header.Set(engine.HeaderRequest, "r1")
		b.service.Set(service.Switches{CloseAfterRead: 1})
		Expect(c.Do(req, resp)).To(Succeed())
		Expect(b.service.Arrivals().Requests["r1"]).To(Equal(2), "this is what the traffic side must not do")
	})
})

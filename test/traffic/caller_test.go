package traffic_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

// leaveWhen sends a long question, waits for a number to become 1 and closes
// the caller's connection.
func (b *bench) leaveWhen(n func() int, headers ...string) {
	body, _ := question("long", 60)
	conn := b.dial()
	_, err := io.WriteString(conn, raw(string(body), headers...))
	Expect(err).NotTo(HaveOccurred())
	Eventually(n).WithTimeout(wide).Should(Equal(1))
	Expect(conn.Close()).To(Succeed())
	Eventually(b.control.count(func(c *fakeControl) int { return c.gone })).WithTimeout(wide).Should(Equal(1))
}

func arrived(c *fakeControl) int   { return len(c.arrivals) }
func connected(c *fakeControl) int { return len(c.connected) }
func started(c *fakeControl) int   { return c.firstTokens }

var _ = Describe("a caller that leaves", func() {
	It("withdraws its request while it waits", func() {
		b := newBench(50)
		b.control.keepWaiting = true
		b.leaveWhen(b.control.count(arrived))
		Eventually(b.runner.Jobs).WithTimeout(wide).Should(BeZero())
		Expect(b.engine.Arrivals().Requests).To(BeEmpty())
	})

	It("leaves no goroutine behind between connection and commit", func() {
		b := newBench(50)
		b.control.keepConnected = true
		b.leaveWhen(b.control.count(connected))
		Eventually(b.runner.Jobs).WithTimeout(wide).Should(BeZero())
		b.control.with(func(c *fakeControl) {
			c.runner.Apply(custody.Directive{Kind: custody.Commit, ID: c.connected[0].ID, Attempt: 1})
		})
		Expect(b.engine.Arrivals().Requests).To(BeEmpty())
	})

	It("cancels its request at the engine", func() {
		b := newBench(20)
		b.leaveWhen(b.control.count(started))
		Eventually(b.control.phases).WithTimeout(wide).Should(Equal([]peerpb.Report_Phase{peerpb.Report_PHASE_CANCELED}))
		b.expectOneArrivalEach(1)
	})

	// A caller may close its sending side only, and read on. It must not take the end of a cut
	// stream for that of a whole one.
	It("gets no orderly end of its stream if it reads on", func() {
		b := newBench(20)
		body, _ := question("long", 60)
		conn := b.dial()
		_, err := io.WriteString(conn, raw(strings.Replace(string(body), "{", `{"stream":true,`, 1)))
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.control.count(started)).WithTimeout(wide).Should(Equal(1))
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		got, err := io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred(), "%q ended in order", got)
	})

	It("doesn't cancel a request with a key, whose answer a resend may ask for", func() {
		b := newBench(100)
		b.leaveWhen(b.control.count(started), entry.HeaderKey+": k1")
		Eventually(b.control.phases).WithTimeout(wide).Should(Equal([]peerpb.Report_Phase{peerpb.Report_PHASE_FINISHED}))
		Expect(b.runner.Jobs()).To(Equal(1), "the answer is kept")
	})
})

var _ = Describe("a grant that lapsed while its connection was made", func() {
	It("doesn't take the commit of the next grant", func() {
		b := newBench(400)
		b.control.keepConnected = true
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			b.ask("question", 4)
		}()
		Eventually(b.control.count(connected)).WithTimeout(wide).Should(Equal(1))
		var id ident.Request
		b.control.with(func(c *fakeControl) {
			id = c.connected[0].ID
			c.connect(id, 2)
		})
		Eventually(b.control.count(connected)).WithTimeout(wide).Should(Equal(2))
		b.control.with(func(c *fakeControl) { c.commit(control.Connected{ID: id, Attempt: 2}) })
		Eventually(done).WithTimeout(wide).Should(BeClosed())
		Expect(b.engine.Arrivals().Attempts).To(Equal(map[string]int{string(id) + "/2": 1}))
	})
})

var _ = Describe("a join of another host's answer", func() {
	It("gets it whole though parts are lost, repeated and out of order", func() {
		first, joiner, sent := traffic.NewJob("h1.1"), traffic.NewJob("h2.1"), 0
		var own, other *traffic.Runner
		var held *peerpb.Envelope
		own = traffic.NewRunner(traffic.Options{Self: "h1", Send: func(_ ident.Host, m *peerpb.Envelope) bool {
			sent++
			switch {
			case sent%5 == 0:
				return true
			case sent%3 == 0:
				held = m
				return true
			}
			other.Relay(m)
			other.Relay(m)
			if held != nil {
				other.Relay(held)
				held = nil
			}
			return true
		}})
		other = traffic.NewRunner(traffic.Options{Self: "h2", Send: func(_ ident.Host, m *peerpb.Envelope) bool {
			m.From = "h2"
			own.Relay(m)
			return true
		}})
		own.Add(first)
		other.Add(joiner)
		for i := range 4 {
			first.Answer.Append([]byte{byte(i)})
		}
		first.Answer.Finish(finalOK)
		other.Join(control.Join{ID: "h2.1", Custodian: "h1", Request: "h1.1"})
		Eventually(joiner.Answer.Final).WithTimeout(wide).Should(HaveValue(Equal(finalOK)))
		Expect(joiner.Answer.Len()).To(Equal(4))
		for i := range 4 {
			Expect(joiner.Answer.At(i).Part).To(Equal([]byte{byte(i)}))
		}
		own.Wait()
		other.Wait()
	})
})

var finalOK = answer.Final{Code: result.OK, Status: http.StatusOK}

package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

// TestRequestsThatWaitAtAPlannedStopAreAnswered guards against a stop that ends the connections of
// requests which nothing has dispatched: they must learn that they did not run.
func TestRequestsThatWaitAtAPlannedStopAreAnswered(t *testing.T) {
	const (
		// work is long enough that the requests wait until the stop ends.
		work = 3 * time.Second
		// queued fills all slots twice, before the requests of the host that stops.
		queued, waiting = 2 * 8, 12
		firstAfter, gap = time.Second, 100 * time.Millisecond
		// limit is the time limit of the requests and the routes, past the end of the stop.
		limit = 12 * time.Second
	)
	g := NewWithT(t)
	w := startWorld(t)
	slow := w.replaceServices(g, work, limit)
	sleep(t.Context(), drainBound)
	stopped, others := w.hosts[0], w.hosts[1:]
	order := func(h *host, attempt string) caller.Answer {
		c := caller.New(h.address)
		defer c.Close()
		return c.Do(caller.Request{
			Method: "POST", Host: "app.test", Path: "/unsafe/" + attempt, Attempt: attempt, Key: w.firstKey(), Limit: limit,
			Body: "body of " + attempt,
		})
	}
	var group sync.WaitGroup
	for n := range queued {
		group.Go(func() { order(others[n%len(others)], fmt.Sprintf("before-%d", n)) })
	}
	sleep(t.Context(), 200*time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	sleep(t.Context(), firstAfter)
	answers := make([]caller.Answer, waiting)
	for n := range waiting {
		group.Go(func() { answers[n] = order(stopped, fmt.Sprintf("wait-%d", n)) })
		sleep(t.Context(), gap)
	}
	group.Wait()
	g.Expect(stopped.wait(grace)).To(BeTrue())
	ran := map[string]bool{}
	for _, r := range slow.runner.Runs() {
		ran[r.Attempt] = true
	}
	refused := 0
	for n, a := range answers {
		attempt := fmt.Sprintf("wait-%d", n)
		t.Logf("%s: status %d after %v, ran %v, %v", attempt, a.Status, a.Ended.Sub(a.Began), ran[attempt], a.Err)
		g.Expect(a.Status).NotTo(BeZero(), "%s got no answer", attempt)
		if a.Status == http.StatusOK && a.Whole {
			continue
		}
		if caller.Promises(a.Status) {
			refused++
			g.Expect(ran).NotTo(HaveKey(attempt))
			g.Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	g.Expect(refused).To(BeNumerically(">", 0), "some waited until the stop had no time left for them")
}

// TestRequestReadLateInAStopIsNotDispatched guards against a stopping host that takes a request before
// its intake ends, has it whole only later, and dispatches it with too little time left.
func TestRequestReadLateInAStopIsNotDispatched(t *testing.T) {
	const (
		work, limit           = 4 * time.Second, 12 * time.Second
		headAfter, wholeAfter = 2 * time.Second, 5 * time.Second
		attempt               = "late"
	)
	g := NewWithT(t)
	w := startWorld(t)
	slow := w.replaceServices(g, work, limit)
	sleep(t.Context(), drainBound)
	stopped := w.hosts[0]
	stopped.signal(syscall.SIGTERM)
	sleep(t.Context(), headAfter)
	conn, err := net.Dial("tcp", stopped.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: app.test\r\nAttempt-Id: %s\r\nCredential: %s\r\nContent-Length: 2\r\n\r\n{", attempt, w.firstKey())
	g.Expect(err).NotTo(HaveOccurred())
	sleep(t.Context(), wholeAfter-headAfter)
	_, err = fmt.Fprint(conn, "}")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "no answer")
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	for _, r := range slow.runner.Runs() {
		g.Expect(r.Attempt).NotTo(Equal(attempt))
	}
}

// replaceServices leaves one endpoint of the plain service, at which requests run for a time, and
// changes the routes' timeout.
func (w *world) replaceServices(g *WithT, work, timeout time.Duration) *server {
	w.mu.Lock()
	w.work, w.timeout = work, timeout
	w.writeConfiguration()
	w.mu.Unlock()
	g.Expect(w.addServer("app")).To(Succeed())
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.servers[:0]
	for _, s := range w.servers {
		if s.target == "app" && s != w.all[len(w.all)-1] {
			w.store.Remove("servers", "", s.id)
			continue
		}
		kept = append(kept, s)
	}
	w.servers = kept
	return w.all[len(w.all)-1]
}

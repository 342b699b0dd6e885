package process_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// longChat is a request whose answer takes a few seconds.
const longChat = `{"model":"assistant","stream":true,"max_tokens":150,"x_output_tokens":150,
	"messages":[{"role":"user","content":"summarise %d"}]}`

// order is a request that may run once.
const order = `{"reconnect":"meter 7"}`

// fleet starts two hosts in one domain and one in another, with an engine and a
// plain service in each, and returns the services' addresses.
func fleet() (*deployment, []string) {
	d := newDeployment()
	engines := []string{d.endpoint("engine-1"), d.endpoint("engine-2")}
	services := []string{d.service("service-1"), d.service("service-2")}
	d.entry("entry-1", "zone-a")
	d.entry("entry-2", "zone-a")
	d.entry("entry-3", "zone-b")
	d.awaitHosts()
	d.apply(d.hosts["entry-1"], manifest(
		engineEndpoint("engine-1", "zone-a", engines[0]),
		engineEndpoint("engine-2", "zone-b", engines[1]),
		orderRoute,
		serviceEndpoint("service-1", "zone-a", services[0]),
		serviceEndpoint("service-2", "zone-b", services[1])))
	return d, services
}

// total returns the bookings of all services.
func total(services []string) int {
	sum := 0
	for _, s := range services {
		sum += bookings(s)
	}
	return sum
}

// errorCode returns the code of an error body, or of the error event that ends a
// stream.
func errorCode(body string) int {
	body = body[max(0, strings.LastIndex(body, `{"error":`)):]
	var doc struct {
		Error struct {
			Code int `json:"code"`
		} `json:"error"`
	}
	Expect(json.Unmarshal([]byte(body), &doc)).To(Succeed(), body)
	return doc.Error.Code
}

var _ = Describe("a request that may run once", func() {
	It("runs once though it is sent to every host at once and again", func() {
		d, services := fleet()
		var wg sync.WaitGroup
		replies := make([]reply, 6)
		names := []string{"entry-1", "entry-2", "entry-3"}
		for i := range replies {
			wg.Go(func() {
				defer GinkgoRecover()
				replies[i] = send(d.hosts[names[i%3]], "/orders", order, "Idempotency-Key", "order-17")
			})
		}
		wg.Wait()
		replies = append(replies, send(d.hosts["entry-3"], "/orders", order, "Idempotency-Key", "order-17"))

		for _, r := range replies {
			Expect(r.status).To(Equal(200), r.body)
			Expect(r.body).To(Equal(replies[0].body))
		}
		Expect(total(services)).To(Equal(1))
	})

	It("is refused as not run while the platform is down, and runs afterwards", func() {
		d, services := fleet()
		toggle(d.platform, `{"down":true}`)
		refused := send(d.hosts["entry-1"], "/orders", order,
			"Idempotency-Key", "order-18", "Trefoilchute-Attempt", "1")
		Expect(errorCode(refused.body)).To(Equal(205))
		again := send(d.hosts["entry-1"], "/orders", order, "Idempotency-Key", "order-18")
		Expect(errorCode(again.body)).To(Equal(303), "an earlier attempt may have run")
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(total(services)).To(BeZero())
		served := chat(d.hosts["entry-1"], fmt.Sprintf(longChat, 1))
		Expect(served.body).To(HaveSuffix("data: [DONE]\n\n"), "idempotent requests go on")

		toggle(d.platform, `{"down":false}`)
		Eventually(func() int {
			return send(d.hosts["entry-2"], "/orders", order, "Idempotency-Key", "order-18").status
		}, changeLimit, poll).Should(Equal(200))
		Expect(total(services)).To(Equal(1))
	})

	It("runs once though the answer to its claim is lost", func() {
		d, services := fleet()
		toggle(d.platform, `{"lose_answers":1}`)
		got := send(d.hosts["entry-2"], "/orders", order, "Idempotency-Key", "order-19")
		Expect(got.status).To(Equal(200), got.body)
		Expect(total(services)).To(Equal(1))
	})
})

var _ = Describe("a host that dies in the middle of an answer", func() {
	It("costs a resend with the key no second run: the answer is resumed", func() {
		d := newDeployment()
		engine := d.endpoint("engine-1")
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			d.entry(name, "zone-a")
		}
		d.awaitHosts()
		d.apply(d.hosts["entry-1"], manifest(engineEndpoint("engine-1", "zone-a", engine)))
		d.awaitKeys(d.hosts["entry-1"])
		before := len(arrived(engine))
		body := fmt.Sprintf(longChat, 7)
		cut := make(chan error, 1)
		go func() {
			_, err := trySend(d.hosts["entry-1"], "/v1/chat/completions", body, "Idempotency-Key", "summary-7")
			cut <- err
		}()
		Eventually(func() int { return len(arrived(engine)) }, changeLimit, poll).Should(Equal(before + 1))
		d.hosts["entry-1"].session.Kill()
		Eventually(cut, changeLimit, poll).Should(Receive(HaveOccurred()))

		again := chat(d.hosts["entry-2"], body, "Idempotency-Key", "summary-7")
		Expect(again.body).To(HaveSuffix("data: [DONE]\n\n"), again.body)
		Expect(strings.Count(again.body, `"seq":`)).To(Equal(150))
		Expect(arrived(engine)).To(HaveLen(before + 1))
	})
})

var _ = Describe("a planned stop", func() {
	It("cuts no stream, host after host", func() {
		d, _ := fleet()
		var wg sync.WaitGroup
		for i, name := range []string{"entry-1", "entry-2"} {
			replies := make([]reply, 6)
			began := make(chan struct{}, len(replies))
			for n := range replies {
				wg.Go(func() {
					defer GinkgoRecover()
					began <- struct{}{}
					replies[n] = chat(d.hosts[name], fmt.Sprintf(longChat, i*100+n))
				})
			}
			for range replies {
				<-began
			}
			Eventually(func() string {
				return run("get", "pool", "--host", d.hosts[name].admin)
			}, changeLimit, poll).Should(MatchRegexp(`active +[1-9]\d*/`))
			d.hosts[name].stop()
			wg.Wait()
			for _, r := range replies {
				Expect(r.body).To(HaveSuffix("data: [DONE]\n\n"), r.body)
				Expect(strings.Count(r.body, `"seq":`)).To(Equal(150))
			}
			delete(d.hosts, name)
			Expect(run("replay", d.trace(name))).To(ContainSubstring("steps"))
		}
		Expect(chat(d.hosts["entry-3"], fmt.Sprintf(longChat, 999)).status).To(Equal(200))
	})
})

var _ = Describe("a planned stop without time", func() {
	It("ends all the same, and says of what ran that the outcome is unknown", func() {
		d := newDeployment()
		d.grace = "3s"
		engine := d.endpoint("engine-1")
		d.entry("entry-1", "zone-a")
		d.apply(d.hosts["entry-1"], manifest(engineEndpoint("engine-1", "zone-a", engine)))
		toggle("http://"+engine, `{"slow":1000}`)
		replies := make(chan reply, 8)
		for i := range cap(replies) {
			go func() {
				got, _ := trySend(d.hosts["entry-1"], "/v1/chat/completions", fmt.Sprintf(longChat, i))
				replies <- got
			}()
		}
		Eventually(func() int { return len(arrived(engine)) }, changeLimit, poll).Should(Equal(4))
		d.hosts["entry-1"].stop()
		codes := map[int]int{}
		for range cap(replies) {
			var got reply
			Eventually(replies, changeLimit, poll).Should(Receive(&got))
			codes[errorCode(got.body)]++
		}
		Expect(codes).To(Equal(map[int]int{300: 4, 206: 4}))
	})
})

var _ = Describe("the host that schedules a pool", func() {
	It("can be killed: the others take its pools over", func() {
		d, _ := fleet()
		scheduler := d.schedulerOf("assistant@zone-a")
		d.hosts[scheduler].session.Kill()
		Eventually(d.hosts[scheduler].session, stopLimit, poll).Should(gexec.Exit())
		delete(d.hosts, scheduler)
		for name, p := range d.hosts {
			got := chat(p, fmt.Sprintf(longChat, 1))
			Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), "%s: %s", name, got.body)
		}
	})

	It("can be frozen: the others go on, and it serves again when it wakes", func() {
		d, _ := fleet()
		scheduler := d.schedulerOf("assistant@zone-a")
		other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[scheduler]
		frozen := d.hosts[scheduler]
		frozen.session.Signal(syscall.SIGSTOP)
		got := chat(d.hosts[other], fmt.Sprintf(longChat, 1))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), got.body)
		Eventually(func() string { return d.schedulerFrom(other, "assistant@zone-a") },
			changeLimit, poll).Should(Equal(other))

		frozen.session.Signal(syscall.SIGCONT)
		Expect(chat(frozen, fmt.Sprintf(longChat, 2)).body).To(HaveSuffix("data: [DONE]\n\n"))
		d.awaitHosts()
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	It("costs at most two crashes in a domain, under whatever keys it is sent", func() {
		d := newDeployment()
		engines := []string{d.endpoint("engine-1"), d.endpoint("engine-2"), d.endpoint("engine-3")}
		for _, name := range []string{"entry-1", "entry-2"} {
			d.entry(name, "zone-a")
		}
		d.awaitHosts()
		d.apply(d.hosts["entry-1"], manifest(
			engineEndpoint("engine-1", "zone-a", engines[0]),
			engineEndpoint("engine-2", "zone-a", engines[1]),
			engineEndpoint("engine-3", "zone-a", engines[2])))
		d.awaitKeys(d.hosts["entry-1"])
		for _, e := range engines {
			toggle("http://"+e, `{"crash_marker":"poison"}`)
		}
		poison := `{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"poison"}]}`
		var codes []int
		for i := range 8 {
			host := d.hosts[[]string{"entry-1", "entry-2"}[i%2]]
			codes = append(codes, errorCode(chat(host, poison, "Idempotency-Key", fmt.Sprint("key-", i)).body))
		}
		Expect(codes).To(Equal([]int{301, 301, 209, 209, 209, 209, 209, 209}))
		Expect(run("get", "quarantine", "--host", d.hosts["entry-2"].admin)).To(ContainSubstring("quarantined"))
		Eventually(func() string {
			return chat(d.hosts["entry-1"], fmt.Sprintf(longChat, 1)).body
		}, changeLimit, poll).Should(HaveSuffix("data: [DONE]\n\n"), "others are served")
	})
})

var _ = Describe("an endpoint that is to leave", func() {
	It("gets no new work once the change is in force, though the platform went down at once", func() {
		d, services := fleet()
		run("drain", "endpoint", "--host", d.hosts["entry-2"].admin, "service-1")
		toggle(d.platform, `{"down":true}`)
		Eventually(func() string {
			return run("get", "--host", d.hosts["entry-1"].admin, "endpoint", "service-1")
		}, changeLimit, poll).Should(ContainSubstring("drain"), "the other hosts hear of it")
		toggle(d.platform, `{"down":false}`)
		before := bookings(services[0])
		for i := range 6 {
			name := []string{"entry-1", "entry-2", "entry-3"}[i%3]
			got := send(d.hosts[name], "/orders", order, "Idempotency-Key", fmt.Sprint("leave-", i))
			Expect(got.status).To(Equal(200), got.body)
		}
		Expect(bookings(services[0])).To(Equal(before))
		Expect(bookings(services[1])).To(Equal(6))
	})
})

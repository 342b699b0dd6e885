package admin_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/report"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

const manifest = `[tier high]
rank = 0
[tier low]
rank = 1
[endpoint plain]
address = 127.0.0.1:9100
domain = a
target = booking
type = service
slots = 4
`

// haveCode matches an error with a result code.
func haveCode(code result.Code) types.GomegaMatcher {
	return WithTransform(func(err error) result.Code {
		var coded *result.Error
		if errors.As(err, &coded) {
			return coded.Code
		}
		return 0
	}, Equal(code))
}

var _ = Describe("the operators' interface", func() {
	var (
		ctx    context.Context
		table  *memoryTable
		host   *fakeHost
		store  *resource.Store
		server *admin.Server
		client *admin.Client
	)

	// adopt puts the store's resources in force at the host.
	adopt := func() uint64 {
		snapshot, err := store.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		host.adopt(snapshot)
		return snapshot.Revision
	}
	apply := func(text string) uint64 {
		applied, err := client.Apply(ctx, "m.ini", []byte(text), "", nil)
		Expect(err).NotTo(HaveOccurred())
		return applied.Revision
	}

	BeforeEach(func() {
		ctx = context.Background()
		table = &memoryTable{rows: map[string]platform.Row{}}
		host = &fakeHost{}
		store = resource.NewStore(table)
		server = admin.New(host, admin.Options{Store: store, Token: "secret-of-operators", ApplyTimeout: time.Second})
		client = admin.NewClient(serve(server), "secret-of-operators")
	})

	It("refuses a call without the token", func() {
		base := serve(admin.New(host, admin.Options{Store: store, Token: "another"}))
		_, err := admin.NewClient(base, "").Hosts(ctx)
		Expect(err).To(haveCode(result.Unauthorized))
		_, err = admin.NewClient(base, "wrong").Hosts(ctx)
		Expect(err).To(haveCode(result.Unauthorized))
	})

	It("applies a manifest and shows it", func() {
		_, err := client.Resources(ctx, "tier", "")
		Expect(err).To(haveCode(result.NotReady))
		Expect(apply(manifest)).To(Equal(uint64(1)))
		adopt()
		list, err := client.Resources(ctx, "tier", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Revision).To(Equal(uint64(1)))
		Expect(list.Resources).To(HaveLen(2))
		Expect(list.Resources[0].Keys).To(HaveKeyWithValue("deadline", "1m0s"))
		_, err = client.Resources(ctx, "tier", "none")
		Expect(err).To(haveCode(result.NotFound))
		_, err = client.Resources(ctx, "none", "")
		Expect(err).To(haveCode(result.NotFound))
	})

	It("refuses an edited copy of what changed meanwhile", func() {
		apply(manifest)
		adopt()
		copied, err := client.Manifest(ctx, "tier", "high")
		Expect(err).NotTo(HaveOccurred())
		apply("[tier high]\nrank = 0\nmax_queued = 7")
		_, err = client.Apply(ctx, "copy.ini", append(copied, "\n"...), "", nil)
		Expect(err).To(haveCode(result.Conflict))
		base := uint64(1)
		_, err = client.Apply(ctx, "m.ini", []byte("[tier x]\nrank = 5"), "", &base)
		Expect(err).To(haveCode(result.Conflict))
	})

	It("names the line of a dangling reference and applies nothing", func() {
		_, err := client.Apply(ctx, "m.ini", []byte(manifest+"[team x]\ntier = none\nkey_sha256 ="), "", nil)
		var problems inifile.Problems
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(problems).To(ConsistOf(inifile.Problem{
			File: "m.ini", Line: 12, Section: "team x", Key: "tier", Want: "the name of a declared tier", Got: "none",
		}))
		Expect(table.rows).To(BeEmpty())
	})

	It("says when the platform is down", func() {
		table.setDown(true)
		_, err := client.Apply(ctx, "m.ini", []byte(manifest), "", nil)
		Expect(err).To(haveCode(result.PlatformDown))
	})

	It("calls a change without an answer ambiguous", func() {
		_, err := admin.NewClient("http://127.0.0.1:1", "").Apply(ctx, "m.ini", []byte(manifest), "id", nil)
		Expect(err).To(haveCode(result.StoreAmbiguous))
	})

	It("drains an endpoint", func() {
		apply(manifest)
		applied, err := client.Drain(ctx, "plain", "d")
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(uint64(2)))
		snapshot, err := store.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Endpoints["plain"].State).To(Equal(resource.EndpointDrain))
		_, err = client.Drain(ctx, "none", "e")
		Expect(err).To(haveCode(result.NotFound))
	})

	It("waits for the live hosts alone", func() {
		host.setHosts(
			admin.HostStatus{Host: "h1", State: admin.HostAlive, Revision: 3},
			admin.HostStatus{Host: "h2", State: admin.HostSuspect, Revision: 2},
			admin.HostStatus{Host: "h3", State: admin.HostDead, Revision: 1},
		)
		status, err := client.Wait(ctx, 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.InForce).To(BeFalse())
		Expect(status.Lagging).To(HaveLen(1))
		Expect(status.Lagging[0].Host).To(BeEquivalentTo("h2"))
		status, err = client.Wait(ctx, 2, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.InForce).To(BeTrue())
	})

	It("explains a request", func() {
		records, err := client.Explain(ctx, "known")
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(1))
		_, err = client.Explain(ctx, "unknown")
		Expect(err).To(haveCode(result.NotFound))
	})

	It("reports the burn while the object store is down", func() {
		apply(manifest + "[objective high]\ntier = high\ngoodput = 0.99")
		adopt()
		collector := report.NewCollector("h1", 1, time.Now())
		base := serve(admin.New(host, admin.Options{Store: store, Reports: report.NewReader(collector, noObjects{})}))
		text, err := admin.NewClient(base, "").Burn(ctx, "text")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("PARTIAL"))
		Expect(string(text)).To(ContainSubstring("99.00%"))
		html, err := admin.NewClient(base, "").Burn(ctx, "html")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(html)).To(ContainSubstring("<svg"))
		_, err = client.Burn(ctx, "text")
		Expect(err).To(haveCode(result.NotFound))
	})

	Describe("a watch", func() {
		var (
			events  chan admin.WatchEvent
			reached chan uint64
			told    chan admin.StatusEvent
			ended   chan error
		)
		watch := func(kind string, after *uint64) {
			toEvents, toReached := make(chan admin.WatchEvent, 100), make(chan uint64, 100)
			toStatus, toEnded := make(chan admin.StatusEvent, 100), make(chan error, 1)
			events, reached, told, ended = toEvents, toReached, toStatus, toEnded
			w := admin.Watcher{
				Change:  func(e admin.WatchEvent) { toEvents <- e },
				Reached: func(r uint64) { toReached <- r },
				Status:  func(e admin.StatusEvent) { toStatus <- e },
			}
			watcher := client
			go func() { toEnded <- watcher.Watch(context.Background(), kind, after, w) }()
		}

		It("resumes from a revision and goes on with what comes", func() {
			apply(manifest)
			apply("[tier low]\ndelete = yes")
			adopt()
			after := uint64(1)
			watch("tier", &after)
			Eventually(events).Should(Receive(Equal(admin.WatchEvent{Revision: 2, Kind: "tier", Name: "low", Deleted: true})))
			Eventually(reached).Should(Receive(Equal(uint64(2))))
			apply("[tier new]\nrank = 4\n[endpoint plain]\ndelete = yes")
			adopt()
			var event admin.WatchEvent
			Eventually(events).Should(Receive(&event))
			Expect(event.Name).To(Equal("new"))
			Expect(event.Resource.Keys).To(HaveKeyWithValue("rank", "4"))
			Eventually(reached).Should(Receive(Equal(uint64(3))))
			Expect(events).NotTo(Receive())
			Expect(server.Shutdown(ctx)).To(Succeed())
			Eventually(ended).Should(Receive(haveCode(result.Stopping)))
		})

		It("tells the changes of status, not of ages", func() {
			one := admin.HostStatus{Host: "h1", State: admin.HostAlive, HeartbeatAgeMillis: 1}
			two := admin.HostStatus{Host: "h2", State: admin.HostAlive}
			host.setHosts(one, two)
			watch("host", nil)
			Eventually(told).Should(Receive(HaveField("Name", "h1")))
			Eventually(told).Should(Receive(HaveField("Name", "h2")))
			one.HeartbeatAgeMillis = 2
			two.State = admin.HostSuspect
			host.setHosts(one, two)
			var event admin.StatusEvent
			Eventually(told).Should(Receive(&event))
			Expect(event.Host.State).To(Equal(admin.HostSuspect))
			host.setHosts(two)
			Eventually(told).Should(Receive(Equal(admin.StatusEvent{Kind: "host", Name: "h1", Gone: true})))
			Expect(told).NotTo(Receive())
			after := uint64(1)
			watch("pool", &after)
			Eventually(ended).Should(Receive(haveCode(result.BadRequest)))
		})

		It("says when it can't resume", func() {
			for range 3 {
				apply(manifest)
				apply("[tier low]\ndelete = yes")
			}
			adopt()
			table.mu.Lock()
			for key := range table.rows {
				if key < "change/00000000000000000004" {
					delete(table.rows, key)
				}
			}
			table.mu.Unlock()
			for _, after := range []uint64{1, 99} {
				watch("tier", &after)
				Eventually(ended).Should(Receive(haveCode(result.WatchGone)))
			}
			table.setDown(true)
			after := uint64(4)
			watch("tier", &after)
			Eventually(ended).Should(Receive(haveCode(result.PlatformDown)))
		})
	})
})

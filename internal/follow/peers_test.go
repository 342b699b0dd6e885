package follow

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

// querier is a host that queries others for the store's contents.
type querier struct {
	*WithT
	follower *Follower
	readers  []ident.Host
	// stale holds the hosts whose data is old, and unresponsive those that do not answer.
	stale, unresponsive map[ident.Host]bool
	queried             []ident.Host
}

// newQuerier returns a host among seven others, two of which read the store.
func newQuerier(t *testing.T) *querier {
	a := &querier{
		WithT: NewWithT(t), readers: []ident.Host{"r1", "r2"},
		stale: map[ident.Host]bool{}, unresponsive: map[ident.Host]bool{},
	}
	log, _ := test.NewNullLogger()
	hosts := append([]ident.Host{"self", "h1", "h2", "h3", "h4", "h5"}, a.readers...)
	a.follower = New(Options{
		Self: "self", Log: log, Readers: func() []ident.Host { return a.readers },
		Hosts: func() []ident.Host { return hosts }, Send: a.send,
	})
	a.follower.reading.Store(false)
	a.follower.state.adoptRuleset(&ruleset.Ruleset{Version: 7}, 1)
	a.follower.state.adoptEndpoints(nil, 1)
	return a
}

// send answers a query on behalf of the queried host.
func (a *querier) send(to ident.Host, m *peerpb.Envelope) bool {
	a.queried = append(a.queried, to)
	if a.unresponsive[to] {
		return true
	}
	age := 100 * time.Millisecond
	if a.stale[to] {
		age = freshAge
	}
	answer := peerpb.Wrap(&peerpb.Envelope_StoreTell{StoreTell: &peerpb.StoreTell{
		Seq: m.GetStoreAsk().GetSeq(), Version: 7, VersionAgeUs: age.Microseconds(), EndpointsAgeUs: age.Microseconds(),
		Endpoints: m.GetStoreAsk().GetEndpoints(),
	}})
	answer.From = string(to)
	a.follower.Receive(answer)
	return true
}

// query sends one query, as FollowReaders does, and returns the queried host.
func (a *querier) query() ident.Host {
	to, ok := a.follower.choosePeer(a.readers)
	a.Expect(ok).To(BeTrue())
	reader := to == a.readers[0] || to == a.readers[1]
	a.follower.sendQuery(to, reader)
	if a.unresponsive[to] {
		// Let the answer time out.
		a.follower.queryMu.Lock()
		a.follower.outstanding.at -= answerTimeout
		a.follower.queryMu.Unlock()
	}
	return to
}

// TestHelpersAreUsedWhileReadersAreStale has the store reject the readers while it serves another
// host. That host must be found and queried, and the readers again once they have fresh data.
func TestHelpersAreUsedWhileReadersAreStale(t *testing.T) {
	for name, unanswered := range map[string]bool{"rejected": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			a := newQuerier(t)
			for _, h := range []ident.Host{"r1", "r2", "h1", "h2", "h3", "h4"} {
				a.stale[h], a.unresponsive[h] = !unanswered, unanswered
			}
			for range 40 {
				if a.query() == "h5" {
					break
				}
			}
			a.Expect(a.queried).To(ContainElement(ident.Host("h5")), "every host is queried eventually")
			a.Expect(a.follower.fresh()).To(BeTrue())
			readers, others := 0, 0
			for range 30 {
				if to := a.query(); to == "h5" {
					others++
				} else {
					a.Expect(a.readers).To(ContainElement(to), "one helper is enough")
					readers++
				}
			}
			a.Expect(others).To(BeNumerically(">=", 15))
			a.Expect(readers).To(BeNumerically(">=", 5), "the readers may have fresh data again")
			clear(a.stale)
			clear(a.unresponsive)
			for range 2 * readerEvery {
				a.query()
			}
			for range 10 {
				a.Expect(a.readers).To(ContainElement(a.query()))
			}
		})
	}
}

// TestHostsThatDoNotReadForOthersRetryLess has every call to the store fail. Readers must retry
// about twice a second, and other hosts less often.
func TestHostsThatDoNotReadForOthersRetryLess(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	calls := func(reading bool) int {
		d := dependency{log: log, name: "configuration", reading: func() bool { return reading }}
		n := 0
		for at := time.Duration(0); at < 10*time.Second; n++ {
			wait := d.failed(errors.New("away"))
			g.Expect(wait).To(BeNumerically("<=", (1+retryJitter)*float64(maxOwnRetry)))
			at += wait
		}
		return n
	}
	g.Expect(calls(true)).To(BeNumerically(">=", 18))
	g.Expect(calls(false)).To(BeNumerically("<=", 10))
}

// Guards against a version, or a list of endpoints, that comes into force after a newer one: the readings
// of the store and the answers of other hosts come on different goroutines.
func TestWhatIsNewerComesIntoForceLast(t *testing.T) {
	g := NewWithT(t)
	var f *Follower
	var mu sync.Mutex
	var versions []uint64
	var lists [][]platform.Endpoint
	var later sync.WaitGroup
	log, _ := test.NewNullLogger()
	f = New(Options{
		Self: "h", Log: log,
		OnRuleset: func(r *ruleset.Ruleset, _ string) {
			if r.Version == 2 {
				later.Go(func() { f.adoptRuleset(&ruleset.Ruleset{Version: 3}, time.Second, "other") })
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			versions = append(versions, r.Version)
		},
		OnEndpoints: func(list []platform.Endpoint) {
			if len(list) == 2 {
				later.Go(func() { f.adoptEndpoints([]platform.Endpoint{{Name: "a"}}, 2*time.Second) })
				time.Sleep(100 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, list)
		},
	})
	f.adoptRuleset(&ruleset.Ruleset{Version: 2}, unconfirmed, SourceStore)
	f.adoptEndpoints([]platform.Endpoint{{Name: "a"}, {Name: "b"}}, time.Second)
	later.Wait()
	g.Expect(versions).To(Equal([]uint64{2, 3}))
	g.Expect(lists[len(lists)-1]).To(HaveLen(1))
}

// Guards against hundreds of starting hosts that all read the same tables: a host of a large fleet
// waits for the readers, and reads the store itself if they don't answer.
func TestStartingHostsLeaveTheFirstReadToTheReaders(t *testing.T) {
	for hosts, reads := range map[int]bool{1: true, manyHosts - 1: true, manyHosts: false, 300: false} {
		g := NewWithT(t)
		f := New(Options{Self: "h"})
		f.Start(hosts)
		g.Expect(f.needsStore()).To(Equal(reads), "%d hosts", hosts)
		f.graceEnd.Store(int64(clock.Boot()))
		g.Expect(f.needsStore()).To(BeTrue(), "the readers have not answered")
	}
}

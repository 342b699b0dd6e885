package follow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// testLife is the lifetime of keys of the hosts of these tests, as on the users' deployments.
	testLife = 5 * time.Second
	// sampleEvery is the time between two looks at a host.
	sampleEvery = time.Millisecond
)

// testKeyLife returns testLife.
func testKeyLife() time.Duration { return testLife }

// restoredStore is a store in era 1 with hosts that follow it.
type restoredStore struct {
	*WithT
	t       *testing.T
	server  *store.Server
	address string
	// readers are the hosts that read the store for the others; nil: all.
	readers []ident.Host

	mu    sync.Mutex
	hosts map[ident.Host]*storeHost
}

// storeHost is a host that follows the store and queries the other hosts.
type storeHost struct {
	*Follower
	name ident.Host
	stop func()

	mu sync.Mutex
	// accepted holds the versions by which the host accepted keys, in order, and refused is how often
	// it refused all keys.
	accepted []uint64
	refused  int
	version  uint64
}

func newRestoredStore(t *testing.T) *restoredStore {
	s := &restoredStore{WithT: NewWithT(t), t: t, server: store.New(), hosts: map[ident.Host]*storeHost{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	s.address = ln.Addr().String()
	go func() { _ = s.server.Serve(ln) }()
	t.Cleanup(func() { _ = s.server.Close() })
	s.server.NameEra(1)
	return s
}

// write writes a version of the configuration.
func (s *restoredStore) write(version uint64) {
	s.server.Put(platform.TableOperator, "", "config", fmt.Appendf(nil, `{"version":%d}`, version))
}

// send passes a message to a host that is alive.
func (s *restoredStore) send(to ident.Host, m *peerpb.Envelope) bool {
	s.mu.Lock()
	h := s.hosts[to]
	s.mu.Unlock()
	if h != nil {
		go h.Receive(m)
	}
	return h != nil
}

// names returns the hosts that are alive.
func (s *restoredStore) names() []ident.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ident.Host
	for name := range s.hosts {
		list = append(list, name)
	}
	return list
}

// start starts a host. If it is alone, it reaches the store and no other host.
func (s *restoredStore) start(name ident.Host, first, alone bool) *storeHost {
	h := &storeHost{name: name}
	client := platform.NewStore(s.address, func(string, time.Duration, error) {})
	log := logrus.New()
	log.SetOutput(io.Discard)
	others, readers := s.names, s.names
	if s.readers != nil {
		readers = func() []ident.Host { return s.readers }
	}
	if alone {
		others = func() []ident.Host { return []ident.Host{name} }
		readers = others
	}
	h.Follower = New(Options{
		Self: name, Log: log, Store: client, KeyLife: testKeyLife, Readers: readers, Hosts: others,
		Others: func() []ident.Host { return slices.DeleteFunc(others(), func(h ident.Host) bool { return h == name }) },
		Send: func(to ident.Host, m *peerpb.Envelope) bool {
			m.From = string(name)
			return s.send(to, m)
		},
		OnEndpoints: func([]platform.Endpoint) {},
		OnRuleset: func(r *ruleset.Ruleset, _ string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.version = r.Version
		},
	})
	h.Enlisted(first)
	h.Start(3)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, run := range []func(context.Context){h.FollowConfiguration, h.FollowEndpoints, h.FollowReaders, h.sample} {
		group.Go(func() { run(ctx) })
	}
	if !alone {
		s.mu.Lock()
		s.hosts[name] = h
		s.mu.Unlock()
	}
	h.stop = sync.OnceFunc(func() {
		s.mu.Lock()
		delete(s.hosts, name)
		s.mu.Unlock()
		cancel()
		group.Wait()
		client.Close()
	})
	s.t.Cleanup(h.stop)
	return h
}

// sample records by which versions the host accepts keys.
func (h *storeHost) sample(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, sampleEvery) {
		h.mu.Lock()
		// A version that is in force after the age was read is not older than what the age is of.
		if age, known := h.ConfigurationAge(); !known || age >= testLife {
			h.refused++
		} else if n := len(h.accepted); n == 0 || h.accepted[n-1] != h.version {
			h.accepted = append(h.accepted, h.version)
		}
		h.mu.Unlock()
	}
}

// versions returns the versions by which the host has accepted keys.
func (h *storeHost) versions() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.accepted...)
}

// loseVersion2 starts a host, has it take version 2 over and lets the store come back from a copy with
// version 1. It returns the host.
func (s *restoredStore) loseVersion2(cut bool) *storeHost {
	s.write(1)
	a := s.start("a", true, false)
	s.Eventually(a.versions, 2*NoticeTime).Should(Equal([]uint64{1}))
	older := s.server.Copy()
	s.write(2)
	s.Eventually(a.versions, NoticeTime).Should(Equal([]uint64{1, 2}))
	s.server.Restore(older, cut)
	return a
}

// Guards against a host that starts after the store came back from an older copy and accepts a key that
// a lost version had taken away, until another host has told it the newer one (review/15).
func TestStartedHostLearnsLostVersionFromOthers(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]bool{"connections broken": true, "connections kept": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRestoredStore(t)
			a := s.loseVersion2(cut)
			c := s.start("c", false, false)
			s.Eventually(c.versions, NoticeTime).Should(Equal([]uint64{2}))
			s.Consistently(c.versions, NoticeTime).Should(Equal([]uint64{2}))
			s.Expect(a.versions()).To(Equal([]uint64{1, 2}))
		})
	}
}

// Guards against the same at a host that reaches the store and no other host: the mark tells it that
// the version in the store is not the newest.
func TestStartedHostThatReachesTheStoreOnlyAwaitsTheOperator(t *testing.T) {
	t.Parallel()
	s := newRestoredStore(t)
	s.loseVersion2(true)
	c := s.start("c", false, true)
	s.Consistently(c.versions, testLife+NoticeTime).Should(BeEmpty())
	s.write(2)
	s.Eventually(c.versions, NoticeTime).Should(Equal([]uint64{2}))
}

// Guards against the same if all hosts end while the store is away, so that nobody knows (letter 13).
func TestHostsThatAllEndedAwaitTheOperator(t *testing.T) {
	t.Parallel()
	s := newRestoredStore(t)
	s.loseVersion2(true).stop()
	a, c := s.start("a", false, false), s.start("c", false, false)
	s.Consistently(func() int { return len(a.versions()) + len(c.versions()) }, testLife/2).Should(BeZero())
	s.Expect(a.UntilConfirmed()).To(And(BeNumerically(">", 0), BeNumerically("<", testLife)), "the others don't know either")
	s.write(2)
	for _, h := range []*storeHost{a, c} {
		s.Eventually(h.versions, NoticeTime).Should(Equal([]uint64{2}))
	}
}

// TestHostsThatAllEndedAcceptKeysAgain checks that an operator who has lost nothing needn't write again.
func TestHostsThatAllEndedAcceptKeysAgain(t *testing.T) {
	t.Parallel()
	s := newRestoredStore(t)
	s.loseVersion2(true).stop()
	a := s.start("a", false, false)
	s.Eventually(a.versions, testLife+NoticeTime).Should(Equal([]uint64{1}))
	later := s.start("d", false, true)
	s.Eventually(later.versions, NoticeTime/2).Should(Equal([]uint64{1}), "the era has a mark")
}

// TestHostThatKnowsGoesOn checks that a host goes on accepting keys if the store has lost no version.
func TestHostThatKnowsGoesOn(t *testing.T) {
	t.Parallel()
	s := newRestoredStore(t)
	s.write(1)
	a := s.start("a", true, false)
	s.Eventually(a.versions, 2*NoticeTime).Should(Equal([]uint64{1}))
	a.mu.Lock()
	a.refused = 0
	a.mu.Unlock()
	for range 3 {
		s.server.Restore(s.server.Copy(), true)
		time.Sleep(NoticeTime / 2)
	}
	time.Sleep(testLife)
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Expect(a.refused).To(BeZero())
	s.Expect(a.accepted).To(Equal([]uint64{1}))
}

// Guards against keys that are refused for longer than the store was away: after an outage all hosts have
// heard nothing for long, and none knows more than another (soak seed 94035).
func TestHostsThatAgreeSettleAnEraAtOnce(t *testing.T) {
	t.Parallel()
	for name, ended := range map[string]bool{"all run": false, "one has started since": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRestoredStore(t)
			s.write(1)
			a, b := s.start("a", true, false), s.start("b", true, false)
			s.Eventually(a.versions, 2*NoticeTime).Should(Equal([]uint64{1}))
			s.Eventually(b.versions, NoticeTime).Should(Equal([]uint64{1}))
			s.server.Set(store.Faults{Refuse: http.StatusServiceUnavailable})
			time.Sleep(testLife + time.Second)
			if ended {
				b.stop()
				s.start("b", false, false)
			}
			s.server.Restore(s.server.Copy(), true)
			s.server.Set(store.Faults{})
			confirmed := func() bool {
				age, known := a.ConfigurationAge()
				return known && age < testLife
			}
			if !ended {
				s.Eventually(confirmed, NoticeTime).Should(BeTrue())
				return
			}
			s.Consistently(confirmed, testLife/2).Should(BeFalse(), "the other may have known more")
			s.Eventually(confirmed, testLife).Should(BeTrue())
		})
	}
}

// Guards against keys that an older configuration accepts while the newer one, which another host has
// confirmed, is still coming into force.
func TestConfigurationIsConfirmedOnceItIsInForce(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	known := false
	var f *Follower
	f = New(Options{Self: "h", Log: log, OnRuleset: func(*ruleset.Ruleset, string) { _, known = f.ConfigurationAge() }})
	f.adoptRuleset(&ruleset.Ruleset{Version: 1}, unconfirmed, SourceStore)
	f.adoptRuleset(&ruleset.Ruleset{Version: 2}, time.Second, "other")
	g.Expect(known).To(BeFalse())
	_, known = f.ConfigurationAge()
	g.Expect(known).To(BeTrue())
}

// Guards against hundreds of hosts that all read the store at their first start, because the readers wait for
// those that may have run before.
func TestFirstStartLeavesTheReadersTheirTime(t *testing.T) {
	s := newRestoredStore(t)
	for first, longer := range map[bool]bool{false: false, true: true} {
		client := platform.NewStore(s.address, func(string, time.Duration, error) {})
		t.Cleanup(client.Close)
		_, err := client.ReadTable(t.Context(), platform.TableOperator, "")
		s.Expect(err).NotTo(HaveOccurred())
		f := New(Options{Self: "h", Store: client})
		f.Enlisted(first)
		f.Start(manyHosts)
		grace := time.Duration(f.graceEnd.Load()) - clock.Boot()
		s.Expect(grace > 2*NoticeTime).To(Equal(longer))
	}
}

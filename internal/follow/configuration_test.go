package follow

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
	"github.com/trefoilchute/trefoilchute/platform"
)

// configurationReader is a host that follows the configuration in a stand-in store.
type configurationReader struct {
	*WithT
	store    *store.Server
	follower *Follower

	mu        sync.Mutex
	inForce   []uint64
	endpoints []platform.Endpoint
}

// newConfigurationReader returns a host that has taken over version 1.
func newConfigurationReader(t *testing.T) *configurationReader {
	h := &configurationReader{WithT: NewWithT(t), store: store.New()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.Expect(err).NotTo(HaveOccurred())
	go func() { _ = h.store.Serve(ln) }()
	client := platform.NewStore(ln.Addr().String(), func(string, time.Duration, error) {})
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.follower = New(Options{
		Self: "h", Log: log, Store: client, KeyLife: testKeyLife,
		OnRuleset: func(r *ruleset.Ruleset, _ string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.inForce = append(h.inForce, r.Version)
		},
		OnEndpoints: func(list []platform.Endpoint) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.endpoints = list
		},
	})
	h.follower.Start(1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		_ = h.store.Close()
	})
	h.put(1)
	go func() {
		defer close(done)
		h.follower.FollowConfiguration(ctx)
	}()
	h.Eventually(h.versions, 5*time.Second).Should(Equal([]uint64{1}))
	return h
}

// put writes a version of the configuration.
func (h *configurationReader) put(version int) {
	h.store.Put(platform.TableOperator, "", "config", fmt.Appendf(nil, `{"version":%d}`, version))
}

// putInvalid writes a version that can't be decoded.
func (h *configurationReader) putInvalid(version int) {
	h.store.Put(platform.TableOperator, "", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"kind":"new"}]}`, version))
}

// versions returns the versions that came into force, in order.
func (h *configurationReader) versions() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.inForce...)
}

// withSlowAnswer delays the store's next answer until several changes have been made.
func (h *configurationReader) withSlowAnswer(changes func()) {
	h.store.Set(store.Faults{Delay: 2 * configurationWait / 3})
	time.Sleep(configurationWait + configurationWait/3)
	changes()
	h.store.Set(store.Faults{})
}

// age returns the time since the configuration in force was confirmed.
func (h *configurationReader) age() time.Duration {
	age, known := h.follower.ConfigurationAge()
	h.Expect(known).To(BeTrue())
	return age
}

const (
	// pollTime is a time in which an unchanged configuration is confirmed.
	pollTime = 3 * configurationWait
	// severalPolls is a time in which it is confirmed more than once.
	severalPolls = 5 * configurationWait
)

// Guards against an older version that stays in force, and counts as confirmed, when one answer of
// the store has several (review/7): callers could go on using a key that the newest had removed.
func TestNewestOfSeveralVersionsInOneAnswerComesIntoForce(t *testing.T) {
	t.Parallel()
	h := newConfigurationReader(t)
	h.withSlowAnswer(func() {
		for version := 2; version <= 4; version++ {
			h.put(version)
		}
	})
	newest := func() uint64 { list := h.versions(); return list[len(list)-1] }
	h.Eventually(newest, 5*time.Second).Should(BeEquivalentTo(4))
	h.Eventually(h.age, 5*time.Second).Should(BeNumerically("<", pollTime))
	h.Consistently(newest, severalPolls).Should(BeEquivalentTo(4))
}

// Guards against an unreadable version that the next poll without changes lets be forgotten: the
// version before it counted as the newest from then on.
func TestUnreadableVersionIsNeverConfirmed(t *testing.T) {
	t.Parallel()
	for name, write := range map[string]func(*configurationReader){
		"alone":             func(h *configurationReader) { h.putInvalid(2) },
		"after another one": func(h *configurationReader) { h.withSlowAnswer(func() { h.put(2); h.putInvalid(3) }) },
		"removed":           func(h *configurationReader) { h.store.Remove(platform.TableOperator, "", "config") },
		"removed, with a part of the history": func(h *configurationReader) {
			h.store.Remove(platform.TableOperator, "", "config")
			h.store.Forget()
			h.store.Put(platform.TableOperator, "", "other", nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newConfigurationReader(t)
			write(h)
			h.Eventually(h.age, 10*time.Second).Should(BeNumerically(">", severalPolls), "nothing confirms version 1")
			if name == "after another one" {
				h.Expect(h.versions()).To(Equal([]uint64{1, 2}), "the newest one that can be decoded is in force")
			} else {
				h.Expect(h.versions()).To(Equal([]uint64{1}))
			}
			h.put(9)
			h.Eventually(h.age, 5*time.Second).Should(BeNumerically("<", pollTime), "the next valid one is confirmed")
			h.Consistently(h.age, severalPolls).Should(BeNumerically("<", pollTime), "and so are polls without changes")
		})
	}
}

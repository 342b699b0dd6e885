package platformhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
	"github.com/trefoilchute/trefoilchute/platform"
)

// Guards against two fleets of hosts: the store loses the secret of the links, and hosts that start
// later store another one (review/14). The host's own row and its suspects are written again too.
func TestRowsThatTheStoreHasLostAreWrittenAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var server *store.Server
	var older store.Copy
	h, _ := startHost(t, func(s *store.Server) {
		s.NameEra(1)
		server, older = s, s.Copy()
	})
	ctx := context.Background()
	h.storeSuspect(pool.NewRepeatedSuspect(77, 3, 0))
	shared := func() platform.Shared {
		found, _ := h.store.ReadShared(ctx)
		return found
	}
	suspects := HaveField("Suspects", ConsistOf(And(HaveField("Fingerprint", BeEquivalentTo(77)), HaveField("Crashes", 3))))
	g.Eventually(shared, 5*time.Second).Should(suspects)
	secret := shared().Secret
	g.Expect(secret).NotTo(BeEmpty())
	hosts, err := h.store.Hosts(ctx, platform.Position{})
	g.Expect(err).NotTo(HaveOccurred())

	server.Restore(older, true)
	g.Eventually(shared, 5*time.Second).Should(And(HaveField("Secret", secret), suspects))
	g.Eventually(func() []platform.Host {
		again, _ := h.store.Hosts(ctx, platform.Position{})
		return again.Hosts
	}, 5*time.Second).Should(HaveExactElements(HaveField("Incarnation", hosts.Hosts[0].Incarnation)))
	g.Expect(h.isReady()).To(BeTrue())
}

// Guards against a host that starts before the others have written the lost secret again, and stores
// one of its own (review/14).
func TestHostThatMissesTheSecretAwaitsIt(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var mu sync.Mutex
	var secrets []string
	began := time.Now()
	startHost(t, func(s *store.Server) {
		s.NameEra(3)
		s.Put("trefoilchute-hosts", "hosts", "host-1", fmt.Appendf(nil,
			`{"name":"host-1","address":"127.0.0.1:9","domain":"region","incarnation":5,"written":%d}`, began.UnixMilli()))
		s.Notify(func(_, key string, value []byte) {
			mu.Lock()
			defer mu.Unlock()
			if key == "peer-secret" {
				secrets = append(secrets, string(value))
			}
		})
		time.AfterFunc(2*time.Second, func() { s.Put("trefoilchute-hosts", "shared", "peer-secret", []byte("known")) })
	})
	mu.Lock()
	defer mu.Unlock()
	g.Expect(secrets).To(Equal([]string{"known"}))
}

// TestHostAloneStoresASecret checks the first start of all hosts, at a store that names an era.
func TestHostAloneStoresASecret(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	began := time.Now()
	h, _ := startHost(t, func(s *store.Server) { s.NameEra(1) })
	g.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
	shared, err := h.store.ReadShared(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shared.Secret).NotTo(BeEmpty())
}

// TestRowsAreDueOnceAnEra checks when a host writes its rows again.
func TestRowsAreDueOnceAnEra(t *testing.T) {
	g := NewWithT(t)
	var r eraRise
	r.init()
	_, _, due := r.due()
	g.Expect(due).To(BeFalse(), "no era is known")
	r.note(platform.NewEra(4), true)
	_, _, due = r.due()
	g.Expect(due).To(BeFalse(), "the host has registered in it")
	r.note(platform.NewEra(5), false)
	era, read, due := r.due()
	g.Expect([]any{era, read, due}).To(Equal([]any{platform.NewEra(5), false, true}))
	r.note(platform.NewEra(5), true)
	_, read, due = r.due()
	g.Expect([]any{read, due}).To(Equal([]any{true, true}))
	r.done(era)
	r.note(platform.NewEra(5), false)
	_, _, due = r.due()
	g.Expect(due).To(BeFalse())
}

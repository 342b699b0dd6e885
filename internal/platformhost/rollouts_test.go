package platformhost

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
	"github.com/trefoilchute/trefoilchute/platform"
)

// TestOneDecisionWhileTheStoreFails has two hosts that both schedule a pool decide differently
// while the store fails in one way. Exactly one decision must be stored once it works again.
func TestOneDecisionWhileTheStoreFails(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"refuses": {Refuse: http.StatusServiceUnavailable}, "silent": {Silent: true}, "slow": {Delay: 300 * time.Millisecond},
		"loses answers": {LoseWrites: true}, "writes late": {LateWrites: 400 * time.Millisecond}, "none": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server := store.New()
			ln, err := net.Listen("tcp", anyPort)
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _ = server.Serve(ln) }()
			var mu sync.Mutex
			var states []string
			server.Notify(func(table, _ string, value []byte) {
				mu.Lock()
				defer mu.Unlock()
				if table == "status" {
					states = append(states, string(value))
				}
			})
			written := func() string {
				mu.Lock()
				defer mu.Unlock()
				return strings.Join(states, " ")
			}
			server.Put("op", "", "rollout/app", []byte("an order"))
			order := rollout.Order{ID: 1, Target: target, Version: "2", Duration: time.Minute}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			var hosts []*Host
			for _, name := range []string{"a", "b"} {
				h := &Host{log: discardLogger(), store: platform.NewStore(ln.Addr().String(), func(string, time.Duration, error) {})}
				h.settings.Store(&settings.Gateway{Rollout: rollout.Bounds{Rollback: time.Second}})
				h.rollouts.init(name, "r")
				h.onOrders()([]rollout.Order{order})
				h.rollouts.with(func(b *rolloutBook) { b.setScheduled(clock.Boot(), map[string]bool{target: true}) })
				group.Go(func() { h.readRollouts(ctx) })
				group.Go(func() { h.writeRollouts(ctx) })
				hosts = append(hosts, h)
			}
			t.Cleanup(func() {
				cancel()
				_ = server.Close()
				group.Wait()
			})
			g.Eventually(written, "3s").Should(Equal(`{"state":"running","to":"2"}`))
			server.Set(faults)
			hosts[0].rolloutDecided(rollout.Verdict{Order: order, State: rollout.RolledBack})
			hosts[1].rolloutDecided(rollout.Verdict{Order: order, State: rollout.Completed})
			time.Sleep(time.Second)
			server.Set(store.Faults{})
			state := func(h *Host) func() rollout.State {
				return func() rollout.State {
					return look(&h.rollouts, func(b *rolloutBook) rollout.State { return b.rows[target].State })
				}
			}
			g.Eventually(state(hosts[0]), "6s").ShouldNot(Equal(rollout.Running))
			g.Eventually(state(hosts[1]), "6s").Should(Equal(state(hosts[0])()), "the other host adopts it")
			g.Consistently(func() int { return strings.Count(written(), "state") }, "1s").Should(Equal(2), written())
		})
	}
}

// TestNothingIsFollowedWithoutRollouts guards against store calls on deployments without the
// section.
func TestNothingIsFollowedWithoutRollouts(t *testing.T) {
	h := &Host{}
	h.settings.Store(&settings.Gateway{})
	NewWithT(t).Expect(h.onOrders()).To(BeNil())
	h.startRollouts(t.Context())
	h.group.Wait()
}

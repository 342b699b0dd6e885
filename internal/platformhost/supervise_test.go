package platformhost

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

// startHost starts a host before a stand-in store, which prepare may fill, and returns it with a channel
// that gets Run's error.
func startHost(t *testing.T, prepare ...func(*store.Server)) (*Host, <-chan error) {
	g := NewWithT(t)
	server := store.New()
	ln, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(ln) }()
	server.Put("op", "", "config", []byte(`{"version":1,"services":[{"name":"s"}]}`))
	server.Put("servers", "", "e", []byte(`{"service":"s","address":"127.0.0.1:9","zone":"z","slots":1,"state":"ready","sequence":1}`))
	for _, f := range prepare {
		f(server)
	}
	h, err := New(settings.Gateway{
		Host: "host-1", Region: "region", Domain: "z", Store: ln.Addr().String(), Memory: 256, Cores: 1, CoreShare: 1,
		Listen: anyPort, ReadyListen: anyPort, MetricsListen: anyPort, PeerListen: anyPort, StopGrace: time.Second,
		KeyLife: 5 * time.Second, QuotaWindow: time.Second,
	}, nil, discardLogger())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx, nil) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	g.Eventually(h.isReady, 10*time.Second).Should(BeTrue())
	return h, ended
}

// Guards against a process that lives, says that it is ready and serves nobody, because a panic of a
// part that it needs is kept silent (review/6).
func TestPanicOfAPartEndsTheProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h, ended := startHost(t)
	h.group.Go("part", func() { panic("fault") })
	g.Eventually(ended, 10*time.Second).Should(Receive(MatchError(errUnusable)))
}

// Guards against the same where the control loop waits for something that never comes.
func TestStalledControlLoopEndsTheProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h, ended := startHost(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	go func() { _ = h.loop.Inspect(context.Background(), func(*control.Core) { <-release }) }()
	g.Eventually(h.isReady, 3*stallTimeout).Should(BeFalse())
	g.Expect(ended).NotTo(Receive())
	go h.watchLoop(h.lifetime, time.Millisecond)
	g.Eventually(ended, 10*time.Second).Should(Receive(MatchError(errUnusable)))
}

// Guards against a control loop that waits for itself: what the messages about the store bring is posted
// to its mailbox, so it must not handle them, nor wait for their handling.
func TestQueueingStoreMessagesDoesNotBlock(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	h := &Host{storeMessages: make(chan *peerpb.Envelope, storeMessageQueue)}
	queued := make(chan struct{})
	go func() {
		defer close(queued)
		for range 2 * storeMessageQueue {
			h.queueStoreMessage(&peerpb.Envelope{})
		}
	}()
	g.Eventually(queued, 5*time.Second).Should(BeClosed())
	g.Expect(h.storeMessages).To(HaveLen(storeMessageQueue))
}

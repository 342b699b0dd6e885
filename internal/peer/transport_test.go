package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// wide bounds waits for events that come in milliseconds on an idle machine.
const wide = 20 * time.Second

// node is a transport that keeps what it received.
type node struct {
	*Transport
	mu       sync.Mutex
	received []*peerpb.Envelope
	contacts []Contact
}

func (n *node) deliver(m *peerpb.Envelope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, m)
}

// pings returns the sequence numbers of the pings received from a host.
func (n *node) pings(from ident.Host) []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var seqs []uint64
	for _, m := range n.received {
		if m.From == string(from) && m.GetPing() != nil {
			seqs = append(seqs, m.GetPing().Seq)
		}
	}
	return seqs
}

func (n *node) known() []Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Contact(nil), n.contacts...)
}

func start(host ident.Host, incarnation uint64, change func(*Options)) *node {
	GinkgoHelper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n := &node{}
	opts := Options{
		Host: host, Incarnation: incarnation, Domain: "d1", Listen: "127.0.0.1:0",
		Secret: []byte("secret"), Deliver: n.deliver, Logger: logger,
		Connected: func(c Contact) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.contacts = append(n.contacts, c)
		},
	}
	if change != nil {
		change(&opts)
	}
	transport, err := New(opts)
	Expect(err).NotTo(HaveOccurred())
	n.Transport = transport
	Expect(n.Start(context.Background())).To(Succeed())
	DeferCleanup(n.Close)
	return n
}

func ping(seq uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: &peerpb.Ping{Seq: seq}}}
}

// blackHole passes bytes both ways until it is told to swallow them, which no
// kernel notices.
type blackHole struct {
	net.Listener
	mu      sync.Mutex
	swallow bool
	dials   int
}

func newBlackHole(target string) *blackHole {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b := &blackHole{Listener: listener}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			b.mu.Lock()
			b.dials++
			serial := b.dials
			b.mu.Unlock()
			go b.copy(out, in, serial)
			go b.copy(in, out, serial)
		}
	}()
	return b
}

// copy passes bytes; the first connection's are lost once swallow is set, and
// so is its end.
func (b *blackHole) copy(to, from net.Conn, serial int) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		lost := b.lost(serial)
		if err != nil {
			if !lost {
				_ = to.Close()
			}
			return
		}
		if !lost {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (b *blackHole) lost(serial int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.swallow && serial == 1
}

// swallowFirst loses all that is sent over the first connection from now on.
func (b *blackHole) swallowFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.swallow = true
}

var _ = Describe("Transport", func() {
	It("delivers in order, both ways, over one link", func() {
		a, b := start("a", 1, nil), start("b", 7, nil)
		a.SetPeers(map[ident.Host]string{"b": b.Addr()})
		for seq := range uint64(500) {
			Expect(a.Send("b", ping(seq))).To(BeTrue())
		}
		Eventually(func() int { return len(b.pings("a")) }, wide).Should(Equal(500))
		for i, seq := range b.pings("a") {
			Expect(seq).To(Equal(uint64(i)))
		}
		Expect(b.received[0].Incarnation).To(Equal(uint64(1)))
		Expect(b.Send("a", ping(9))).To(BeTrue())
		Eventually(func() []uint64 { return a.pings("b") }, wide).Should(Equal([]uint64{9}))
		stats := a.Stats().Peers["b"]
		Expect(stats.BatchesSent).To(BeNumerically("<", 500))
		Expect(stats.BytesSent).To(BeNumerically(">", 500))
		Expect(stats.Connected).To(BeTrue())
	})

	It("learns a seed's name from its hello", func() {
		a, b := start("a", 1, nil), start("b", 7, nil)
		a.Hint(b.Addr())
		Eventually(a.known, wide).Should(ContainElement(Contact{Host: "b", Incarnation: 7, Domain: "d1", Address: b.Addr()}))
		Expect(a.Send("b", ping(1))).To(BeTrue())
		Eventually(func() int { return len(b.pings("a")) }, wide).Should(Equal(1))
	})

	It("refuses a host without the secret, in both directions", func() {
		a := start("a", 1, nil)
		evil := start("evil", 1, func(o *Options) { o.Secret = []byte("guess") })
		evil.SetPeers(map[ident.Host]string{"a": a.Addr()})
		evil.Send("a", ping(1))
		Eventually(func() uint64 { return evil.Stats().Refused }, wide).Should(BeNumerically(">", 0))
		a.SetPeers(map[ident.Host]string{"evil": evil.Addr()})
		a.Send("evil", ping(1))
		Eventually(func() uint64 { return a.Stats().Refused }, wide).Should(BeNumerically(">", 1))
		Expect(a.known()).To(BeEmpty())
		Expect(evil.known()).To(BeEmpty())
	})

	It("refuses bytes that are no handshake", func() {
		a := start("a", 1, func(o *Options) { o.Handshake = 50 * time.Millisecond })
		conn, err := net.Dial("tcp", a.Addr())
		Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		Eventually(func() uint64 { return a.Stats().Refused }, wide).Should(Equal(uint64(1)))
		_, _ = net.Dial("tcp", a.Addr()) // says nothing at all
		Eventually(func() uint64 { return a.Stats().Refused }, wide).Should(Equal(uint64(2)))
	})

	It("doesn't take another host for the one that was dialled", func() {
		a, b := start("a", 1, nil), start("b", 1, nil)
		a.SetPeers(map[ident.Host]string{"c": b.Addr()})
		a.Send("c", ping(1))
		Eventually(func() uint64 { return a.Stats().Peers["c"].Drops[DropDown] }, wide).Should(BeNumerically(">", 0))
		Expect(b.pings("a")).To(BeEmpty())
	})

	It("drops with a reason instead of blocking", func() {
		a := start("a", 1, func(o *Options) { o.QueueMessages = 2 })
		silent, err := net.Listen("tcp", "127.0.0.1:0") // never accepts
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		a.SetPeers(map[ident.Host]string{"b": silent.Addr().String()})
		for seq := range uint64(5) {
			Expect(a.Send("b", ping(seq))).To(Equal(seq < 2))
		}
		Expect(a.Stats().Peers["b"].Drops[DropFull]).To(Equal(uint64(3)))
		huge := &peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: &peerpb.Part{Data: make([]byte, MaxMessageBytes)}}}
		Expect(a.Send("b", huge)).To(BeFalse())
		Expect(a.Stats().Peers["b"].Drops[DropTooLarge]).To(Equal(uint64(1)))
		Expect(a.Send("nobody", ping(1))).To(BeFalse())
	})

	It("keeps one link when both dial at once", func() {
		a, b := start("a", 1, nil), start("b", 1, nil)
		a.SetPeers(map[ident.Host]string{"b": b.Addr()})
		b.SetPeers(map[ident.Host]string{"a": a.Addr()})
		for seq := range uint64(100) {
			a.Send("b", ping(seq))
			b.Send("a", ping(seq))
		}
		Eventually(func() int { return len(b.pings("a")) }, wide).Should(Equal(100))
		Eventually(func() int { return len(a.pings("b")) }, wide).Should(Equal(100))
		open := func(n *node) func() int {
			return func() int {
				n.Transport.mu.Lock()
				defer n.Transport.mu.Unlock()
				return len(n.conns)
			}
		}
		Eventually(open(a), wide).Should(Equal(1))
		Eventually(open(b), wide).Should(Equal(1))
	})

	It("finds a link dead that the kernel thinks open, and dials anew", func() {
		fast := func(o *Options) {
			o.Keepalive, o.Silence = 20*time.Millisecond, 200*time.Millisecond
		}
		a, b := start("a", 1, fast), start("b", 1, fast)
		hole := newBlackHole(b.Addr())
		a.SetPeers(map[ident.Host]string{"b": hole.Addr().String()})
		a.Send("b", ping(1))
		Eventually(func() []uint64 { return b.pings("a") }, wide).Should(ContainElement(uint64(1)))
		hole.swallowFirst()
		Eventually(func() []uint64 {
			a.Send("b", ping(2))
			return b.pings("a")
		}, wide, 20*time.Millisecond).Should(ContainElement(uint64(2)))
		Eventually(func() uint64 { return a.Stats().Silent }, wide).Should(BeNumerically(">=", 1))
		Eventually(func() uint64 { return b.Stats().Silent }, wide).Should(BeNumerically(">=", 1))
	})

	It("reaches a peer that came back with a new incarnation", func() {
		// An IP of its own, so that no other process takes the port meanwhile.
		a, b := start("a", 1, nil), start("b", 1, func(o *Options) { o.Listen = "127.77.0.1:0" })
		address := b.Addr()
		a.SetPeers(map[ident.Host]string{"b": address})
		a.Send("b", ping(1))
		Eventually(func() int { return len(b.pings("a")) }, wide).Should(Equal(1))
		b.Close()
		b = start("b", 2, func(o *Options) { o.Listen = address })
		Eventually(func() []uint64 {
			a.Send("b", ping(2))
			return b.pings("a")
		}, wide, 20*time.Millisecond).ShouldNot(BeEmpty())
		Expect(a.known()[len(a.known())-1].Incarnation).To(Equal(uint64(2)))
	})

	It("closes an idle link and opens it again on demand", func() {
		idle := func(o *Options) { o.Keepalive, o.Idle = 10*time.Millisecond, 50*time.Millisecond }
		a, b := start("a", 1, idle), start("b", 1, idle)
		a.SetPeers(map[ident.Host]string{"b": b.Addr()})
		connected := func() bool { return a.Stats().Peers["b"].Connected }
		// Repeated sends keep the link from becoming idle before it was seen open.
		Eventually(func() bool {
			a.Send("b", ping(1))
			return connected()
		}, wide).Should(BeTrue())
		Eventually(connected, wide).Should(BeFalse())
		Eventually(func() []uint64 {
			a.Send("b", ping(2))
			return b.pings("a")
		}, wide, 20*time.Millisecond).Should(ContainElement(uint64(2)))
	})

	It("closes a link whose messages name another sender", func() {
		a, b := start("a", 1, nil), start("b", 1, nil)
		a.SetPeers(map[ident.Host]string{"b": b.Addr()})
		forged := ping(1)
		forged.From = "c"
		a.Send("b", forged)
		Eventually(func() uint64 { return b.Stats().Rejected }, wide).Should(Equal(uint64(1)))
		Expect(b.pings("c")).To(BeEmpty())
	})
})

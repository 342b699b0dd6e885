package system_test

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/configuration"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// configProcess runs membership and configuration, as the control loop does.
type configProcess struct {
	members       *membership.System
	configuration *configuration.System
	// highest is the highest revision that was ever in force. reverted is set if a lower
	// one came into force afterwards, which is a fault.
	highest  uint64
	reverted bool
}

func (p *configProcess) Tick(now time.Duration, out *system.Outbox) {
	p.members.Tick(now, out)
	p.configuration.Tick(now, out)
	p.adopt()
}

func (p *configProcess) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	p.members.Receive(now, env, out)
	p.configuration.Receive(now, env, out)
	p.adopt()
}

func (p *configProcess) Reply(now time.Duration, reply system.Reply, out *system.Outbox) {
	p.configuration.Reply(now, reply, out)
	p.adopt()
}

func (p *configProcess) NextWake() time.Duration {
	wake, _ := p.configuration.NextWake()
	return min(wake, p.members.NextWake())
}

// adopt passes the revision in force to the membership.
func (p *configProcess) adopt() {
	revision := p.revision()
	p.reverted = p.reverted || revision < p.highest
	p.highest = max(p.highest, revision)
	p.members.SetRevision(revision)
}

func (p *configProcess) revision() uint64 {
	if current := p.configuration.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// configFleet is a fleet of hosts that run membership and configuration, with a fake
// platform.
type configFleet struct {
	*memberFleet
	fake  *standin.Fake
	store *resource.Store
	procs map[ident.Host]*configProcess
	// reads counts the platform calls. Hosts in cutOff get no replies.
	reads  int
	cutOff map[ident.Host]bool
	// onList, if set, is called after rows were listed.
	onList func()
}

func newConfigFleet(seed uint64, hosts, domains int) *configFleet {
	c := &configFleet{
		fake:   standin.NewFake(standin.Options{}),
		procs:  map[ident.Host]*configProcess{},
		cutOff: map[ident.Host]bool{},
	}
	c.store = resource.NewStore(c.fake)
	c.memberFleet = newFleetOf(seed, hosts, domains, func(i int, s *membership.System) process {
		p := &configProcess{members: s, configuration: configuration.New(configuration.Config{
			Self: hostName(i), Domain: domainName(i, domains), Seed: uint64(i), View: s,
		})}
		c.procs[hostName(i)] = p
		return p
	})
	c.platform = c.answer
	return c
}

// answer carries out a platform call on the fake platform.
func (c *configFleet) answer(host ident.Host, call system.Call) *system.Reply {
	c.reads++
	if c.cutOff[host] {
		return nil
	}
	reply := &system.Reply{Owner: call.Owner, Token: call.Token}
	ctx := context.Background()
	switch call.Kind {
	case system.CallGet:
		row, err := c.fake.Get(ctx, call.Key)
		reply.Rows, reply.Err = append(reply.Rows, row), err
	case system.CallList:
		reply.Rows, reply.Err = c.fake.List(ctx, call.Key, call.After, call.Limit)
		if c.onList != nil {
			c.onList()
		}
	default:
		panic("configuration doesn't write")
	}
	return reply
}

// apply applies a change with the given number of teams and returns its revision.
func (c *configFleet) apply(g *WithT, id string, teams int) uint64 {
	items := []resource.Item{{Kind: resource.KindTier, Name: "gold", Spec: resource.Tier{Name: "gold", Deadline: time.Minute}}}
	for i := range teams {
		name := fmt.Sprintf("team-%03d", i)
		items = append(items, resource.Item{Kind: resource.KindTeam, Name: name, Spec: resource.Team{
			Name: ident.Team(name), Tier: "gold", Weight: 1, MaxQueued: int(c.now) + i,
			KeySHA256: []string{fmt.Sprintf("%064x", i)},
		}})
	}
	applied, err := c.store.Apply(context.Background(), resource.Change{ID: id, Items: items})
	g.Expect(err).NotTo(HaveOccurred())
	return applied.Revision
}

// inForce returns a condition that reports whether the revision is in force at every
// running host.
func (c *configFleet) inForce(revision uint64) func() bool {
	return func() bool {
		for host, p := range c.procs {
			if c.hosts[host].process != nil && p.revision() != revision {
				return false
			}
		}
		return true
	}
}

// TestChangeIsInForceEverywhere bounds the propagation time of a change for small fleets.
// BenchmarkSpread measures it for up to 350 hosts.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, n := range []int{1, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			c := newConfigFleet(uint64(n), n, max(1, min(5, n/2)))
			first := c.apply(g, "first", 650)
			c.runUntil(g, 18*time.Second, "first configuration", c.inForce(first))
			second := c.apply(g, "second", 1)
			took := c.runUntil(g, 18*time.Second, "change", c.inForce(second))
			t.Logf("%d hosts: in force after %v", n, took)
		})
	}
}

func TestHostCutOffFromPlatformReceivesChanges(t *testing.T) {
	g := NewWithT(t)
	c := newConfigFleet(1, 8, 4)
	c.runUntil(g, 18*time.Second, "first configuration", c.inForce(c.apply(g, "first", 10)))
	for i := range 7 {
		c.cutOff[hostName(i)] = true
	}
	c.runUntil(g, 18*time.Second, "change", c.inForce(c.apply(g, "second", 10)))
	g.Expect(c.procs[hostName(0)].configuration.Status().Source).NotTo(Equal(configuration.SourcePlatform))
}

func TestNewHostDuringPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	c := newConfigFleet(1, 8, 4)
	first := c.apply(g, "first", 10)
	c.runUntil(g, 18*time.Second, "first configuration", c.inForce(first))
	c.fake.Set(standin.Switches{Down: true})
	// Cut off from all others, the new host gets no configuration and does not become
	// ready.
	c.cut = func(from, to ident.Host) bool { return from == hostName(3) || to == hostName(3) }
	c.start(3)
	c.run(c.now + 20*time.Second)
	g.Expect(c.procs[hostName(3)].configuration.Current()).To(BeNil())
	g.Expect(c.procs[hostName(3)].configuration.Status().LastError).To(HaveOccurred())
	// Once connected, it gets the configuration in force from its peers.
	c.heal()
	took := c.runUntil(g, 18*time.Second, "configuration", c.inForce(first))
	t.Logf("new host had the configuration %v after it could reach others", took)
}

func TestLowerOrInvalidStateIsRejected(t *testing.T) {
	g := NewWithT(t)
	c := newConfigFleet(1, 2, 1)
	c.apply(g, "first", 2)
	old := c.loadSnapshot(g)
	c.apply(g, "second", 3)
	c.runUntil(g, 18*time.Second, "configuration", c.inForce(2))
	p := c.procs[hostName(0)]
	whole, err := resource.EncodeSnapshot(old)
	g.Expect(err).NotTo(HaveOccurred())
	for _, state := range []*peerpb.ConfigState{
		{Revision: 1, Encoded: deflate(whole)},          // lower
		{Revision: 9, Encoded: deflate(whole)},          // revision mismatch
		{Revision: 9, Encoded: []byte("no deflate")},    // not encoded
		{Base: 1, Revision: 9, Encoded: deflate(whole)}, // not a delta
	} {
		var out system.Outbox
		env := &peerpb.Envelope{From: "entry-001", Incarnation: 1, Body: &peerpb.Envelope_ConfigState{ConfigState: state}}
		p.configuration.Receive(c.now, env, &out)
		g.Expect(p.configuration.Current().Revision).To(Equal(uint64(2)))
	}
	g.Expect(p.configuration.Status().Rejected).To(Equal(uint64(3)))
}

// TestChangeDuringReadTriggersAnotherRead applies a change between the listing of the
// rows and the confirmation of the revision.
func TestChangeDuringReadTriggersAnotherRead(t *testing.T) {
	g := NewWithT(t)
	c := newConfigFleet(1, 1, 1)
	c.apply(g, "first", 2)
	c.onList = func() {
		c.onList = nil
		c.apply(g, "second", 3)
	}
	c.runUntil(g, 18*time.Second, "change", c.inForce(2))
	g.Expect(c.procs[hostName(0)].configuration.Current()).To(Equal(c.loadSnapshot(g)))
}

// TestConfigurationNeverReverts draws faults, outages and changes. The revision in force
// at a host must never decrease, and soon after the last fault the last revision must be
// in force everywhere.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		c := newConfigFleet(rapid.Uint64().Draw(rt, "seed"), 6, rapid.IntRange(1, 3).Draw(rt, "domains"))
		last := c.apply(g, "first", 3)
		for step := range rapid.IntRange(1, 10).Draw(rt, "steps") {
			down := rapid.Bool().Draw(rt, "down")
			c.cutOff[hostName(rapid.IntRange(0, 5).Draw(rt, "cut off"))] = rapid.Bool().Draw(rt, "off")
			if rapid.Bool().Draw(rt, "change") {
				last = c.apply(g, fmt.Sprint("change-", step), rapid.IntRange(1, 5).Draw(rt, "teams"))
			}
			c.fake.Set(standin.Switches{Down: down})
			c.injectFault(rt)
			c.fake.Set(standin.Switches{})
		}
		c.heal()
		clear(c.cutOff)
		c.runUntil(g, 18*time.Second, "last change", c.inForce(last))
		for host, p := range c.procs {
			g.Expect(p.reverted).To(BeFalse(), string(host))
		}
	})
}

// loadSnapshot returns the resources stored by the platform.
func (c *configFleet) loadSnapshot(g *WithT) *resource.Snapshot {
	snapshot, err := c.store.Load(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	return snapshot
}

// deflate compresses bytes in the encoding of configuration states.
func deflate(data []byte) []byte {
	var buf bytes.Buffer
	w, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return buf.Bytes()
}

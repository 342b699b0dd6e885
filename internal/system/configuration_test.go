package system_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
	// highest is the highest revision that was ever in force; a lower one
	// after it is a fault.
	highest uint64
	fell    bool
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

// adopt passes the revision on to the membership.
func (p *configProcess) adopt() {
	revision := p.revision()
	p.fell = p.fell || revision < p.highest
	p.highest = max(p.highest, revision)
	p.members.SetRevision(revision)
}

func (p *configProcess) revision() uint64 {
	if current := p.configuration.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// configs is a fleet of membership and configuration with a platform.
type configs struct {
	*members
	fake  *standin.Fake
	store *resource.Store
	procs map[ident.Host]*configProcess
	// reads counts the calls; cutOff hosts get no replies.
	reads  int
	cutOff map[ident.Host]bool
}

func newConfigs(seed uint64, hosts, domains int) *configs {
	c := &configs{
		fake:   standin.NewFake(standin.Options{}),
		procs:  map[ident.Host]*configProcess{},
		cutOff: map[ident.Host]bool{},
	}
	c.store = resource.NewStore(c.fake)
	c.members = newFleetOf(seed, hosts, domains, func(i int, s *membership.System) process {
		p := &configProcess{members: s, configuration: configuration.New(configuration.Config{
			Self: hostName(i), Domain: domainName(i, domains), Seed: uint64(i), View: s,
		})}
		c.procs[hostName(i)] = p
		return p
	})
	c.platform = c.answer
	return c
}

// answer carries out a call on the fake platform.
func (c *configs) answer(host ident.Host, call system.Call) *system.Reply {
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
	default:
		panic("configuration doesn't write")
	}
	return reply
}

// apply accepts teams as a change and returns its revision.
func (c *configs) apply(g *WithT, id string, teams int) uint64 {
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

// inForce reports whether every running host has the revision.
func (c *configs) inForce(revision uint64) func() bool {
	return func() bool {
		for host, p := range c.procs {
			if c.machines[host].process != nil && p.revision() != revision {
				return false
			}
		}
		return true
	}
}

// TestChangeIsInForceEverywhere measures the spread of a change. The target is
// 18 s at 350 hosts.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, n := range []int{8, 40, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			domains := min(5, n/2)
			c := newConfigs(uint64(n), n, domains)
			first := c.apply(g, "first", 650)
			cold := c.until(g, 60*time.Second, "first configuration", c.inForce(first))
			c.run(c.now + 10*time.Second)
			messages, bytes := c.sent()
			reads := c.reads
			second := c.apply(g, "second", 1)
			warm := c.until(g, 18*time.Second, "change", c.inForce(second))
			c.run(c.now + 10*time.Second - warm)
			messagesAfter, bytesAfter := c.sent()
			t.Logf("hosts=%d cold=%v warm=%v over 10 s with one change: messages/s/host=%.1f bytes/s/host=%.0f reads/s=%.1f",
				n, cold, warm, float64(messagesAfter-messages)/10/float64(n),
				float64(bytesAfter-bytes)/10/float64(n), float64(c.reads-reads)/10)
		})
	}
}

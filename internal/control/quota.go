package control

import (
	"maps"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/bound"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// usagePeer is what this host knows of another one that gets its usage reports.
type usagePeer struct {
	incarnation uint64
	// takesPartial says that the host accepts partial reports.
	takesPartial bool
	// told says that the host has got a report of all teams, and heard that it has sent one.
	told, heard bool
}

// usagePeer returns the entry of a host's current process.
func (c *Core) usagePeer(host ident.Host) *usagePeer {
	m, _ := c.members.Member(host)
	p := c.usagePeers[host]
	if p == nil || p.incarnation != m.Incarnation {
		p = &usagePeer{incarnation: m.Incarnation}
		c.usagePeers[host] = p
	}
	return p
}

// reportUsage sends the teams' demand at this host to the hosts that schedule pools, and so charge
// requests, or that have charged some lately. Its messages grow with the number of pools and the
// requests, not with the number of hosts.
func (c *Core) reportUsage() {
	if !c.quotas.ReportDue(c.now) {
		return
	}
	members := c.members.Members()
	c.quotas.SetHosts(c.countHosts(members))
	for _, m := range members {
		if m.State == membership.Leaving {
			c.quotas.HostLeft(m.Host)
		}
	}
	schedulers := c.schedulingHosts()
	c.quotas.SetSchedulers(len(schedulers))
	report := c.quotas.Report(c.now)
	if len(report.All) == 0 && len(report.Changed) == 0 && !schedulers[c.cfg.Self] {
		return
	}
	for _, host := range c.quotas.Reporters(c.now) {
		if m, ok := c.members.Member(host); ok && m.State != membership.Dead {
			schedulers[host] = true
		}
	}
	all, changed := usageMessage(report.All, false), usageMessage(report.Changed, true)
	for _, host := range slices.Sorted(maps.Keys(schedulers)) {
		if host == c.cfg.Self {
			continue
		}
		switch p := c.usagePeer(host); {
		case report.Full || !p.told:
			p.told = true
			c.out.Send(host, all)
		case len(report.Changed) == 0:
		case p.takesPartial:
			c.out.Send(host, changed)
		default:
			c.out.Send(host, all)
		}
	}
}

// schedulingHosts returns the hosts that schedule a pool of any domain, for all targets that this
// host knows endpoints of.
func (c *Core) schedulingHosts() map[ident.Host]bool {
	hosts := map[ident.Host]bool{}
	if c.snapshot == nil {
		return hosts
	}
	for _, p := range c.scheduling.DeclaredPools() {
		for _, d := range c.members.Domains() {
			if host, ok := c.scheduler(ident.Pool{Target: p.Target, Domain: d}); ok {
				hosts[host] = true
			}
		}
	}
	return hosts
}

// countHosts counts the live hosts and those that are lost. Hosts of this domain are lost for
// quota.LostHostGrace after their death. Those of another domain are lost while no report comes from
// it: membership declares nobody dead there, and a domain that is cut off goes on serving.
func (c *Core) countHosts(members []membership.Member) (live, lost int) {
	heard := map[ident.Domain]bool{c.cfg.Domain: true}
	for _, host := range c.quotas.Reporters(c.now) {
		if m, ok := c.members.Member(host); ok {
			heard[m.Domain] = true
		}
	}
	for _, m := range members {
		if m.State != membership.Dead {
			if heard[m.Domain] {
				live++
			} else {
				lost++
			}
			continue
		}
		if at, ok := c.members.LostAt(m.Host); ok && c.now-at < quota.LostHostGrace {
			lost++
		}
	}
	return live, lost
}

// receiveUsage takes another host's report. A host that reports for the first time gets one of
// this host soon: it has just begun to charge requests.
func (c *Core) receiveUsage(from ident.Host, m *peerpb.Usage) {
	c.quotas.ReceiveReport(c.now, from, decodeUsage(m), m.GetPartial())
	p := c.usagePeer(from)
	p.takesPartial = m.GetTakesPartial()
	if !p.told && !p.heard {
		c.quotas.ReportSoon(c.now)
	}
	p.heard = true
}

// usageMessage encodes a report.
func usageMessage(uses []quota.Use, partial bool) *peerpb.Envelope {
	m := &peerpb.Usage{Partial: partial, TakesPartial: true}
	for _, u := range uses {
		m.Teams = append(m.Teams, &peerpb.TeamUse{Team: string(u.Team), Demand: u.Demand})
	}
	return peerpb.Wrap(&peerpb.Envelope_Usage{Usage: m})
}

// decodeUsage converts another host's usage message.
func decodeUsage(m *peerpb.Usage) []quota.Use {
	uses := make([]quota.Use, 0, len(m.GetTeams()))
	for _, t := range m.GetTeams() {
		uses = append(uses, quota.Use{Team: ident.Team(t.GetTeam()), Demand: bound.Amount(t.GetDemand())})
	}
	return uses
}

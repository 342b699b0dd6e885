package control

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// reportUsage sends the teams' demand at this host to the other hosts.
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
	uses := c.quotas.Report(c.now)
	if len(uses) == 0 {
		return
	}
	m := &peerpb.Usage{}
	for _, u := range uses {
		m.Teams = append(m.Teams, &peerpb.TeamUse{Team: string(u.Team), Demand: u.Demand, Share: u.Share})
	}
	for _, member := range members {
		if member.Host != c.cfg.Self && member.State != membership.Dead {
			c.out.Send(member.Host, peerpb.Wrap(&peerpb.Envelope_Usage{Usage: m}))
		}
	}
}

// countHosts counts the live hosts and those lost within quota.LostHostGrace.
func (c *Core) countHosts(members []membership.Member) (live, lost int) {
	for _, m := range members {
		if m.State != membership.Dead {
			live++
			continue
		}
		if at, ok := c.members.LostAt(m.Host); ok && c.now-at < quota.LostHostGrace {
			lost++
		}
	}
	return live, lost
}

// decodeUsage converts another host's usage message.
func decodeUsage(m *peerpb.Usage) []quota.Use {
	uses := make([]quota.Use, 0, len(m.GetTeams()))
	for _, t := range m.GetTeams() {
		uses = append(uses, quota.Use{Team: ident.Team(t.GetTeam()), Demand: t.GetDemand(), Share: t.GetShare()})
	}
	return uses
}

package control

import (
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// charge is what a request cost its team.
type charge struct {
	team ident.Team
	cost float64
}

// chargeQuota books a request against its team's rate. It returns false for one
// that was refused.
func (c *Core) chargeQuota(a custody.Arrival) bool {
	if a.Cost <= 0 {
		return true
	}
	after, ok := c.quotas.Charge(c.now, a.Team, a.Cost)
	if ok {
		c.charged[a.ID] = charge{a.Team, a.Cost}
		return true
	}
	c.effect.Directives = append(c.effect.Directives, custody.Directive{
		Kind: custody.Refuse, ID: a.ID,
		Verdict: &result.Error{
			Code: result.TeamLimit, RetryAfter: after, Reason: "the team is over its rate",
		},
	})
	return false
}

// settleCharge takes a charge back when its request was refused, and keeps it
// when it was dispatched.
func (c *Core) settleCharge(d custody.Directive) {
	x, ok := c.charged[d.ID]
	switch {
	case !ok:
	case d.Kind == custody.Refuse:
		c.quotas.Refund(x.team, x.cost)
		delete(c.charged, d.ID)
	case d.Kind == custody.Commit && d.Go:
		delete(c.charged, d.ID)
	}
}

// reportUsage tells the other hosts what the teams ask for here.
func (c *Core) reportUsage() {
	members := c.members.Members()
	c.quotas.Hosts(countHosts(members))
	uses, due := c.quotas.Report(c.now)
	if !due {
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

// countHosts counts the hosts that may serve callers.
func countHosts(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if m.State != membership.Dead {
			n++
		}
	}
	return n
}

// usesOf returns what another host tells.
func usesOf(m *peerpb.Usage) []quota.Use {
	uses := make([]quota.Use, 0, len(m.GetTeams()))
	for _, t := range m.GetTeams() {
		uses = append(uses, quota.Use{Team: ident.Team(t.GetTeam()), Demand: t.GetDemand(), Share: t.GetShare()})
	}
	return uses
}

package scheduling

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/bound"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// charge is the cost of a request that was charged to its team's rate.
type charge struct {
	team ident.Team
	cost float64
}

// charge charges a submission to its team's rate, once per request. It returns a refusal
// if the rate is exhausted.
func (s *System) charge(now time.Duration, in *instance, m *peerpb.Submit) *peerpb.Refuse {
	id, team := ident.Request(m.GetRequest()), ident.Team(m.GetTeam())
	cost := bound.Amount(m.GetCost())
	if _, known := in.charged[id]; known || cost <= 0 || s.cfg.Quotas == nil {
		return nil
	}
	after, ok := s.cfg.Quotas.Charge(now, team, cost)
	if ok {
		in.charged[id] = charge{team, cost}
		return nil
	}
	return &peerpb.Refuse{
		Request: m.GetRequest(), Target: m.GetTarget(), Domain: m.GetDomain(),
		Code: int32(result.TeamLimit), RetryAfterUs: after.Microseconds(),
		Reason: "the team is over its rate",
	}
}

// refund returns the charge of a request that is not dispatched to its team.
func (s *System) refund(in *instance, id ident.Request) {
	if x, ok := in.charged[id]; ok {
		s.cfg.Quotas.Refund(x.team, x.cost)
		delete(in.charged, id)
	}
}

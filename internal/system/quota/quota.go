// Package quota keeps the teams' rates over all hosts together. Requests are
// charged where their pool is scheduled. Each host has a share of every team's rate,
// which follows what the team asks for in the pools of that host against what it
// asks for in those of the others, and a token bucket filled at that share. The hosts
// tell each other their demand.
//
// Invariant: the shares of a team's rate sum up to 1, but for what changes while
// reports are under way. In a cut each side divides as large a part as it has of the
// hosts: what it can't hear may go on with the rest.
//
// The package is pure: it is told the time and what happened.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// ReportInterval is the time between two reports to the other hosts.
	ReportInterval = 500 * time.Millisecond
	// startInterval is the time between reports in the startTime after the first
	// limits came, or a pool: until the hosts know each other's demand, each holds
	// little.
	startInterval = 100 * time.Millisecond
	startTime     = 2 * time.Second
	// assumedHosts is how many hosts a rate is divided by before any is known.
	assumedHosts = 8
	// reportLife is how long a report stands: until membership has found out whether
	// its host lives.
	reportLife = 6 * ReportInterval
	// LostHostGrace is how long the part of a host that was lost is left to it: it may
	// be cut off and serve callers.
	LostHostGrace = 15 * time.Second
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
	// evenPart is the part of the rate that is dealt out evenly among the hosts where
	// the team asks for anything: the small requests of one pool shouldn't have to
	// share the fate of the large ones of another.
	evenPart = 0.08
	// firstFill is the part of its burst that a bucket starts with: an earlier
	// process of the host may have spent the rest.
	firstFill = 0.25
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is a team's rate over all hosts, in units a second, and its burst. A Rate
// of 0 is no limit. Debt is how far all hosts together may go beyond, to be made up
// for later: a host where the team has not asked for anything holds nothing of its
// rate until the next report.
type Limit struct {
	Rate, Burst, Debt float64
}

// SpreadBurst returns a limit that allows no more in any window than the rate and one burst, as
// this one does, but deals half of the burst out over the window: a team that is
// steadily above its rate gets that, too.
func (l Limit) SpreadBurst(window time.Duration) Limit {
	if window <= 0 {
		return l
	}
	dealt := l.Burst / 2
	l.Burst -= dealt
	l.Rate += dealt / window.Seconds()
	return l
}

// Use is what a host tells of one team.
type Use struct {
	Team ident.Team
	// Demand is what is asked for, in units a second.
	Demand float64
	// Share is the part of the rate that the host holds, for operators.
	Share float64
}

// System is the quotas of one host.
type System struct {
	limits map[ident.Team]Limit
	teams  map[ident.Team]*team
	others map[ident.Host]other
	// hosts is how many hosts live as far as is known, this one included, and lost
	// how many may be cut off.
	hosts, lost int
	reportAt    time.Duration
	// startedAt is when the first limits came, or the last pool.
	startedAt time.Duration
	started   bool
}

// team is this host's part of a team's rate.
type team struct {
	// demand is an average in units a second as of at.
	demand float64
	share  float64
	bucket float64
	at     time.Duration
}

// other is what another host last told.
type other struct {
	at   time.Duration
	uses map[ident.Team]Use
}

// New returns quotas without limits.
func New() *System {
	return &System{
		limits: map[ident.Team]Limit{}, teams: map[ident.Team]*team{}, others: map[ident.Host]other{},
		hosts: 1,
	}
}

// Configure sets the limits of all teams.
func (s *System) Configure(now time.Duration, limits map[ident.Team]Limit) {
	s.limits = limits
	if !s.started {
		s.started, s.startedAt = true, now
	}
	for name := range s.teams {
		if _, ok := limits[name]; !ok {
			delete(s.teams, name)
		}
	}
	for name := range limits {
		if s.teams[name] == nil {
			t := &team{at: now, share: 1 / float64(max(s.hosts, assumedHosts))}
			t.bucket = firstFill * t.share * limits[name].Burst
			s.teams[name] = t
		}
	}
}

// SetHosts tells how many hosts live, this one included, and how many were lost lately
// and may be cut off.
func (s *System) SetHosts(live, lost int) {
	s.hosts, s.lost = max(1, live), lost
}

// Charge books a request of a team. It returns false, and when to come back, for
// one beyond the team's rate.
func (s *System) Charge(now time.Duration, name ident.Team, units float64) (time.Duration, bool) {
	limit := s.limits[name]
	t := s.teams[name]
	if t == nil || limit.Rate <= 0 {
		return 0, true
	}
	s.advance(now, t, limit)
	t.demand += units / demandTime.Seconds()
	if t.bucket-units < -s.debt(limit) && t.bucket < t.share*limit.Burst {
		return retryAfter(units-t.bucket, t.share*limit.Rate), false
	}
	t.bucket -= units
	return 0, true
}

// debt is this host's part of a team's debt.
func (s *System) debt(limit Limit) float64 {
	return limit.Debt / float64(max(s.hosts, assumedHosts))
}

// Refund takes back the charge of a request that was not dispatched.
func (s *System) Refund(name ident.Team, units float64) {
	if t := s.teams[name]; t != nil {
		t.bucket = min(t.bucket+units, t.share*s.limits[name].Burst)
	}
}

// retryAfter is when a bucket that lacks some units has them.
func retryAfter(lacking, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(lacking / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// advance fills the bucket and lets the demand fade up to now.
func (s *System) advance(now time.Duration, t *team, limit Limit) {
	passed := (now - t.at).Seconds()
	if passed <= 0 {
		return
	}
	t.at = now
	t.demand *= math.Exp(-passed / demandTime.Seconds())
	t.bucket = min(t.bucket+passed*t.share*limit.Rate, t.share*limit.Burst)
}

// ReceiveReport takes another host's report.
func (s *System) ReceiveReport(now time.Duration, from ident.Host, uses []Use) {
	o := other{at: now, uses: make(map[ident.Team]Use, len(uses))}
	for _, u := range uses {
		o.uses[u.Team] = u
	}
	s.others[from] = o
}

// TakeOver says that requests are charged here from now on that another host charged
// before: the rates are soon to be divided anew.
func (s *System) TakeOver(now time.Duration) {
	s.startedAt, s.reportAt = now, min(s.reportAt, now)
}

// HostLeft forgets a host that has announced its end: its pools are scheduled elsewhere.
func (s *System) HostLeft(h ident.Host) {
	delete(s.others, h)
}

// ReportDue reports whether a report is due.
func (s *System) ReportDue(now time.Duration) bool {
	return now >= s.reportAt && len(s.teams) > 0
}

// Report divides the rates anew and returns this host's use. It is empty, and
// needn't be sent, where no team asks for anything.
func (s *System) Report(now time.Duration) []Use {
	s.reportAt = now + ReportInterval
	if now-s.startedAt < startTime {
		s.reportAt = now + startInterval
	}
	for host, o := range s.others {
		if now-o.at >= reportLife {
			delete(s.others, host)
		}
	}
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		s.advance(now, t, s.limits[name])
		t.share = s.shareOf(name, t)
		if t.demand >= leastDemand {
			uses = append(uses, Use{Team: name, Demand: t.demand, Share: t.share})
		}
	}
	return uses
}

// shareOf divides the part of the rate that belongs to the hosts that live: a little
// of it evenly among those where the team asks for anything, the rest by demand.
func (s *System) shareOf(name ident.Team, t *team) float64 {
	demand, asked := t.demand, 0
	if t.demand >= leastDemand {
		asked++
	}
	for _, o := range s.others {
		u := o.uses[name]
		demand += u.Demand
		if u.Demand >= leastDemand {
			asked++
		}
	}
	part := float64(s.hosts) / float64(s.hosts+s.lost)
	switch {
	case asked == 0:
		return part / float64(max(s.hosts, assumedHosts))
	case t.demand < leastDemand:
		return part * (1 - evenPart) * t.demand / demand
	}
	return part * (evenPart/float64(asked) + (1-evenPart)*t.demand/demand)
}

// leastDemand is the demand, in units a second, below which nothing is asked for:
// what has faded that far is over.
const leastDemand = 1

// NextWake returns when Report is due.
func (s *System) NextWake() (time.Duration, bool) {
	return s.reportAt, len(s.teams) > 0
}

// Shares returns the share of each team's rate that this host holds.
func (s *System) Shares() map[ident.Team]float64 {
	out := make(map[ident.Team]float64, len(s.teams))
	for name, t := range s.teams {
		out[name] = t.share
	}
	return out
}

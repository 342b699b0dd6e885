// Package quota enforces the teams' rate limits across all hosts. A request is
// charged at the host that schedules its pool. Each host holds a share of every
// team's rate, proportional to the team's demand in the pools of that host, and a
// token bucket that fills at that share. The hosts report their demand to each other.
//
// Invariant: the shares of a team's rate sum up to 1, except for changes while
// reports are in flight. In a network partition each side divides the part of the
// rate that corresponds to its part of the hosts, because the other side may still be
// using the rest.
//
// The package performs no I/O: it is passed the time and the events.
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
	// startupReportInterval is the time between reports during startupPeriod, which
	// begins when the first limits arrive or a pool is taken over. Until the hosts
	// know each other's demand, each holds only a small share.
	startupReportInterval = 100 * time.Millisecond
	startupPeriod         = 2 * time.Second
	// assumedHosts is the minimum number of hosts that a rate is divided by while
	// their demand is unknown.
	assumedHosts = 8
	// reportTTL is how long a report is valid: long enough for membership to detect
	// whether its host is dead.
	reportTTL = 6 * ReportInterval
	// LostHostGrace is how long the share of a lost host stays reserved, because the
	// host may be partitioned and still serving callers.
	LostHostGrace = 15 * time.Second
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 2 * time.Second
	// evenFraction is the fraction of the rate that is divided evenly among the hosts
	// with demand of the team, so that small requests in one pool aren't starved by
	// large ones in another.
	evenFraction = 0.08
	// initialFill is the fraction of its burst that a bucket starts with. An earlier
	// process of the host may have spent the rest.
	initialFill = 0.25
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is a team's rate over all hosts, in units per second, and its burst. A Rate of
// 0 means no limit. Debt is how far the buckets of all hosts together may fall below
// zero, to be paid back later. It is needed because a host without demand of the team
// holds no share of the rate until the next report.
type Limit struct {
	Rate, Burst, Debt float64
}

// SpreadBurst returns a limit that, like l, allows at most the rate and one burst in any
// window, but spreads half of the burst over the window, so that a team that is
// constantly above its rate can use that half too.
func (l Limit) SpreadBurst(window time.Duration) Limit {
	if window <= 0 {
		return l
	}
	dealt := l.Burst / 2
	l.Burst -= dealt
	l.Rate += dealt / window.Seconds()
	return l
}

// Use is a host's report about one team.
type Use struct {
	Team ident.Team
	// Demand is the requested rate, in units per second.
	Demand float64
	// Share is the fraction of the rate that the host holds, shown to operators.
	Share float64
}

// System holds one host's quotas.
type System struct {
	limits  map[ident.Team]Limit
	teams   map[ident.Team]*team
	reports map[ident.Host]hostReport
	// hosts is the number of hosts known to be alive, including this one, and lost
	// the number of those that may be partitioned.
	hosts, lost int
	reportAt    time.Duration
	// startedAt is when the first limits arrived or a pool was last taken over.
	startedAt time.Duration
	started   bool
}

// team is this host's account of a team.
type team struct {
	// demand is an average in units per second, as of at.
	demand float64
	share  float64
	bucket float64
	at     time.Duration
}

// hostReport is the last report of another host.
type hostReport struct {
	at   time.Duration
	uses map[ident.Team]Use
}

// New returns a System without limits.
func New() *System {
	return &System{
		limits: map[ident.Team]Limit{}, teams: map[ident.Team]*team{}, reports: map[ident.Host]hostReport{},
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
			t.bucket = initialFill * t.share * limits[name].Burst
			s.teams[name] = t
		}
	}
}

// SetHosts sets the number of live hosts, including this one, and the number of hosts that
// were lost recently and may be partitioned.
func (s *System) SetHosts(live, lost int) {
	s.hosts, s.lost = max(1, live), lost
}

// Charge charges a request to a team. It returns false and when to retry if the request
// exceeds the team's rate.
func (s *System) Charge(now time.Duration, name ident.Team, units float64) (time.Duration, bool) {
	limit := s.limits[name]
	t := s.teams[name]
	if t == nil || limit.Rate <= 0 {
		return 0, true
	}
	s.advance(now, t, limit)
	t.demand += units / demandWindow.Seconds()
	if t.bucket-units < -s.hostDebt(limit) && t.bucket < t.share*limit.Burst {
		return retryAfter(units-t.bucket, t.share*limit.Rate), false
	}
	t.bucket -= units
	return 0, true
}

// hostDebt returns the debt that a team may have at this host.
func (s *System) hostDebt(limit Limit) float64 {
	return limit.Debt / float64(max(s.hosts, assumedHosts))
}

// Refund reverses the charge of a request that was not dispatched.
func (s *System) Refund(name ident.Team, units float64) {
	if t := s.teams[name]; t != nil {
		t.bucket = min(t.bucket+units, t.share*s.limits[name].Burst)
	}
}

// retryAfter returns the time until a bucket that fills at rate has the lacking units.
func retryAfter(lacking, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(lacking / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// advance fills the bucket and decays the demand up to now.
func (s *System) advance(now time.Duration, t *team, limit Limit) {
	passed := (now - t.at).Seconds()
	if passed <= 0 {
		return
	}
	t.at = now
	t.demand *= math.Exp(-passed / demandWindow.Seconds())
	t.bucket = min(t.bucket+passed*t.share*limit.Rate, t.share*limit.Burst)
}

// ReceiveReport stores another host's report.
func (s *System) ReceiveReport(now time.Duration, from ident.Host, uses []Use) {
	o := hostReport{at: now, uses: make(map[ident.Team]Use, len(uses))}
	for _, u := range uses {
		o.uses[u.Team] = u
	}
	s.reports[from] = o
}

// TakeOver tells that requests charged by another host are charged here from now on, so
// the rates have to be divided again soon.
func (s *System) TakeOver(now time.Duration) {
	s.startedAt, s.reportAt = now, min(s.reportAt, now)
}

// HostLeft removes a host that has announced its departure: its pools are scheduled
// elsewhere.
func (s *System) HostLeft(h ident.Host) {
	delete(s.reports, h)
}

// ReportDue reports whether a report is due.
func (s *System) ReportDue(now time.Duration) bool {
	return now >= s.reportAt && len(s.teams) > 0
}

// Report divides the rates again and returns this host's report. The report is empty,
// and need not be sent, if no team has demand here.
func (s *System) Report(now time.Duration) []Use {
	s.reportAt = now + ReportInterval
	if now-s.startedAt < startupPeriod {
		s.reportAt = now + startupReportInterval
	}
	for host, o := range s.reports {
		if now-o.at >= reportTTL {
			delete(s.reports, host)
		}
	}
	var uses []Use
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		s.advance(now, t, s.limits[name])
		t.share = s.computeShare(name, t)
		if t.demand >= minDemand {
			uses = append(uses, Use{Team: name, Demand: t.demand, Share: t.share})
		}
	}
	return uses
}

// computeShare returns this host's share of a team's rate. The part of the rate that
// belongs to the live hosts is divided by demand, except for evenFraction, which is
// divided evenly among the hosts with demand.
func (s *System) computeShare(name ident.Team, t *team) float64 {
	demand, asked := t.demand, 0
	if t.demand >= minDemand {
		asked++
	}
	for _, o := range s.reports {
		u := o.uses[name]
		demand += u.Demand
		if u.Demand >= minDemand {
			asked++
		}
	}
	livePart := float64(s.hosts) / float64(s.hosts+s.lost)
	switch {
	case asked == 0:
		return livePart / float64(max(s.hosts, assumedHosts))
	case t.demand < minDemand:
		return livePart * (1 - evenFraction) * t.demand / demand
	}
	return livePart * (evenFraction/float64(asked) + (1-evenFraction)*t.demand/demand)
}

// minDemand is the demand, in units per second, below which a team counts as idle.
const minDemand = 1

// NextWake returns when Report is due.
func (s *System) NextWake() (time.Duration, bool) {
	return s.reportAt, len(s.teams) > 0
}

// Shares returns this host's share of each team's rate.
func (s *System) Shares() map[ident.Team]float64 {
	out := make(map[ident.Team]float64, len(s.teams))
	for name, t := range s.teams {
		out[name] = t.share
	}
	return out
}

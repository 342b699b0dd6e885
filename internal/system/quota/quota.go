// Package quota enforces the teams' rate limits across all hosts. A request is
// charged at the host that schedules its pool. Each host holds a share of every
// team's rate, proportional to the team's demand in the pools of that host, and a
// token bucket that fills at that share. The hosts that schedule pools report their demand to
// each other; no others charge requests. Most reports hold only the teams whose demand has
// changed, so that their size follows the requests and not the number of teams.
//
// Invariant: the shares of a team's rate sum up to 1, except for changes while
// reports are in flight. In a network partition each side divides the part of the
// rate that corresponds to its part of the hosts, because the other side may still be
// using the rest.
//
// The package performs no I/O: it is passed the time and the events.
package quota

import (
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
	// A demand is reported early if it has grown, over what was last told, by this fraction of it
	// plus this fraction of an even part of the rate. So what the others don't know yet is at
	// most this fraction of all demand and of the rate, even if all hosts are asked for more at
	// once. The lower one applies, also to a demand that falls, if the hosts are asked for more
	// than fullUse of the rate, and while they don't know each other's demand. Below fullUse each
	// host's share is well above its demand.
	changeFraction     = 0.25
	fullChangeFraction = 0.05
	fullUse            = 0.4
	// idleFraction is the demand, as a fraction of the rate, below which a team counts as idle.
	idleFraction = 0.001
	// fullReportInterval is the time between two reports of all teams. Two fit into reportTTL,
	// so that one may be lost.
	fullReportInterval = 3 * ReportInterval
	// activationDelay is the time from the first request of a team to the report that tells the
	// other hosts. Reports are not more frequent than this.
	activationDelay = 30 * time.Millisecond
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
}

// Report is what a host reports to the others at one time.
type Report struct {
	// All holds the teams with demand, and Changed those whose demand has changed much since it
	// was last reported.
	All, Changed []Use
	// Full says that all hosts get All. Otherwise those that have got it once get Changed.
	Full bool
}

// System holds one host's quotas.
type System struct {
	limits map[ident.Team]Limit
	teams  map[ident.Team]*team
	// names holds the names of the teams with a limit, in order.
	names   []ident.Team
	reports map[ident.Host]hostReport
	// others holds the sums over reports.
	others map[ident.Team]otherUse
	// hosts is the number of hosts known to be alive, including this one, and lost
	// the number of those that may be partitioned.
	hosts, lost int
	// schedulers is the number of hosts that schedule pools; 0 if unknown.
	schedulers int
	reportAt   time.Duration
	// reportedAt is the time of the last report, fullAt that of the next one of all teams.
	reportedAt, fullAt time.Duration
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
	// charged says that a request has been charged.
	charged bool
	// told is the demand in the last report to all hosts.
	told float64
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
		others: map[ident.Team]otherUse{}, hosts: 1,
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
			t := &team{at: now, share: 1 / s.divisor()}
			t.bucket = initialFill * t.share * limits[name].Burst
			s.teams[name] = t
		}
	}
	s.names = s.names[:0]
	for name, limit := range limits {
		if limit.Rate > 0 {
			s.names = append(s.names, name)
		}
	}
	slices.Sort(s.names)
}

// SetHosts sets the number of live hosts, including this one, and the number of hosts that
// were lost recently and may be partitioned.
func (s *System) SetHosts(live, lost int) {
	s.hosts, s.lost = max(1, live), lost
}

// SetSchedulers sets the number of hosts that schedule pools, and so may charge requests.
func (s *System) SetSchedulers(n int) {
	s.schedulers = n
}

// divisor returns the number of hosts that a rate or a debt is divided by without regard to
// their demand.
func (s *System) divisor() float64 {
	n := s.hosts
	if s.schedulers > 0 {
		n = min(n, s.schedulers)
	}
	return float64(max(n, assumedHosts))
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
	// A host that was asked for nothing for some seconds has nearly no share, and after a start
	// of all hosts less than most requests need, so it takes one request as with a full bucket.
	idle := t.demand < limit.idleDemand()
	if idle && t.demand+units/demandWindow.Seconds() >= limit.idleDemand() {
		defer s.activate(now, name, t)
	}
	t.demand += units / demandWindow.Seconds()
	if !(idle && t.bucket >= 0) && t.bucket-units < -s.hostDebt(limit) && t.bucket < t.share*limit.Burst {
		return retryAfter(units-t.bucket, t.share*limit.Rate), false
	}
	t.bucket -= units
	t.charged = true
	return 0, true
}

// activate gives a team its share at its first request. The other hosts, whose shares have to
// shrink, are told soon.
func (s *System) activate(now time.Duration, name ident.Team, t *team) {
	t.share = s.computeShare(now, name, t)
	if s.inFullUse(name, t) {
		s.ReportSoon(now)
	}
}

// inFullUse reports whether a team asks all hosts for so much that their shares matter.
func (s *System) inFullUse(name ident.Team, t *team) bool {
	return t.demand+s.others[name].demand > fullUse*s.limits[name].Rate
}

// idleDemand returns the demand below which a team counts as idle.
func (l Limit) idleDemand() float64 {
	return max(minDemand, idleFraction*l.Rate)
}

// hostDebt returns the debt that a team may have at this host.
func (s *System) hostDebt(limit Limit) float64 {
	return limit.Debt / s.divisor()
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

// ReceiveReport stores another host's report and divides the rates again that it concerns. A
// partial one says nothing about the teams that it doesn't list.
func (s *System) ReceiveReport(now time.Duration, from ident.Host, uses []Use, partial bool) {
	o, known := s.reports[from]
	o.at = now
	if !known || !partial {
		for _, u := range o.uses {
			s.addOther(u, -1)
		}
		o.uses = make(map[ident.Team]Use, len(uses))
	}
	for _, u := range uses {
		if old, ok := o.uses[u.Team]; ok {
			s.addOther(old, -1)
		}
		s.addOther(u, 1)
		o.uses[u.Team] = u
	}
	s.reports[from] = o
	for _, u := range uses {
		if t := s.teams[u.Team]; t != nil && t.charged {
			s.advance(now, t, s.limits[u.Team])
			t.share = s.computeShare(now, u.Team, t)
		}
	}
}

// otherUse is the sum of the other hosts' demand of a team, and the number of those with demand.
type otherUse struct {
	demand float64
	asked  int
}

// addOther adds another host's demand to the sums, or removes it.
func (s *System) addOther(u Use, sign int) {
	sum := s.others[u.Team]
	sum.demand += float64(sign) * u.Demand
	if u.Demand >= s.limits[u.Team].idleDemand() {
		sum.asked += sign
	}
	s.others[u.Team] = sum
}

// sumOthers removes the reports that are no longer valid and sums up the others. It also removes
// the rounding errors of addOther.
func (s *System) sumOthers(now time.Duration) {
	clear(s.others)
	for host, o := range s.reports {
		if now-o.at >= reportTTL {
			delete(s.reports, host)
			continue
		}
		for _, u := range o.uses {
			s.addOther(u, 1)
		}
	}
}

// Reporters returns the hosts whose last report is valid, in order.
func (s *System) Reporters(now time.Duration) []ident.Host {
	var list []ident.Host
	for host, o := range s.reports {
		if now-o.at < reportTTL {
			list = append(list, host)
		}
	}
	slices.Sort(list)
	return list
}

// ReportSoon makes a report due within activationDelay.
func (s *System) ReportSoon(now time.Duration) {
	s.reportAt = min(s.reportAt, max(now, s.reportedAt)+activationDelay)
}

// TakeOver tells that requests charged by another host are charged here from now on, so
// the rates have to be divided again soon.
func (s *System) TakeOver(now time.Duration) {
	s.startedAt, s.reportAt = now, min(s.reportAt, now)
}

// HostLeft removes a host that has announced its departure: its pools are scheduled
// elsewhere.
func (s *System) HostLeft(h ident.Host) {
	for _, u := range s.reports[h].uses {
		s.addOther(u, -1)
	}
	delete(s.reports, h)
}

// ReportDue reports whether a report is due.
func (s *System) ReportDue(now time.Duration) bool {
	return now >= s.reportAt && len(s.teams) > 0
}

// Report divides the rates again and returns this host's report.
func (s *System) Report(now time.Duration) Report {
	starting := s.starting(now)
	s.reportAt, s.reportedAt = now+ReportInterval, now
	if starting {
		s.reportAt = now + startupReportInterval
	}
	s.sumOthers(now)
	r := Report{Full: now >= s.fullAt}
	if r.Full {
		s.fullAt = now + fullReportInterval
	}
	for _, name := range s.names {
		t, limit := s.teams[name], s.limits[name]
		s.advance(now, t, limit)
		t.share = s.computeShare(now, name, t)
		if !t.charged {
			t.bucket = min(t.bucket, initialFill*t.share*limit.Burst)
		}
		use := Use{Team: name, Demand: t.demand}
		if t.demand < limit.idleDemand() {
			use.Demand = 0
		} else {
			r.All = append(r.All, use)
		}
		if r.Full {
			t.told = use.Demand
		} else if s.changed(name, t, use.Demand, starting) {
			r.Changed = append(r.Changed, use)
			t.told = use.Demand
		}
	}
	return r
}

// changed reports whether a team's demand differs enough from what was told.
func (s *System) changed(name ident.Team, t *team, demand float64, starting bool) bool {
	fraction := changeFraction
	tight := starting || s.inFullUse(name, t)
	if tight {
		fraction = fullChangeFraction
	}
	slack := fraction * (t.told + s.limits[name].Rate/s.divisor())
	return demand-t.told > slack || tight && t.told-demand > slack
}

// computeShare returns this host's share of a team's rate. The part of the rate that
// belongs to the live hosts is divided by demand, except for evenFraction, which is
// divided evenly among the hosts with demand.
func (s *System) computeShare(now time.Duration, name ident.Team, t *team) float64 {
	idle := s.limits[name].idleDemand()
	demand, asked := t.demand+s.others[name].demand, s.others[name].asked
	if t.demand >= idle {
		asked++
	}
	if unheard := s.schedulers - 1 - len(s.reports); unheard > 0 && s.starting(now) {
		// Hosts that have started at the same time are asked for as much.
		demand += float64(unheard) * t.demand
		asked += unheard
	}
	livePart := float64(s.hosts) / float64(s.hosts+s.lost)
	switch {
	case asked == 0 || demand <= 0:
		return livePart / s.divisor()
	case t.demand < idle:
		return livePart * (1 - evenFraction) * t.demand / demand
	}
	return livePart * (evenFraction/float64(asked) + (1-evenFraction)*t.demand/demand)
}

// starting reports whether the hosts may not know each other's demand yet.
func (s *System) starting(now time.Duration) bool {
	return now-s.startedAt < startupPeriod
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

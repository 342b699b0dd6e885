// Package domains decides what it costs to serve a request outside the failure domain of its
// custodian, so that a placement leaves the domain only if its caller gains more than that.
//
// The load that it responds to: domains whose demand rises and falls out of phase, so that one has
// too few endpoints of its own for some seconds while others have free ones.
package domains

import (
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// Prices are what the operators declare about the traffic between failure domains.
type Prices struct {
	// Delay is the one-way delay between two domains.
	Delay time.Duration
	// ByteCost is the time of an endpoint's slot that a mebibyte between domains is worth.
	ByteCost time.Duration
}

// Enabled reports whether prices are declared. Otherwise every placement outside the domain costs
// rules.CrossDomainPenalty.
func (p Prices) Enabled() bool {
	return p.ByteCost > 0
}

const (
	mebibyte = 1 << 20
	// demandTime is the time constant of the averaged demand. Demand that swings within some
	// seconds is followed, single requests are not.
	demandTime = time.Second
	// lendBelow is the part of a domain's slots that its own callers need from which on it charges
	// for lending the others, and lendNone the part from which on it charges as much as for a
	// placement without prices. At lendNone the slots that are lent would make its own requests wait.
	lendBelow = 0.6
	lendNone  = 0.95
	// partitionRisk is the time that a placement outside the domain costs for the risk that the
	// domains lose contact: a second of lost work in a partition, once in a hundred requests.
	partitionRisk = 10 * time.Millisecond
)

// Ledger holds the demand and the slots of the domains of a pool. The zero value is ready to use.
type Ledger struct {
	prices Prices
	rows   map[ident.Domain]*row
	// firstArrival is the time of the first arrival; 0 before it.
	firstArrival time.Duration
}

// row is what is known of a domain.
type row struct {
	// demand is the slot time per time that its callers ask for, as of at.
	demand float64
	at     time.Duration
	slots  int
}

// NewLedger returns a ledger with the given prices.
func NewLedger(p Prices) Ledger {
	return Ledger{prices: p, rows: map[ident.Domain]*row{}}
}

// Enabled reports whether prices are declared.
func (l *Ledger) Enabled() bool {
	return l.prices.Enabled()
}

func (l *Ledger) row(d ident.Domain) *row {
	r := l.rows[d]
	if r == nil {
		r = &row{}
		l.rows[d] = r
	}
	return r
}

// Arrive records a request of a domain's caller by its expected slot time.
func (l *Ledger) Arrive(now time.Duration, d ident.Domain, cost time.Duration) {
	if l.firstArrival == 0 {
		l.firstArrival = max(1, now)
	}
	r := l.row(d)
	r.demand = r.demandAt(now) + cost.Seconds()/demandTime.Seconds()
	r.at = now
}

// demandAt returns the demand at a time.
func (r *row) demandAt(now time.Duration) float64 {
	return r.demand * math.Exp(-float64(now-r.at)/float64(demandTime))
}

// ClearSlots and AddSlots set the slots of the domains' available endpoints.
func (l *Ledger) ClearSlots() {
	for _, r := range l.rows {
		r.slots = 0
	}
}

// AddSlots adds the slots of an available endpoint.
func (l *Ledger) AddSlots(d ident.Domain, n int) {
	l.row(d).slots += n
}

// Cost returns what it costs to serve a request of one domain in another, with the given number of
// bytes between them. Until the demand of demandTime is known, after a start or a change of the
// scheduler, it is the cost without prices.
func (l *Ledger) Cost(now time.Duration, to ident.Domain, bytes int) time.Duration {
	if l.firstArrival == 0 || now-l.firstArrival < demandTime {
		return rules.CrossDomainPenalty
	}
	carried := time.Duration(float64(bytes) / mebibyte * float64(l.prices.ByteCost))
	return min(2*l.prices.Delay+carried+partitionRisk+l.lending(now, to), rules.CrossDomainPenalty)
}

// lending returns what lending a slot takes from the domain's own callers. It follows their demand,
// whoever holds the slots: a domain whose demand rises charges more before its slots are full, and
// two domains that are both full charge each other as much as without prices.
func (l *Ledger) lending(now time.Duration, d ident.Domain) time.Duration {
	r := l.row(d)
	if r.slots <= 0 {
		return rules.CrossDomainPenalty
	}
	need := r.demandAt(now) / float64(r.slots)
	part := (need - lendBelow) / (lendNone - lendBelow)
	return time.Duration(min(max(part, 0), 1) * float64(rules.CrossDomainPenalty))
}

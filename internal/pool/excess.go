package pool

import (
	"math"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
)

// This file keeps capacity, where Config.ProtectShares is set, for teams within their share. Tiers are strict, so a team that sends
// several times its usual rate in a high tier would take the slots of everybody in the lower
// ones. While the pool is full, what a team sends beyond its share stands behind what all teams
// send within theirs. Slots that these leave are lent to it, one request at a time.

// measureShare counts an arriving request, and finds out whether it is beyond its team's share.
// It also records the arrival, by the place among the tiers where the request will stand.
func (s *Scheduler) measureShare(r *request) {
	rank := r.Rank
	if s.config.ProtectShares && r.FirstDue > 0 {
		capacity := max(s.meter.Capacity(s.totalSlots), 1)
		level := s.teamShares.Arrive(s.now, r.Team, s.teams.get(r.Team).weight(), r.cost, capacity)
		if s.lastSlots() {
			r.excess = level
			rank = r.priority()
		}
		if r.excess == share.FarBeyond {
			s.lendingUntil = s.now + rules.LendingTime
		}
	}
	if !r.before.Known() {
		s.meter.RecordArrival(rank, r.cost)
	}
}

// lastSlots reports whether no more slots are free than are kept for teams within their share.
func (s *Scheduler) lastSlots() bool {
	kept := min(rules.ShareReserveSpread*math.Sqrt(float64(s.totalSlots)), rules.SpareSlotFraction*float64(s.totalSlots))
	return float64(s.totalFreeSlots) <= kept
}

// shareReserve keeps the last free slots of the pool for teams within their share, while another
// is beyond its own: lent slots come back only when a request ends, and ordinary bursts are as
// short as that.
type shareReserve struct{}

func (shareReserve) reserve(s *Scheduler, r *request) string {
	if s.now < s.lendingUntil && r.priority() >= int(share.FarBeyond)*rules.ExcessPriorityOffset && s.lastSlots() {
		return reasonShare
	}
	return ""
}

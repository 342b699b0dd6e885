package pool

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Status describes a pool for operators.
type Status struct {
	Pool  ident.Pool
	Epoch uint64
	// Queue is sorted by rank.
	Queue []QueueStatus
	// Endpoints is sorted by name.
	Endpoints []EndpointStatus
	// Suspects are in the order in which they were found.
	Suspects []Suspect
	// Isolated is the number of requests that wait to run in isolation.
	Isolated int
	// Holders counts the attempts that occupy a slot.
	Holders Holders
	// Remotes are the domains with which requests can be exchanged, by name.
	Remotes []Remote
	// Rollout is the order in force to move to a version; nil if there is none.
	Rollout *RolloutStatus
	// Promises counts the return times that refused callers were promised, since this
	// scheduler began.
	Promises promise.Counts
	// Lending means that slots are kept for teams within their share, because another is far
	// beyond its own.
	Lending bool
}

// Holders counts the attempts that occupy a slot by their state.
type Holders struct {
	// Granted are not known to have been dispatched; Prefilling have had no token yet.
	Granted, Prefilling, Decoding int
	// Orphaned are those of lost custodians, whose end nobody reports.
	Orphaned int
}

// QueueStatus describes the queue of one tier.
type QueueStatus struct {
	Rank int
	// Waiting counts queued and held requests. Held counts those that have been
	// selected and wait for a suitable endpoint.
	Waiting, Held int
	// Wait is the expected time in queue.
	Wait time.Duration
	// Teams is sorted by name and contains the teams with queued requests.
	Teams []TeamStatus
}

// TeamStatus describes one team's part of a tier's queue.
type TeamStatus struct {
	Team     ident.Team
	Queued   int
	InFlight int
	// Reason says why the team gets no slots now; empty if it does.
	Reason string
}

// EndpointStatus describes one endpoint as the scheduler sees it.
type EndpointStatus struct {
	Name     ident.Endpoint
	InFlight int
	// Window is the number of requests that the endpoint may have now. Foreign is the
	// estimated number of requests that other clients have there.
	Window, Foreign int
	// PendingTokens are prompt tokens granted and not yet prefilled.
	PendingTokens int
	// PrefillRate and DecodeRate are learned speeds in tokens per second, or calls per
	// second for a plain service. Pace is the factor by which the endpoint is slower
	// just now.
	PrefillRate, DecodeRate, Pace float64
	// Factor is the factor by which the endpoint says that it is slower than usual; 0 if it
	// has not said so within a second.
	Factor   float64
	Draining bool
	// Reason says why the endpoint gets no requests; empty if it does.
	Reason string
}

// slowFactor is the factor from which an endpoint counts as slow at the moment.
const slowFactor = 1.5

// Load returns whether the endpoint says that it is slow at the moment, for operators.
func (e *EndpointStatus) Load() string {
	switch {
	case e.Factor == 0:
		return "unknown"
	case e.Factor > slowFactor:
		return "slow"
	}
	return "usual"
}

// Room is the free capacity that other domains are told of a pool.
type Room struct {
	// FreeSlots is the number of free slots.
	FreeSlots int
	// LowestRank is the numerically largest rank that waits or runs.
	LowestRank int
	// Wait is the expected time in queue by rank.
	Wait []time.Duration
}

// Status describes the pool for operators.
func (s *Scheduler) Status() Status {
	out := Status{
		Pool:     s.config.Pool,
		Epoch:    s.config.Epoch,
		Isolated: len(s.isolation.waiting),
		Promises: s.promises.Counts(),
		Lending:  s.now < s.lendingUntil,
	}
	out.Rollout = s.rolloutStatus()
	for _, t := range s.queue.tiers {
		out.Queue = append(out.Queue, s.queueStatus(t))
	}
	for _, e := range s.endpoints.rows {
		out.Endpoints = append(out.Endpoints, s.endpointStatus(e))
	}
	for _, a := range s.attempts.rows {
		out.Holders.count(a)
	}
	for _, x := range slices.Concat(s.suspects.rows, s.parts.rows) {
		out.Suspects = append(out.Suspects, x.Suspect)
	}
	for _, x := range s.remotes.rows {
		out.Remotes = append(out.Remotes, *x)
	}
	return out
}

func (h *Holders) count(a *attempt) {
	switch {
	case !a.holdsSlot:
	case a.orphaned:
		h.Orphaned++
	case !a.started:
		h.Granted++
	case !a.sawFirstToken:
		h.Prefilling++
	default:
		h.Decoding++
	}
}

func (s *Scheduler) queueStatus(t *tierQueue) QueueStatus {
	out := QueueStatus{Rank: t.priority, Waiting: t.size, Held: len(t.held), Wait: s.expectedWait(t.priority)}
	for _, tq := range t.sortedTeams() {
		team := TeamStatus{Team: tq.team.Name, Queued: len(tq.requests), InFlight: tq.team.inFlight}
		if tq.team.atLimit() {
			team.Reason = "the team has its most requests in flight"
		}
		out.Teams = append(out.Teams, team)
	}
	return out
}

func (s *Scheduler) endpointStatus(e *endpoint) EndpointStatus {
	factor, known := e.speed.Factor(s.now)
	if !known {
		factor = 0
	}
	return EndpointStatus{
		Factor:        factor,
		Name:          e.Name,
		InFlight:      e.inFlight,
		Window:        e.slots(),
		Foreign:       e.load.Foreign,
		PendingTokens: e.pendingTokens,
		PrefillRate:   e.speed.PrefillRate(),
		DecodeRate:    e.speed.DecodeRate(),
		Pace:          e.speed.Pace(s.now),
		Draining:      e.State == resource.EndpointDrain,
		Reason:        s.closedReason(e),
	}
}

func (s *Scheduler) closedReason(e *endpoint) string {
	switch {
	case !e.declared:
		return "removed from the configuration"
	case e.State == resource.EndpointDrain:
		return "draining"
	case s.now < e.closedUntil:
		return "closed for a while after it was lost or took no connection"
	case e.withheld():
		return "kept from requests by a roll-out"
	case e.isolating:
		return "kept for a request that is suspected of crashing endpoints"
	case e.free() <= 0 && e.window.Size() < e.Slots:
		return "its window was narrowed because it is slow"
	case e.free() <= 0:
		return reasonFull
	case e.speed.Prefill(s.now, e.pendingTokens) > rules.MaxPendingPrefill:
		return reasonPrefill
	}
	return ""
}

// Room returns the free capacity of the pool for other domains.
func (s *Scheduler) Room() Room {
	var out Room
	for _, e := range s.endpoints.rows {
		if e.available(s.now) && !e.isolating {
			out.FreeSlots += e.freeSlots()
		}
	}
	for _, t := range s.queue.tiers {
		if t.priority >= rules.ExcessPriorityOffset {
			// Late requests, and those beyond their team's share, are no reason to send others to another domain.
			break
		}
		if t.size > 0 || s.runningByRank[t.priority] > 0 {
			out.LowestRank = t.priority
		}
		for len(out.Wait) <= t.priority {
			out.Wait = append(out.Wait, s.expectedWait(len(out.Wait)))
		}
	}
	return out
}

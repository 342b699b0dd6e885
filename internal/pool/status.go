package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// Status is what an operator sees of a pool.
type Status struct {
	Pool      ident.Pool
	Epoch     uint64
	Queue     []QueueStatus
	Endpoints []EndpointStatus
}

// QueueStatus is one tier's queue.
type QueueStatus struct {
	Rank    int
	Waiting int
}

// EndpointStatus is one endpoint as the scheduler sees it.
type EndpointStatus struct {
	Name     ident.Endpoint
	InFlight int
	// Window is the number of requests that the endpoint may have now.
	Window   int
	Draining bool
	// Reason says why the endpoint gets no work; empty if it does.
	Reason string
}

// Room is what other domains are told of a pool.
type Room struct {
	// FreeSlots is the number of free slots.
	FreeSlots int
	// LowestRank is the numerically largest rank that waits or runs.
	LowestRank int
	// Wait is the expected time in queue by rank.
	Wait []time.Duration
}

// Status describes the pool for operators, sorted by rank and name.
func (s *Scheduler) Status() Status {
	out := Status{Pool: s.config.Pool, Epoch: s.config.Epoch}
	for _, t := range s.queue.tiers {
		out.Queue = append(out.Queue, QueueStatus{Rank: t.rank, Waiting: t.size})
	}
	for _, e := range s.endpoints.rows {
		out.Endpoints = append(out.Endpoints, s.endpointStatus(e))
	}
	return out
}

func (s *Scheduler) endpointStatus(e *endpoint) EndpointStatus {
	return EndpointStatus{
		Name:     e.Name,
		InFlight: e.inFlight,
		Window:   e.slots(),
		Draining: e.State == resource.EndpointDrain,
		Reason:   s.closedReason(e),
	}
}

func (s *Scheduler) closedReason(e *endpoint) string {
	switch {
	case !e.declared:
		return "removed from the configuration"
	case e.State == resource.EndpointDrain:
		return "draining"
	case s.now < e.closedUntil:
		return "closed after a failure"
	case e.inFlight >= e.slots():
		return "every slot is in use"
	}
	return ""
}

// Room returns what other domains need to know.
func (s *Scheduler) Room() Room {
	var out Room
	for _, e := range s.endpoints.rows {
		if e.takesWork(s.now) {
			out.FreeSlots += max(0, e.slots()-e.inFlight)
		}
	}
	for _, t := range s.queue.tiers {
		if t.size > 0 {
			out.LowestRank = t.rank
		}
		out.Wait = append(out.Wait, 0)
	}
	return out
}

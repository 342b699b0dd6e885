package trace

import (
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// maxRank is the highest rank that a tier may have.
	maxRank = 63
	// maxTokens is the highest token count that an event may have.
	maxTokens = 1 << 26
	// maxSlots is the highest number of slots, or of requests, that an event may
	// report of an endpoint.
	maxSlots = 1 << 16
)

// Decode returns the events of the step. It rejects events whose numbers are out
// of range for a running system, which bounds the cost of replaying untrusted
// input.
func (s *Step) Decode() ([]pool.Event, error) {
	if s.At < 0 {
		return nil, errors.New("the step's time is negative")
	}
	events := make([]pool.Event, 0, len(s.Events))
	for _, encoded := range s.Events {
		event, err := encoded.Decode()
		if err != nil {
			return nil, err
		}
		if err := checkEvent(event); err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	return events, nil
}

// checkEvent returns an error if a number of the event is out of range.
func checkEvent(e pool.Event) error {
	switch e := e.(type) {
	case pool.Arrive:
		return checkRequest(e.Request)
	case pool.Configure:
		return checkConfigure(e)
	case pool.Restore:
		return checkRestore(e)
	case pool.Finished:
		return checkRange(maxTokens, e.PromptTokens, e.CachedTokens, e.OutputTokens)
	case pool.LoadReport:
		return checkRange(maxSlots, e.Running, e.Waiting)
	case pool.Remote:
		return checkRange(maxRank, len(e.Wait), e.LowestRank)
	}
	return nil
}

func checkRequest(r pool.Request) error {
	if err := checkRange(maxRank, r.Rank); err != nil {
		return err
	}
	return checkRange(maxTokens, r.PromptTokens, r.MaxTokens)
}

func checkRestore(e pool.Restore) error {
	for _, r := range e.Waiting {
		if err := checkRequest(r); err != nil {
			return err
		}
	}
	for _, r := range e.Running {
		if err := checkRequest(r.Request); err != nil {
			return err
		}
	}
	return nil
}

func checkConfigure(e pool.Configure) error {
	for _, t := range e.Tiers {
		if err := checkRange(maxRank, t.Rank); err != nil {
			return err
		}
	}
	for _, endpoint := range e.Endpoints {
		if err := checkEndpoint(endpoint); err != nil {
			return err
		}
	}
	return nil
}

func checkEndpoint(e resource.Endpoint) error {
	if err := checkRange(maxSlots, e.Slots); err != nil {
		return err
	}
	return checkRange(maxTokens, e.CacheTokens)
}

// checkRange returns an error unless every number is in the range 0 to limit.
func checkRange(limit int, numbers ...int) error {
	for _, n := range numbers {
		if n < 0 || n > limit {
			return errors.Errorf("number %d of an event is not in the range 0 to %d", n, limit)
		}
	}
	return nil
}

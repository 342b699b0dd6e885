package trace

import (
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// maxRank bounds the ranks of tiers.
	maxRank = 63
	// maxTokens bounds numbers of tokens.
	maxTokens = 1 << 26
	// maxSlots bounds the slots of an endpoint.
	maxSlots = 1 << 16
)

// Decode returns the events of a step. An event with a number that no running
// system has is an error, so that a replay of hostile input stays bounded.
func (s *Step) Decode() ([]pool.Event, error) {
	if s.At < 0 {
		return nil, errors.New("a step is before the start")
	}
	out := make([]pool.Event, 0, len(s.Events))
	for _, x := range s.Events {
		e, err := x.Decode()
		if err != nil {
			return nil, err
		}
		if err := checkEvent(e); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func checkEvent(e pool.Event) error {
	switch e := e.(type) {
	case pool.Arrive:
		return checkRequest(e.Request)
	case pool.Configure:
		return checkConfigure(e)
	case pool.Restore:
		return checkRestore(e)
	case pool.Finished:
		return checkNumbers(maxTokens, e.PromptTokens, e.CachedTokens, e.OutputTokens)
	case pool.LoadReport:
		return checkNumbers(maxSlots, e.Running, e.Waiting)
	case pool.Remote:
		return checkNumbers(maxRank, len(e.Wait), e.LowestRank)
	}
	return nil
}

func checkRequest(r pool.Request) error {
	if err := checkNumbers(maxRank, r.Rank); err != nil {
		return err
	}
	return checkNumbers(maxTokens, r.PromptTokens, r.MaxTokens)
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
		if err := checkNumbers(maxRank, t.Rank); err != nil {
			return err
		}
	}
	for _, x := range e.Endpoints {
		if err := checkEndpoint(x); err != nil {
			return err
		}
	}
	return nil
}

func checkEndpoint(e resource.Endpoint) error {
	if err := checkNumbers(maxSlots, e.Slots); err != nil {
		return err
	}
	return checkNumbers(maxTokens, e.CacheTokens)
}

// checkNumbers wants every number in 0 to most.
func checkNumbers(most int, numbers ...int) error {
	for _, n := range numbers {
		if n < 0 || n > most {
			return errors.Errorf("%d is not in 0 to %d", n, most)
		}
	}
	return nil
}

package fleet

import (
	"fmt"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	resultcode "github.com/trefoilchute/trefoilchute/internal/result"
)

// TierResult counts one tier's requests.
type TierResult struct {
	Rank int
	// Offered is the number of requests; Good the number answered whole in
	// time.
	Offered, Good int
	// Refused counts final answers "not run"; Late those that ran and missed
	// their deadline; Lost those lost with an engine.
	Refused, Late, Lost int
}

// Goodput is the part answered whole in time.
func (t TierResult) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// Result is what came of a run.
type Result struct {
	// Tiers is sorted by rank.
	Tiers []TierResult
	// Prefilled counts the prompt tokens that engines prefilled; WastedLate
	// those among them that served no answer in time, WastedAgain those that
	// another engine had cached.
	Prefilled, WastedLate, WastedAgain int
	// Crashes counts engine crashes.
	Crashes int
	// Refusals counts refusals by code.
	Refusals map[resultcode.Code]int

	expired int
	again   map[*work]int
}

// Goodput is the part of all requests answered whole in time.
func (r Result) Goodput() float64 {
	var sum TierResult
	for _, t := range r.Tiers {
		sum.Offered += t.Offered
		sum.Good += t.Good
	}
	return sum.Goodput()
}

// WastedPrefill is the wasted part of all prefilled tokens.
func (r Result) WastedPrefill() float64 {
	if r.Prefilled == 0 {
		return 0
	}
	return float64(r.WastedLate+r.WastedAgain) / float64(r.Prefilled)
}

func (r *Result) tier(rank int) *TierResult {
	for i := range r.Tiers {
		if r.Tiers[i].Rank == rank {
			return &r.Tiers[i]
		}
	}
	r.Tiers = append(r.Tiers, TierResult{Rank: rank})
	slices.SortFunc(r.Tiers, func(a, b TierResult) int { return a.Rank - b.Rank })
	return r.tier(rank)
}

func (r *Result) offer(i Item) {
	r.tier(i.Request.Rank).Offered++
}

func (r *Result) refuse(i Item, e pool.Refuse) {
	r.tier(i.Request.Rank).Refused++
	if r.Refusals == nil {
		r.Refusals = map[resultcode.Code]int{}
	}
	r.Refusals[e.Code]++
}

// countPrefill books a sequence that begins; again is the part of its prefill
// that another engine has cached.
func (r *Result) countPrefill(w *work, again int) {
	if r.again == nil {
		r.again = map[*work]int{}
	}
	r.again[w] = again
}

// settlePrefill books what a sequence has prefilled at its end.
func (r *Result) settlePrefill(w *work, inTime bool) {
	if !w.started {
		return
	}
	done := max(0, w.request.PromptTokens-w.cached-int(w.prefill))
	again := min(done, r.again[w])
	delete(r.again, w)
	r.Prefilled += done
	if inTime {
		r.WastedAgain += again
		return
	}
	r.WastedLate += done
}

func (r *Result) answer(w *work) {
	r.tier(w.request.Rank).Good++
	r.settlePrefill(w, true)
}

func (r *Result) waste(w *work) {
	r.tier(w.request.Rank).Late++
	r.settlePrefill(w, false)
}

func (r *Result) lose(w *work) {
	r.tier(w.request.Rank).Lost++
	r.settlePrefill(w, false)
}

// String returns the figures that two runs can be compared by.
func (r Result) String() string {
	return fmt.Sprintf("tiers=%+v prefilled=%d late=%d again=%d crashes=%d refusals=%v",
		r.Tiers, r.Prefilled, r.WastedLate, r.WastedAgain, r.Crashes, r.Refusals)
}

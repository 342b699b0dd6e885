package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// slackRequests is the number of requests up to which candidates get some beyond the share: so
// few are needed for a judgement where requests are rare. The rest of the slack is for what
// candidates got before the schedulers knew the order.
const slackRequests = minSamples + 10

// exposure counts the requests that reach a target, and those that candidates get.
type exposure struct {
	total, candidate float64
	// stepTotal and stepCandidate count since the last step of the share.
	stepTotal, stepCandidate float64
}

func (x *exposure) restart() { x.stepTotal, x.stepCandidate = 0, 0 }

// CountGrant counts a request that was granted an endpoint. first says that it was not
// granted one before, so that requests that are tried again count once among all.
func (c *Controller) CountGrant(candidate, first bool) { c.countGrant(candidate, first, 1) }

// UndoGrant takes back a count whose grant was not used.
func (c *Controller) UndoGrant(candidate, first bool) { c.countGrant(candidate, first, -1) }

func (c *Controller) countGrant(candidate, first bool, by float64) {
	x := &c.exposure
	if first {
		x.total += by
		x.stepTotal += by
	}
	if candidate {
		x.candidate += by
		x.stepCandidate += by
		c.group.taken += by
	}
}

// credit returns the number of requests that candidates may get now.
func (c *Controller) credit(now time.Duration) float64 {
	x := &c.exposure
	if c.phase == Moving {
		return moveShares[c.step]*(x.stepTotal+1) - x.stepCandidate
	}
	credit := c.bounds.Share*x.total - x.candidate
	if x.candidate >= slackRequests {
		return credit
	}
	// The slack becomes available over the first half of the time.
	part := min(1, 2*float64(c.elapsed(now))/float64(max(1, c.status.Order.Duration)))
	return credit + c.slack*part
}

// busyFactor is how much busier than the baseline's mean a candidate may be: the baseline's own
// endpoints are at times.
const busyFactor = 1.2

// BusyLimit returns the number of requests that a candidate may have in flight while the
// versions are compared, if the baseline's endpoints have that part of their slots in use.
func BusyLimit(busy float64, slots int) int {
	return max(1, int(math.Ceil(busyFactor*busy*float64(slots))))
}

// Open reports whether candidates may get one more request.
func (c *Controller) Open(now time.Duration) bool {
	switch c.phase {
	case Watching:
		return !c.group.resting && c.credit(now) >= 1
	case Moving:
		return c.credit(now) >= 1
	case Moved, Finished:
		return true
	case Waiting, Undone:
	}
	return false
}

// Chosen reports whether a candidate is one of those that get requests while Open says so.
func (c *Controller) Chosen(e ident.Endpoint) bool { return c.phase != Watching || c.group.active[e] }

// group is the set of candidates that get the share.
type group struct {
	active map[ident.Endpoint]bool
	// aside holds the candidates whose answers look bad. They get nothing while others
	// show whether that is the version's fault.
	aside map[ident.Endpoint]bool
	// next is the index of the first candidate of the next group.
	next      int
	changedAt time.Duration
	// turns counts the groups so far.
	turns int
	// taken counts the requests since the last change.
	taken float64
	// resting means that the share is saved up, because one candidate can't be kept as busy
	// as the baseline by it all the time.
	resting bool
}

const (
	// burstRuns is the number of requests per slot in use that a candidate gets in one go, so
	// that it is as busy as the baseline for several runs.
	burstRuns = 4
	// maxBurst bounds a burst: a failing version must be noticed before many of its answers
	// are bad.
	maxBurst = 24
	// firstBurst bounds the bursts of the first round: a version that is bad from the start
	// shows at each candidate, of which several have to be tested.
	firstBurst = 8
	// minTurn and maxTurn bound how long a group of candidates gets the share until the next
	// one does.
	minTurn = time.Second
	maxTurn = 15 * time.Second
)

// arrange chooses the candidates that get the share: as few as it can keep as busy as the
// baseline. All get their turn, and those whose answers look bad give way to others.
func (c *Controller) arrange(now time.Duration, load *Load) {
	list := c.setAside(now, load)
	if len(list) == 0 {
		c.group.active = nil
		return
	}
	size, slots := groupSize(list, c.bounds.Share*float64(load.BaselineSlots))
	credit := c.credit(now)
	g := &c.group
	burst := c.burst(load, list[0].Slots)
	if g.turns*size <= len(list) {
		burst = min(burst, firstBurst)
	}
	missing := !slices.ContainsFunc(list, func(x Candidate) bool { return g.active[x.Name] })
	if c.continuous(load, slots) {
		g.resting = false
		done := g.taken >= float64(size)*burst && now-g.changedAt >= minTurn
		if missing || done || now-g.changedAt >= c.turn(len(list), size) {
			c.choose(now, list, size)
		}
		return
	}
	waited := now-g.changedAt >= c.turn(len(list), size)
	switch {
	case g.resting && (credit >= burst || waited && credit >= 2), missing && credit >= 1:
		c.choose(now, list, size)
		g.resting = false
	case !g.resting && credit < 1:
		g.resting, g.changedAt = true, now
	case !g.resting && (waited || g.taken >= burst && now-g.changedAt >= minTurn):
		// A slow candidate may never use the credit up.
		c.choose(now, list, size)
	}
}

// continuous reports whether the share keeps a group with that many slots as busy as the
// baseline.
func (c *Controller) continuous(load *Load, slots int) bool {
	return load.Baseline == 0 || float64(slots) <= c.bounds.Share*float64(load.BaselineSlots)*1.1
}

// burst returns the number of requests to save up for one candidate.
func (c *Controller) burst(load *Load, slots int) float64 {
	busy := float64(load.BaselineInFlight) / float64(max(1, load.BaselineSlots)) * float64(slots)
	return min(max(2, burstRuns*busy), maxBurst)
}

// turn is how long a group gets the share.
func (c *Controller) turn(candidates, size int) time.Duration {
	watch := c.status.Order.Duration - c.moveTime()
	groups := max(1, (candidates+size-1)/max(1, size))
	return min(max(watch/time.Duration(2*groups), minTurn), maxTurn)
}

// choose makes the next candidates of the list the active ones.
func (c *Controller) choose(now time.Duration, list []Candidate, size int) {
	g := &c.group
	g.active = map[ident.Endpoint]bool{}
	for i := range size {
		g.active[list[(g.next+i)%len(list)].Name] = true
	}
	g.next = (g.next + size) % len(list)
	g.changedAt, g.taken = now, 0
	g.turns++
}

// setAside takes the candidates whose recent answers look bad out of the list of the usable
// ones, unless most of them do. Candidates of different domains alternate in the list.
func (c *Controller) setAside(now time.Duration, load *Load) []Candidate {
	g := &c.group
	var usable []Candidate
	for _, x := range load.Candidates {
		if x.Usable {
			usable = append(usable, x)
		}
	}
	suspects := map[ident.Endpoint]bool{}
	for _, e := range c.evidence.suspects(suspectLevel) {
		if slices.ContainsFunc(usable, func(x Candidate) bool { return x.Name == e }) {
			suspects[e] = true
		}
	}
	if 2*len(suspects) > len(usable) {
		// It is the version, or else more answers of all of them will show that it is not.
		clear(suspects)
	}
	for _, e := range slices.Sorted(maps.Keys(suspects)) {
		if !g.aside[e] {
			c.steps = append(c.steps, Step{
				c.phase, c.Share(), c.evidence.total,
				"endpoint " + string(e) + " answers badly: others get the share, to tell its fault from the version's", c.elapsed(now),
			})
		}
		delete(g.active, e)
	}
	g.aside = suspects
	return alternate(slices.DeleteFunc(usable, func(x Candidate) bool { return g.aside[x.Name] }))
}

// alternate orders candidates so that domains take turns.
func alternate(list []Candidate) []Candidate {
	seen := map[ident.Domain]int{}
	rank := map[ident.Endpoint]int{}
	for _, x := range list {
		rank[x.Name] = seen[x.Domain]
		seen[x.Domain]++
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Domain, b.Domain))
	})
	return list
}

// groupSize returns the number of candidates whose slots the wanted number fills, at least
// one, and their slots.
func groupSize(list []Candidate, wanted float64) (size, slots int) {
	for _, x := range list {
		if size > 0 && float64(slots+x.Slots) > wanted {
			break
		}
		size++
		slots += x.Slots
	}
	return size, slots
}

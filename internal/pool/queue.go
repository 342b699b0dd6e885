package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// queue holds the waiting requests by priority. Within a priority, teams are ordered
// by virtual start time (start-time fair queueing), and the requests of a team by
// their sort key. Requests that can't meet their objective any more have priorities of
// their own behind all others. Taking the next request or removing any request takes
// logarithmic time.
type queue struct {
	// tiers is sorted by priority, the highest tier first.
	tiers []*tierQueue
}

// tierQueue is the queue of one priority: of the requests of a tier, or of its late
// requests.
type tierQueue struct {
	// priority is the priority of its requests; the smallest value is served first.
	priority int
	// virtualTime is the start tag that was served last.
	virtualTime float64
	teams       map[ident.Team]*teamQueue
	// ready holds the teams with queued requests by start tag.
	ready teamHeap
	size  int
	// held are the selected requests that wait for a suitable endpoint, in the order of
	// their selection.
	held []*request
	// heldForCache counts the held requests that wait for the endpoint with their
	// prefix.
	heldForCache int
	// backlog is the slot time of the waiting requests, held ones included.
	backlog backlog
	// weight is the sum of the weights of the teams with queued requests.
	weight float64
}

// teamQueue is one team's part of a tier's queue.
type teamQueue struct {
	team *team
	// startTag is the virtual start time of the team's next request.
	startTag float64
	// index is the place in the tier's heap plus one; 0 if the team is not in the heap.
	index    int
	requests requestHeap
	// backlog is the slot time of the queued requests, without held ones.
	backlog backlog
}

// backlog is the expected slot time of waiting requests by size class.
type backlog [rules.SizeClasses]time.Duration

// add adds the cost of a request if sign is 1, and subtracts it if sign is -1.
func (b *backlog) add(r *request, sign int) {
	b[rules.SizeClass(r.cost)] += time.Duration(sign) * r.cost
}

// upToSizeOf returns the slot time of the requests that are no longer than r.
func (b *backlog) upToSizeOf(r *request) time.Duration {
	return sumOf(b[:rules.SizeClass(r.queueCost())+1])
}

// total returns the slot time of all requests.
func (b *backlog) total() time.Duration {
	return sumOf(b[:])
}

func sumOf(costs []time.Duration) time.Duration {
	var sum time.Duration
	for _, cost := range costs {
		sum += cost
	}
	return sum
}

func newQueue() *queue {
	return &queue{}
}

// tier returns the queue of a priority and creates it if needed.
func (q *queue) tier(priority int) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, priority, func(t *tierQueue, r int) int {
		return cmp.Compare(t.priority, r)
	})
	if !found {
		t := &tierQueue{priority: priority, teams: map[ident.Team]*teamQueue{}}
		q.tiers = slices.Insert(q.tiers, i, t)
	}
	return q.tiers[i]
}

// push adds a waiting request.
func (q *queue) push(r *request, of *team) {
	t := q.tier(r.priority())
	tq := t.teams[r.Team]
	if tq == nil {
		tq = &teamQueue{team: of}
		t.teams[r.Team] = tq
	}
	if len(tq.requests) == 0 {
		tq.startTag = max(tq.startTag, t.virtualTime)
		t.weight += of.weight()
	}
	heap.Push(&tq.requests, r)
	tq.adjust(r, 1)
	of.waiting++
	t.adjust(r, 1)
	if tq.index == 0 {
		heap.Push(&t.ready, tq)
	}
}

// remove removes a queued request without serving it.
func (q *queue) remove(r *request) {
	t := q.tier(r.priority())
	tq := t.teams[r.Team]
	heap.Remove(&tq.requests, r.heapIndex)
	tq.adjust(r, -1)
	if len(tq.requests) == 0 {
		t.weight -= tq.team.weight()
	}
	tq.team.waiting--
	t.adjust(r, -1)
	if len(tq.requests) == 0 && tq.index > 0 {
		heap.Remove(&t.ready, tq.index-1)
	}
}

// adjust adds a request to the waiting ones if sign is 1, and subtracts it if sign is
// -1.
func (t *tierQueue) adjust(r *request, sign int) {
	t.size += sign
	t.backlog.add(r, sign)
}

// adjust adds a request to the team's queued ones if sign is 1, and subtracts it if
// sign is -1.
func (tq *teamQueue) adjust(r *request, sign int) {
	tq.backlog.add(r, sign)
}

// backlogBefore returns the slot time that is served before a request: that of the
// requests that are no longer, or less if the team is within its fair share of it.
func (t *tierQueue) backlogBefore(r *request, of *team) time.Duration {
	var own time.Duration
	if tq := t.teams[r.Team]; tq != nil {
		own = tq.backlog.upToSizeOf(r)
	}
	return min(t.backlog.upToSizeOf(r), t.fairShareOf(r, of, own))
}

// charge adds the cost of a request that is served to its team's share.
func (q *queue) charge(r *request, of *team) {
	t := q.tier(r.priority())
	tq := t.teams[r.Team]
	t.virtualTime = max(t.virtualTime, tq.startTag)
	tq.startTag += r.cost.Seconds() / of.weight()
	if tq.index > 0 {
		heap.Fix(&t.ready, tq.index-1)
	}
}

// fairShareTime returns the slot time that the tier serves until a new request of a
// team is done, if every team with queued requests gets its share.
func (t *tierQueue) fairShareTime(r *request, of *team) time.Duration {
	var own time.Duration
	if tq := t.teams[r.Team]; tq != nil {
		own = tq.backlog.total()
	}
	return t.fairShareOf(r, of, own)
}

// fairShareOf returns the slot time that the tier serves until a new request of a team
// and a part of the team's backlog are done.
func (t *tierQueue) fairShareOf(r *request, of *team, own time.Duration) time.Duration {
	weight := t.weight
	if tq := t.teams[r.Team]; tq == nil || len(tq.requests) == 0 {
		weight += of.weight()
	}
	return time.Duration(float64(r.cost+own) * weight / of.weight())
}

// waiting reports whether any request is queued; held requests don't count.
func (q *queue) waiting() bool {
	return slices.ContainsFunc(q.tiers, func(t *tierQueue) bool { return len(t.ready) > 0 })
}

// size returns the number of waiting requests, held ones included.
func (q *queue) size() int {
	n := 0
	for _, t := range q.tiers {
		n += t.size
	}
	return n
}

// waitsBelow reports whether a request of a tier below rank waits.
func (q *queue) waitsBelow(rank int) bool {
	return slices.ContainsFunc(q.tiers, func(t *tierQueue) bool { return t.priority > rank && t.size > 0 })
}

// hold keeps a request that has left its team's heap until its endpoint has a free
// slot.
func (t *tierQueue) hold(r *request) {
	t.held = append(t.held, r)
	if r.heldForCache {
		t.heldForCache++
	}
	t.adjust(r, 1)
	t.teams[r.Team].team.waiting++
}

// unhold removes a held request.
func (q *queue) unhold(r *request) {
	t := q.tier(r.priority())
	t.held = slices.DeleteFunc(t.held, func(h *request) bool { return h == r })
	if r.heldForCache {
		t.heldForCache--
	}
	t.adjust(r, -1)
	t.teams[r.Team].team.waiting--
}

// head returns the team's request with the smallest sort key.
func (tq *teamQueue) head() *request {
	return tq.requests[0]
}

// popTeam takes the team with the smallest start tag out of the heap, so that the next
// one can be examined. The caller returns each team with putBack.
func (t *tierQueue) popTeam() *teamQueue {
	if len(t.ready) == 0 {
		return nil
	}
	return heap.Pop(&t.ready).(*teamQueue)
}

// putBack returns a team to the heap if it still has queued requests.
func (t *tierQueue) putBack(tq *teamQueue) {
	if len(tq.requests) > 0 && tq.index == 0 {
		heap.Push(&t.ready, tq)
	}
}

// teamHeap orders teams by start tag, then by name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].team.Name < h[j].team.Name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(*h) + 1
	*h = append(*h, t)
}

func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}

// requestHeap orders requests by sort key, then by arrival.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if a, b := h[i].sortKey(), h[j].sortKey(); a != b {
		return a < b
	}
	return h[i].sequence < h[j].sequence
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// all returns the waiting requests, held ones included, in no particular order.
func (t *tierQueue) all() []*request {
	out := slices.Clone(t.held)
	for _, tq := range t.ready {
		out = append(out, tq.requests...)
	}
	return out
}

// leastUrgent returns the waiting request that would be served last. It examines all
// requests, which is acceptable because it is called only when room has to be made.
func (t *tierQueue) leastUrgent() *request {
	return slices.MaxFunc(t.all(), compareUrgency)
}

// leastUrgentFirst returns the waiting requests, the one that would be served last
// first.
func (t *tierQueue) leastUrgentFirst() []*request {
	out := t.all()
	slices.SortFunc(out, func(a, b *request) int { return compareUrgency(b, a) })
	return out
}

// recomputeWeights sums up the weights again after a change of the teams.
func (q *queue) recomputeWeights() {
	for _, t := range q.tiers {
		t.weight = 0
		for _, tq := range t.sortedTeams() {
			t.weight += tq.team.weight()
		}
	}
}

// sortedTeams returns the teams with queued requests by name.
func (t *tierQueue) sortedTeams() []*teamQueue {
	out := slices.Clone(t.ready)
	slices.SortFunc(out, func(a, b *teamQueue) int { return cmp.Compare(a.team.Name, b.team.Name) })
	return out
}

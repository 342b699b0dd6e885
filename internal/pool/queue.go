package pool

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// queue holds the waiting requests: by tier, in a tier by the team's virtual
// start time (start-time fair queueing), in a team by their turn. Requests that can't
// meet their objective any more stand in tiers of their own behind all others.
// Taking the next request and removing any one cost a logarithm of the number
// waiting.
type queue struct {
	// tiers is sorted by rank, highest tier first.
	tiers []*tierQueue
}

// tierQueue is the queue of one tier.
type tierQueue struct {
	// rank is the order of its requests.
	rank int
	// virtual is the tier's virtual time: the start tag last served.
	virtual float64
	teams   map[ident.Team]*teamQueue
	// ready holds the teams with waiting requests by start tag.
	ready teamHeap
	size  int
	// held are the requests chosen that wait for the right endpoint, in the
	// order in which they were chosen.
	held []*request
	// homeHeld counts those that were held for the endpoint with their prefix.
	homeHeld int
	// backlog is the slot time that waits, held requests included.
	backlog backlog
	// weight is the sum of the weights of the teams with queued requests.
	weight float64
}

// teamQueue is one team's part of a tier's queue.
type teamQueue struct {
	team *team
	// start is the virtual start tag of the team's next request.
	start float64
	// index is the place in the tier's heap plus one; 0 when not in it.
	index    int
	requests requestHeap
	// backlog is the slot time that waits, without held requests.
	backlog backlog
}

// backlog is the expected slot time of waiting requests by their size classes.
type backlog [rules.SizeClasses]time.Duration

// add adds a request's cost, or takes it off.
func (b *backlog) add(r *request, sign int) {
	b[rules.SizeClass(r.cost)] += time.Duration(sign) * r.cost
}

// upTo sums up what is no longer than a request.
func (b *backlog) upTo(r *request) time.Duration {
	return sumOf(b[:rules.SizeClass(r.length())+1])
}

// total sums up all of it.
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

// tier returns the queue of a rank and makes it if needed.
func (q *queue) tier(rank int) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, rank, func(t *tierQueue, r int) int {
		return cmp.Compare(t.rank, r)
	})
	if !found {
		t := &tierQueue{rank: rank, teams: map[ident.Team]*teamQueue{}}
		q.tiers = slices.Insert(q.tiers, i, t)
	}
	return q.tiers[i]
}

// push adds a waiting request.
func (q *queue) push(r *request, of *team) {
	t := q.tier(r.order())
	tq := t.teams[r.Team]
	if tq == nil {
		tq = &teamQueue{team: of}
		t.teams[r.Team] = tq
	}
	if len(tq.requests) == 0 {
		tq.start = max(tq.start, t.virtual)
		t.weight += of.weight()
	}
	heap.Push(&tq.requests, r)
	tq.book(r, 1)
	of.waiting++
	t.book(r, 1)
	if tq.index == 0 {
		heap.Push(&t.ready, tq)
	}
}

// remove takes a waiting request out without serving it.
func (q *queue) remove(r *request) {
	t := q.tier(r.order())
	tq := t.teams[r.Team]
	heap.Remove(&tq.requests, r.position)
	tq.book(r, -1)
	if len(tq.requests) == 0 {
		t.weight -= tq.team.weight()
	}
	tq.team.waiting--
	t.book(r, -1)
	if len(tq.requests) == 0 && tq.index > 0 {
		heap.Remove(&t.ready, tq.index-1)
	}
}

// book adds a request to what waits, or takes it off.
func (t *tierQueue) book(r *request, sign int) {
	t.size += sign
	t.backlog.add(r, sign)
}

// book adds a request to what the team has waiting, or takes it off.
func (tq *teamQueue) book(r *request, sign int) {
	tq.backlog.add(r, sign)
}

// backlogBefore is the part of the backlog that is served before a request: what is no
// longer, or less if its team is within its share of it.
func (t *tierQueue) backlogBefore(r *request, of *team) time.Duration {
	var own time.Duration
	if tq := t.teams[r.Team]; tq != nil {
		own = tq.backlog.upTo(r)
	}
	return min(t.backlog.upTo(r), t.shareOf(r, of, own))
}

// charge books the cost of a request that is served to its team's share.
func (q *queue) charge(r *request, of *team) {
	t := q.tier(r.order())
	tq := t.teams[r.Team]
	t.virtual = max(t.virtual, tq.start)
	tq.start += r.cost.Seconds() / of.weight()
	if tq.index > 0 {
		heap.Fix(&t.ready, tq.index-1)
	}
}

// shareTime is the slot time that the tier serves until a new request of a team
// is through, if every team with queued requests gets its share.
func (t *tierQueue) shareTime(r *request, of *team) time.Duration {
	var own time.Duration
	if tq := t.teams[r.Team]; tq != nil {
		own = tq.backlog.total()
	}
	return t.shareOf(r, of, own)
}

// shareOf is the slot time that the tier serves until a new request of a team and a
// part of what the team has waiting are through.
func (t *tierQueue) shareOf(r *request, of *team, own time.Duration) time.Duration {
	weight := t.weight
	if tq := t.teams[r.Team]; tq == nil || len(tq.requests) == 0 {
		weight += of.weight()
	}
	return time.Duration(float64(r.cost+own) * weight / of.weight())
}

// waiting says whether any request waits that no endpoint was chosen for.
func (q *queue) waiting() bool {
	return slices.ContainsFunc(q.tiers, func(t *tierQueue) bool { return len(t.ready) > 0 })
}

// size is the number of requests that wait, held ones included.
func (q *queue) size() int {
	n := 0
	for _, t := range q.tiers {
		n += t.size
	}
	return n
}

// waitsBelow says whether a request of a tier below rank waits.
func (q *queue) waitsBelow(rank int) bool {
	return slices.ContainsFunc(q.tiers, func(t *tierQueue) bool { return t.rank > rank && t.size > 0 })
}

// hold takes a request out of its team's heap to wait for its endpoint.
func (t *tierQueue) hold(r *request) {
	t.held = append(t.held, r)
	if r.heldForHome {
		t.homeHeld++
	}
	t.book(r, 1)
	t.teams[r.Team].team.waiting++
}

// unhold takes out a held request.
func (q *queue) unhold(r *request) {
	t := q.tier(r.order())
	t.held = slices.DeleteFunc(t.held, func(h *request) bool { return h == r })
	if r.heldForHome {
		t.homeHeld--
	}
	t.book(r, -1)
	t.teams[r.Team].team.waiting--
}

// head returns the team's request whose turn is first.
func (tq *teamQueue) head() *request {
	return tq.requests[0]
}

// popTeam takes the team with the smallest start tag out of the heap, so that
// the next one can be looked at. Each team taken goes back by putBack.
func (t *tierQueue) popTeam() *teamQueue {
	if len(t.ready) == 0 {
		return nil
	}
	return heap.Pop(&t.ready).(*teamQueue)
}

// putBack returns a team to the heap if it still has requests.
func (t *tierQueue) putBack(tq *teamQueue) {
	if len(tq.requests) > 0 && tq.index == 0 {
		heap.Push(&t.ready, tq)
	}
}

// teamHeap orders teams by start tag, then by name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
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

// requestHeap orders requests by their turn, then by arrival.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if a, b := h[i].turn(), h[j].turn(); a != b {
		return a < b
	}
	return h[i].sequence < h[j].sequence
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.position = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// all returns the tier's waiting requests, held ones included, in no order.
func (t *tierQueue) all() []*request {
	out := slices.Clone(t.held)
	for _, tq := range t.ready {
		out = append(out, tq.requests...)
	}
	return out
}

// last returns the waiting request with the latest deadline. It looks at all,
// but it is needed only when the tier's queue is full.
func (t *tierQueue) last() *request {
	return slices.MaxFunc(t.all(), compareUrgency)
}

// byDeadline returns the tier's waiting requests, latest deadline first.
func (t *tierQueue) byDeadline() []*request {
	out := t.all()
	slices.SortFunc(out, func(a, b *request) int { return compareUrgency(b, a) })
	return out
}

// reweigh sums up the weights anew, after teams were configured.
func (q *queue) reweigh() {
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

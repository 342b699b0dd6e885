package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// rolloutTarget is the target of the orders, and oldVersion and newVersion are the versions
	// of its endpoints, of which there are rolloutEndpoints each.
	rolloutTarget, oldVersion, newVersion = "app", "1", "2"
	rolloutEndpoints                      = 3
	// rolloutCallers send requests that take rolloutWork: about three run at each old endpoint.
	rolloutCallers = 16
	rolloutWork    = 50 * time.Millisecond
	// exposeShare, exposeSlack and rollbackBound are the users' bounds for a version that has not
	// been judged, and unstableExtra is what an unstable store adds to the last.
	exposeShare, exposeSlack = 0.1, 50
	rollbackBound            = 5 * time.Second
	unstableExtra            = 6 * time.Second
	// badAnswers is the number of bad answers from which on the last bound is counted, and
	// arrivalSlack the time that a request may be on its way.
	badAnswers   = 50
	arrivalSlack = 200 * time.Millisecond
	// warmTime is how long requests are sent before the order, and lastTime after its decision.
	warmTime, lastTime = 2 * time.Second, 6 * time.Second
	// drainDelay is the time from rolled_back until the new endpoints drain.
	drainDelay = 3 * time.Second
)

// State names of the status row.
const (
	stateRunning    = "running"
	stateCompleted  = "completed"
	stateRolledBack = "rolled_back"
)

// rolloutKind is a kind of new version.
type rolloutKind struct {
	name string
	// flaw is what is wrong with it, from a time after the order on; nil: nothing.
	flaw  *runner.Flaw
	after time.Duration
	// want is the state in which its order must end; empty: by the flaw.
	want string
	// target and to are those of the order; empty: rolloutTarget and newVersion.
	target, to string
	// missing means that no endpoint of the new version is started.
	missing bool
	// then happens thenAfter the order; nil: nothing.
	then func(r *rolloutRun)
}

// goodVersion and badVersions are the kinds of versions.
var (
	goodVersion = rolloutKind{name: "good"}
	badVersions = []rolloutKind{
		{name: "fails", flaw: &runner.Flaw{Part: 0.5}},
		{name: "slow", flaw: &runner.Flaw{Part: 0.5, Slow: 5}},
		{name: "fails later", flaw: &runner.Flaw{Part: 0.5}, after: 6 * time.Second},
		{name: "slow under load", flaw: &runner.Flaw{Part: 1, Slow: 5, Running: 3}},
		{name: "fails on one route", flaw: &runner.Flaw{Part: 1, Prefix: "/safe/"}},
		{name: "slow on one route", flaw: &runner.Flaw{Part: 0.7, Slow: 5, Prefix: "/unsafe/"}},
		{name: "fails under load", flaw: &runner.Flaw{Part: 0.7, Running: 3}},
		{name: "slow later", flaw: &runner.Flaw{Part: 0.5, Slow: 5}, after: 6 * time.Second},
	}
	// otherOrders are orders that end without a judgement, and one that is written anew.
	otherOrders = []rolloutKind{
		{name: "without endpoints", missing: true, want: stateRolledBack},
		{name: "in force already", missing: true, to: oldVersion, want: stateCompleted},
		{name: "for an unknown target", missing: true, target: "nothing", want: stateRolledBack},
		{name: "withdrawn", want: stateRolledBack, then: func(r *rolloutRun) { r.w.writeOrder(r.key(), nil) }},
		{name: "replaced", want: stateCompleted, then: (*rolloutRun).writeOrder},
	}
)

// thenAfter is the time from an order until it is withdrawn or replaced.
const thenAfter = 4 * time.Second

// rolloutFault spoils something for a time while an order runs.
type rolloutFault struct {
	name string
	do   func(w *world, h *host, d draws)
}

// rolloutFaults are the faults, most of which concern the scheduler of the pool.
var rolloutFaults = []rolloutFault{
	{"scheduler killed", func(w *world, h *host, d draws) { w.kill(h, d.span/2) }},
	{"scheduler frozen", func(w *world, h *host, d draws) {
		w.during("pause", h.name, d.span, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })
	}},
	{"scheduler stopped", func(w *world, h *host, _ draws) { w.term(h) }},
	{"scheduler without store", func(w *world, h *host, d draws) {
		w.spoilLink("store link", h.name, h.store, draws{b: 2, span: d.span})
	}},
	{"store refuses", func(w *world, _ *host, d draws) { w.spoilStore(d, store.Faults{Refuse: http.StatusServiceUnavailable}) }},
	{"store silent", func(w *world, _ *host, d draws) { w.spoilStore(d, store.Faults{Silent: true}) }},
	{"store slow", func(w *world, _ *host, d draws) { w.spoilStore(d, store.Faults{Delay: slowStore}) }},
	{"writes lost", func(w *world, _ *host, d draws) {
		d.span *= 3
		w.spoilStore(d, store.Faults{LoseWrites: true})
	}},
	{"writes late", func(w *world, _ *host, d draws) {
		d.span *= 3
		w.spoilStore(d, store.Faults{LateWrites: 3 * lateWrite})
	}},
	{"store forgets", func(w *world, _ *host, _ draws) { w.store.Forget() }},
	{"store drill", func(w *world, _ *host, d draws) { w.drill(d) }},
	{"store drill", func(w *world, _ *host, d draws) { w.drill(d) }},
}

// rolloutPlan describes one order.
type rolloutPlan struct {
	kind rolloutKind
	// faults is the number of faults while it runs.
	faults int
	limit  time.Duration
	// regions has the region of each host.
	regions []string
}

// planOf returns the plan of a seed: half of the versions are good, a fourth of the orders end without a
// judgement, there are up to two faults, and a fourth of the runs have hosts in two regions.
func planOf(seed uint64, limit time.Duration) rolloutPlan {
	plan := rolloutPlan{
		kind: goodVersion, faults: rand.New(rand.NewPCG(seed, 2)).IntN(3), limit: limit, regions: slices.Repeat([]string{region}, hosts),
	}
	if seed%2 == 1 {
		plan.kind = badVersions[seed/2%uint64(len(badVersions))]
	}
	if seed/2%4 == 2 {
		plan.kind = otherOrders[seed/8%uint64(len(otherOrders))]
	}
	if seed/2%4 == 3 {
		plan.regions[hosts-1] = "other-" + region
	}
	return plan
}

// rolloutRun is one order.
type rolloutRun struct {
	w *world
	rolloutPlan
	// ordered is when the order was written.
	ordered time.Time
	// old are the old endpoints.
	old []*runner.Runner

	mu sync.Mutex
	// states holds the states of the status row, and decidedAt when it first was a final one.
	states    []string
	decidedAt time.Time
	// decided is closed then.
	decided chan struct{}
	// busy counts the requests that ran at old endpoints then.
	busy int
}

// runRollout runs one order. The logs of a run that fails are kept.
func runRollout(ctx context.Context, o Options, seed uint64, plan rolloutPlan) (broken []string, summary string, err error) {
	dir, err := seedDir(o, seed)
	if err != nil {
		return nil, "not run", err
	}
	w, err := newWorldOf(dir, o.Program, seed, worldOptions{
		regions: plan.regions, work: rolloutWork, routes: []string{"safe", "unsafe"},
		services: rolloutEndpoints, version: oldVersion,
		settings: fmt.Sprintf("[rollout]\nshare = %g\nslack = %d\nrollback = %s\n", exposeShare, exposeSlack, rollbackBound),
	})
	if err != nil {
		return nil, "not started", err
	}
	plan.kind.want = cmp.Or(plan.kind.want, map[bool]string{true: stateCompleted, false: stateRolledBack}[plan.kind.flaw == nil])
	plan.kind.target, plan.kind.to = cmp.Or(plan.kind.target, rolloutTarget), cmp.Or(plan.kind.to, newVersion)
	r := &rolloutRun{w: w, rolloutPlan: plan, decided: make(chan struct{})}
	w.store.Notify(r.rowPut)
	life, end := context.WithCancel(ctx)
	w.life = life
	w.group.Add(1)
	go w.balancer(life)
	if !w.awaitReady(life, startTime) {
		w.fail("not every host was ready after %v: %s", startTime, w.describeReadiness())
	}
	for i := range rolloutCallers {
		w.group.Add(1)
		go w.call(life, i, seed)
	}
	sleep(life, warmTime)
	r.order()
	names := r.inject(life)
	r.awaitDecision(life)
	r.obey(life)
	sleep(life, lastTime)
	w.checkAlive()
	end()
	w.close()
	w.check()
	r.check()
	if len(w.broken) == 0 {
		err = removeDir(dir)
	}
	return w.broken, r.summary(names), err
}

// rowPut notes the states of the order.
func (r *rolloutRun) rowPut(table, key string, value []byte) {
	if table != "status" || key != r.key() {
		return
	}
	var row struct{ State, To string }
	if err := json.Unmarshal(value, &row); err != nil || row.To != r.kind.to {
		go r.w.fail("a status row that is none: %q", value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, row.State)
	if row.State == stateRunning || !r.decidedAt.IsZero() {
		return
	}
	r.decidedAt = time.Now()
	for _, x := range r.old {
		r.busy += x.Running()
	}
	close(r.decided)
}

// servers returns the endpoints of a version.
func (r *rolloutRun) servers(version string) []*server {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	var list []*server
	for _, s := range r.w.all {
		if s.target == rolloutTarget && s.version == version {
			list = append(list, s)
		}
	}
	return list
}

// order starts the new endpoints and writes the order.
func (r *rolloutRun) order() {
	w := r.w
	w.mu.Lock()
	w.version = newVersion
	w.mu.Unlock()
	for range rolloutEndpoints {
		if r.kind.missing {
			break
		}
		if err := w.addServer(rolloutTarget); err != nil {
			w.fail("endpoint does not start: %v", err)
		}
	}
	for _, s := range r.oldServers() {
		r.old = append(r.old, s.runner)
	}
	r.ordered = time.Now()
	if f := r.kind.flaw; f != nil {
		flaw := *f
		flaw.From = r.ordered.Add(r.kind.after)
		for _, s := range r.servers(newVersion) {
			s.runner.SetFlaw(&flaw)
		}
	}
	r.writeOrder()
}

// writeOrder writes the order's row.
func (r *rolloutRun) writeOrder() {
	r.w.writeOrder(r.key(), fmt.Appendf(nil,
		`{"service":%q,"to":%q,"duration_s":%g}`, r.kind.target, r.kind.to, r.limit.Seconds()))
}

// key is the key of the order's row and of its status.
func (r *rolloutRun) key() string {
	return "rollout/" + r.kind.target
}

// oldServers returns the endpoints that the order takes out of use.
func (r *rolloutRun) oldServers() []*server {
	if r.kind.to == oldVersion {
		return nil
	}
	return r.servers(oldVersion)
}

// inject lets faults happen in the background and returns their names.
func (r *rolloutRun) inject(ctx context.Context) []string {
	w := r.w
	var names []ident.Host
	for i, h := range w.hosts {
		if r.regions[i] == region {
			names = append(names, ident.Host(h.name))
		}
	}
	scheduler := rendezvous.First(rolloutTarget+"@"+region, names)
	var done []string
	for range r.faults {
		f := rolloutFaults[w.rand.IntN(len(rolloutFaults))]
		h := w.hosts[w.rand.IntN(len(w.hosts))]
		if w.rand.IntN(4) > 0 {
			h = w.hosts[slices.Index(names, scheduler)]
		}
		at := time.Duration(w.rand.Int64N(int64(r.faultWindow())))
		d := draws{span: time.Second + time.Duration(w.rand.Int64N(int64(lastSpan)))}
		done = append(done, fmt.Sprintf("%s (%s) @%.1f for %.1f", f.name, h.name, at.Seconds(), d.span.Seconds()))
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			sleep(ctx, at)
			if ctx.Err() == nil {
				f.do(w, h, d)
			}
		}()
	}
	return done
}

// faultWindow is the time after the order in which faults begin: until about the decision.
func (r *rolloutRun) faultWindow() time.Duration {
	if r.kind.flaw != nil {
		return r.kind.after + lastSpan
	}
	return r.limit * 4 / 5
}

// awaitDecision waits for a final state, for longer than the time limit.
func (r *rolloutRun) awaitDecision(ctx context.Context) {
	if r.kind.then != nil {
		sleep(ctx, thenAfter)
		r.kind.then(r)
	}
	select {
	case <-r.decided:
	case <-ctx.Done():
	case <-time.After(r.limit + unstableExtra):
	}
}

// obey does what operators do after a decision: they stop the old endpoints at once, or drain
// the new ones some seconds later.
func (r *rolloutRun) obey(ctx context.Context) {
	r.mu.Lock()
	last := ""
	if len(r.states) > 0 {
		last = r.states[len(r.states)-1]
	}
	r.mu.Unlock()
	switch last {
	case stateCompleted:
		for _, s := range r.oldServers() {
			_ = s.runner.Close()
			r.w.removeServer(s)
		}
	case stateRolledBack:
		sleep(ctx, drainDelay)
		for _, s := range r.servers(newVersion) {
			r.w.mu.Lock()
			s.leaves = time.Now()
			r.w.writeServer(s)
			r.w.mu.Unlock()
		}
	}
}

// removeServer removes an endpoint's row.
func (w *world) removeServer(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = slices.DeleteFunc(w.servers, func(x *server) bool { return x == s })
	w.store.Remove("servers", "", s.id)
}

// summary describes the run.
func (r *rolloutRun) summary(faults []string) string {
	candidate, all := r.arrivals()
	bad := r.badTimes()
	late, excuses := r.lateTime()
	return fmt.Sprintf("%s in %d regions, %v after %.1f s, %d of %d requests at the new version, %d bad answers, last sent %.1f s after the 50th %v, faults %v",
		r.kind.name, len(slices.Compact(slices.Clone(r.regions))), r.states, r.decidedAt.Sub(r.ordered).Seconds(), len(candidate), len(all), len(bad), late.Seconds(), excuses, faults)
}

// arrivals returns the times of the runs at the new version since the order until its decision,
// and of those at both versions, in order.
func (r *rolloutRun) arrivals() (candidate, all []time.Time) {
	end := r.decidedAt
	if end.IsZero() {
		end = r.ordered.Add(r.limit)
	}
	for _, version := range []string{oldVersion, newVersion} {
		for _, s := range r.servers(version) {
			for _, run := range s.runner.Runs() {
				if run.Began.Before(r.ordered) || run.Began.After(end) {
					continue
				}
				all = append(all, run.Began)
				if version == newVersion {
					candidate = append(candidate, run.Began)
				}
			}
		}
	}
	slices.SortFunc(candidate, time.Time.Compare)
	slices.SortFunc(all, time.Time.Compare)
	return candidate, all
}

// badTimes returns when bad answers ended, in order.
func (r *rolloutRun) badTimes() []time.Time {
	var list []time.Time
	for _, s := range r.servers(newVersion) {
		list = append(list, s.runner.Bad()...)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// check holds what the endpoints have seen against the users' bounds.
func (r *rolloutRun) check() {
	want := r.kind.want
	var final []string
	for _, s := range r.states {
		if s != stateRunning {
			final = append(final, s)
		}
	}
	if slices.ContainsFunc(r.w.spans, func(s spoilt) bool { return s.what == "store drill" }) {
		// A decision that the store has lost is written again.
		final = slices.Compact(final)
	}
	switch {
	case len(final) != 1 || r.states[len(r.states)-1] != final[0]:
		r.w.fail("states %v: not one decision", r.states)
	case final[0] != want:
		r.w.fail("a version that is %s was %s", r.kind.name, final[0])
	case final[0] == stateCompleted && r.kind.then == nil && r.decidedAt.Sub(r.ordered) > r.limit:
		r.w.fail("decided %v after the order", r.decidedAt.Sub(r.ordered))
	}
	if r.kind.flaw != nil {
		r.checkExposure()
		r.checkRollback()
	}
	if strings.Join(final, "") == stateCompleted {
		r.checkMoved()
	}
}

// checkExposure checks the share of a bad version at each of its requests.
func (r *rolloutRun) checkExposure() {
	candidate, all := r.arrivals()
	for i, at := range candidate {
		before, _ := slices.BinarySearchFunc(all, at, time.Time.Compare)
		if most := exposeShare*float64(before+1) + exposeSlack; float64(i+1) > most {
			r.w.fail("request %d at the bad version, of %d, %.1f s after the order", i+1, before+1, at.Sub(r.ordered).Seconds())
			return
		}
	}
}

// lateTime returns the time from the 50th bad answer to the last request that was sent to the new
// version; 0 if there were fewer. Failures of the store in this time are returned as excuses.
func (r *rolloutRun) lateTime() (late time.Duration, excuses []string) {
	bad := r.badTimes()
	if len(bad) < badAnswers {
		return 0, nil
	}
	from, last := bad[badAnswers-1], time.Time{}
	for _, s := range r.servers(newVersion) {
		for _, run := range s.runner.Runs() {
			if run.Began.After(last) {
				last = run.Began
			}
		}
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	for _, s := range r.w.spans {
		if strings.HasPrefix(s.what, "store") && s.from.Before(last) && (s.to.IsZero() || s.to.After(from)) {
			excuses = append(excuses, s.what)
		}
	}
	return max(0, last.Sub(from)), excuses
}

// checkRollback checks that a bad version gets nothing later than the bound after its 50th bad
// answer, unless hosts were out of contact with the store.
func (r *rolloutRun) checkRollback() {
	late, excuses := r.lateTime()
	if late > rollbackBound+arrivalSlack+time.Duration(min(1, len(excuses)))*unstableExtra {
		r.w.fail("the last request at the bad version was sent %v after its 50th bad answer; store: %v", late, excuses)
	}
}

// checkMoved checks that the old endpoints were idle when the roll-out was completed, and got
// nothing after that.
func (r *rolloutRun) checkMoved() {
	if r.busy > 0 {
		r.w.fail("%d requests ran at old endpoints when the roll-out was completed", r.busy)
	}
	for _, s := range r.oldServers() {
		for _, run := range s.runner.Runs() {
			if run.Began.After(r.decidedAt) {
				r.w.fail("%s: run at the old %s %v after completed", run.Attempt, s.id, run.Began.Sub(r.decidedAt))
			}
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configures a soak.
type Options struct {
	// Program is the binary whose gateway command is run.
	Program string
	// First is the first seed, Seeds how many follow one another, and Parallel how
	// many are run at a time.
	First    uint64
	Seeds    int
	Parallel int
	// Length is how long faults are injected in each run.
	Length time.Duration
	// Rollouts lets each run be about an order to move a target to another version, with Length
	// as its time limit.
	Rollouts bool
	// Dir keeps the logs of runs that fail.
	Dir string
	Out io.Writer
}

const (
	// brokenShown is how many broken promises of a seed are printed.
	brokenShown = 10
	// startTime is how long hosts have to become ready at the start of a run.
	startTime = 10 * time.Second
	// recoverTime is how long they have to serve again after the last fault.
	recoverTime = 12 * time.Second
	// afterTime is how long requests are watched after the recovery.
	afterTime = 2 * time.Second
	// faultsPerSecond is how many faults begin in a second.
	faultsPerSecond = 0.8
	// lastSpan bounds how long a fault lasts.
	lastSpan = 4 * time.Second
	// servedShare is the part of the requests after the recovery that must be served.
	servedShare = 0.25
)

// Run runs the seeds. It returns an error that counts those that failed.
func Run(ctx context.Context, o Options) error {
	var failed []uint64
	var mu sync.Mutex
	slots := make(chan struct{}, max(1, o.Parallel))
	var group sync.WaitGroup
	for i := range o.Seeds {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			seed := o.First + uint64(i)
			var broken []string
			var summary string
			var err error
			if o.Rollouts {
				broken, summary, err = runRollout(ctx, o, seed, planOf(seed, o.Length))
			} else {
				broken, summary, err = runSeed(ctx, o, seed)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken = append(broken, err.Error())
			}
			_, _ = fmt.Fprintf(o.Out, "seed %d: %s, %d broken promises\n", seed, summary, len(broken))
			for n, b := range broken {
				if n == brokenShown {
					_, _ = fmt.Fprintf(o.Out, "  and %d more\n", len(broken)-n)
					break
				}
				_, _ = fmt.Fprintf(o.Out, "  %s\n", b)
			}
			if len(broken) > 0 {
				failed = append(failed, seed)
			}
		}()
	}
	group.Wait()
	if len(failed) > 0 {
		return errors.Errorf("%d of %d seeds failed: %v", len(failed), o.Seeds, failed)
	}
	_, err := fmt.Fprintf(o.Out, "%d seeds passed\n", o.Seeds)
	return err
}

// runSeed runs one seed. The logs of a run that fails are kept.
func runSeed(ctx context.Context, o Options, seed uint64) (broken []string, summary string, err error) {
	dir, err := seedDir(o, seed)
	if err != nil {
		return nil, "not run", err
	}
	w, err := newWorld(dir, o.Program, seed)
	if err != nil {
		return nil, "not started", err
	}
	life, end := context.WithCancel(ctx)
	w.life = life
	w.group.Add(1)
	go w.balancer(life)
	if !w.awaitReady(life, startTime) {
		w.fail("not every host was ready after %v: %s", startTime, w.describeReadiness())
	}
	for i := range callers {
		w.group.Add(1)
		go w.call(life, i, seed)
	}
	names := w.inject(life, o.Length)
	w.checkAlive()
	if !w.awaitReady(life, recoverTime) {
		w.fail("not every host was ready %v after the last fault: %s", recoverTime, w.describeReadiness())
	}
	calm := time.Now()
	sleep(life, afterTime)
	end()
	w.close()
	w.check()
	served, statuses := w.checkRecovered(calm)
	summary = fmt.Sprintf("%d requests, served after recovery %.0f %%, statuses there %v, faults %v", len(w.seen), 100*served, statuses, names)
	if len(w.broken) == 0 {
		err = removeDir(dir)
	}
	return w.broken, summary, err
}

// seedDir makes the directory for the logs of a seed's run.
func seedDir(o Options, seed uint64) (string, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	return dir, errors.Wrap(os.MkdirAll(dir, 0o700), "make the directory for logs")
}

// removeDir removes the logs of a run that passed.
func removeDir(dir string) error {
	return errors.Wrap(os.RemoveAll(dir), "remove the logs of a run that passed")
}

// inject draws faults and lets them happen, overlapping. It returns their names when
// all have ended.
func (w *world) inject(ctx context.Context, length time.Duration) []string {
	type planned struct {
		at time.Duration
		f  fault
		d  draws
	}
	var plan []planned
	for range int(faultsPerSecond * length.Seconds()) {
		plan = append(plan, planned{
			at: time.Duration(w.rand.Int64N(int64(length))), f: faults[w.rand.IntN(len(faults))],
			d: draws{a: w.rand.IntN(1000), b: w.rand.IntN(1000), span: lastSpan/8 + time.Duration(w.rand.Int64N(int64(lastSpan)))},
		})
	}
	var group sync.WaitGroup
	names := make([]string, len(plan))
	for i, p := range plan {
		names[i] = fmt.Sprintf("%s@%.1f", p.f.name, p.at.Seconds())
		group.Add(1)
		go func() {
			defer group.Done()
			sleep(ctx, p.at)
			if ctx.Err() == nil {
				p.f.do(w, p.d)
			}
		}()
	}
	group.Wait()
	return names
}

// checkAlive wants every process to run: those that were ended have been started
// again.
func (w *world) checkAlive() {
	for _, h := range w.hosts {
		if h.wait(0) {
			w.fail("%s ended by itself", h.name)
			w.restart(h)
		}
	}
}

// awaitReady waits until every host is ready.
func (w *world) awaitReady(ctx context.Context, most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); sleep(ctx, 100*time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if h.isReady(ctx) {
				ready++
			}
		}
		if ready == len(w.hosts) {
			return true
		}
	}
	return false
}

// describeReadiness says what each host last answered to the question whether it is ready.
func (w *world) describeReadiness() string {
	list := make([]string, len(w.hosts))
	for i, h := range w.hosts {
		list[i] = h.describeReadiness()
	}
	return strings.Join(list, "; ")
}

// checkRecovered returns the part of the requests that were served after the recovery,
// and counts their answers by status; 0: none came.
func (w *world) checkRecovered(since time.Time) (share float64, statuses map[int]int) {
	served, sent := 0, 0
	statuses = map[int]int{}
	for i := range w.seen {
		o := &w.seen[i]
		if _, revoked := w.revoked[o.request.Key]; revoked || o.answer.Began.Before(since) {
			continue
		}
		if _, removed := w.removed[o.route]; removed {
			continue
		}
		sent++
		statuses[o.answer.Status]++
		if o.answer.Status == 200 && o.answer.Whole {
			served++
		}
	}
	share = float64(served) / float64(max(1, sent))
	if share < servedShare {
		w.broken = append(w.broken, fmt.Sprintf("%d of %d requests served after the recovery", served, sent))
	}
	return share, statuses
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// RandomSeed returns a seed for runs that are not to repeat.
func RandomSeed() uint64 {
	return uint64(rand.Uint32())
}

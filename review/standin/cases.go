package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// deployment starts runners of the plain service and gateways.
func deployment(rec *record, cfg map[string]any, runners ...*runner) (*world, error) {
	w, err := newWorld(rec, cfg)
	if err != nil {
		return nil, err
	}
	for i, r := range runners {
		r.id, r.service, r.zone = fmt.Sprintf("i-%d", i), "app", fmt.Sprintf("zone-%d", i%2)
		if r.events > 0 {
			r.service = "llm"
		}
		if err := w.addRunner(r); err != nil {
			return w, err
		}
	}
	return w, w.addGateways()
}

// keepLogs leaves the gateways' logs for reading.
func keepLogs() bool {
	return os.Getenv("KEEP_LOGS") == "1"
}

// usualWork is how long the requests of the users' plain service run: about 60 ms.
func usualWork(attempt string) time.Duration {
	return time.Duration((30 + 60*draw(attempt, "work")) * float64(time.Millisecond))
}

const (
	// stopInterval is the time between two orders, and stopWork how long an order runs on average.
	// The twelve places of the service are not quite enough for that.
	stopInterval = 100 * time.Millisecond
	stopWork     = 1600 * time.Millisecond
	// stopLimit is the route's timeout and the callers' time limit.
	stopLimit = 12 * time.Second
	// stopTraffic is how long orders come, and stopAt when the machine gets SIGTERM.
	stopTraffic = 50 * time.Second
	stopAt      = 30 * time.Second
	// lossSlack is the users' bound loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

// queuedStop stops one machine as planned while orders wait for a place at a busy service.
func queuedStop(rec *record, trouble bool) ([]string, error) {
	work := func(attempt string) time.Duration {
		return time.Duration((0.8 + 0.4*draw(attempt, "work")) * float64(stopWork))
	}
	w, err := deployment(rec, config(route("order", "unsafe", "app", 1, stopLimit, stopLimit)),
		&runner{slots: 6, queue: 24, work: work}, &runner{slots: 6, queue: 24, work: work})
	if w != nil {
		defer w.close(keepLogs())
	}
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	begin := time.Now()
	leaves := w.gateways[0]
	if trouble {
		group.Go(func() {
			time.Sleep(time.Until(begin.Add(stopAt)))
			rec.add("SIGTERM host=%s", leaves.name)
			leaves.terminate()
			rec.add("ended host=%s", leaves.name)
		})
	}
	balancer := w.balance()
	for i := 0; time.Since(begin) < stopTraffic; i++ {
		g := balancer.choose(i)
		group.Go(func() {
			c := &channel{gateway: g}
			defer c.close()
			out := c.do(rec, newRequest("/order/"+fmt.Sprint(i), stopLimit))
			mu.Lock()
			outcomes = append(outcomes, out)
			mu.Unlock()
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * stopInterval)))
	}
	group.Wait()
	return judgeStop(rec, w, outcomes), nil
}

// judgeStop returns the requests that ended with a closed channel, but for those that a runner
// still worked on.
func judgeStop(rec *record, w *world, outcomes []outcome) []string {
	count := map[string]int{}
	var lost []string
	for _, out := range outcomes {
		ran := 0
		for _, r := range w.runners {
			ran += r.ran(out.request.attempt)
		}
		switch {
		case out.closed && out.took > lossSlack && ran == 0 && out.took < stopLimit:
			count["closed unanswered, at no runner"]++
			lost = append(lost, out.request.attempt)
		case out.closed:
			count["closed unanswered, at a runner"]++
		case out.err != nil:
			count["no answer in time"]++
		default:
			count[fmt.Sprint("status ", out.status)]++
		}
	}
	rec.add("summary %v", count)
	if len(lost) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d orders waited at the machine that was stopped, and their channels ended without an answer, the first is %s", len(lost), lost[0])}
}

const (
	// spoiltShare is the share of the answers of half of the runners that are spoilt.
	spoiltShare    = 0.02
	spoiltCallers  = 8
	spoiltTraffic  = 40 * time.Second
	spoiltInterval = 200 * time.Millisecond
)

// spoilt has a faulty runner send a wrong byte in the status of some of its answers.
func spoilt(rec *record, trouble bool) ([]string, error) {
	var runners []*runner
	for i := range 4 {
		r := &runner{slots: 6, queue: 24, work: usualWork}
		if trouble && i%2 == 0 {
			r.spoils = func(attempt string) bool { return draw(attempt, "spoil") < spoiltShare }
		}
		runners = append(runners, r)
	}
	w, err := deployment(rec, config(route("order", "unsafe", "app", 1, 1500*time.Millisecond, 300*time.Millisecond)), runners...)
	if w != nil {
		defer w.close(keepLogs())
	}
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	served := 0
	var wrong []string
	var group sync.WaitGroup
	end := time.Now().Add(spoiltTraffic)
	for i := range spoiltCallers {
		group.Go(func() {
			c := &channel{gateway: w.gateways[i%len(w.gateways)]}
			defer c.close()
			for time.Now().Before(end) {
				out := c.do(rec, newRequest("/order/"+fmt.Sprint(i), 3*time.Second))
				mu.Lock()
				if out.status/100 == 2 {
					if served++; out.body != body(out.request.attempt) || out.seal == "" {
						wrong = append(wrong, out.request.attempt)
						rec.add("wrong attempt=%s status=%d bytes=%d of %d", out.request.attempt, out.status, len(out.body), len(body(out.request.attempt)))
					}
				}
				mu.Unlock()
				time.Sleep(spoiltInterval)
			}
		})
	}
	group.Wait()
	rec.add("summary successes=%d wrong=%d", served, len(wrong))
	if len(wrong) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("MIXED: %d of %d successes did not have the runner's whole body, the first is %s", len(wrong), served, wrong[0])}, nil
}

const (
	// memoryLimit is the machines' memory_mb, in bytes.
	memoryLimit = 284 << 20
	// longBody is the configuration's max_body_bytes, and usualBody the mean of the users' prompts.
	longBody  = 4194304
	usualBody = 12000
	// memoryInterval is the time between two requests, over all machines: as many for each as on the
	// users' site. memoryWork is how long a request runs.
	memoryInterval = time.Second / 66
	memoryWork     = 3 * time.Second
	memoryTraffic  = 25 * time.Second
	memoryStep     = 20 * time.Millisecond
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// mostEnds and mostMachines are the rule's: as many ends on as many machines break it.
	mostEnds, mostMachines = 3, 2
)

// memory has callers send bodies as long as the configuration allows.
func memory(rec *record, trouble bool) ([]string, error) {
	var runners []*runner
	for range 18 {
		runners = append(runners, &runner{slots: 10, queue: 60, events: 30, work: func(string) time.Duration { return memoryWork }})
	}
	w, err := deployment(rec, config(route("dossier", "streaming", "llm", 1, 12*time.Second, 600*time.Millisecond)), runners...)
	if w != nil {
		defer w.close(keepLogs())
	}
	if err != nil {
		return nil, err
	}
	size := usualBody
	if trouble {
		size = longBody
	}
	prompt := strings.Repeat("x", size)
	ends := w.limitMemory()
	balancer := w.balance()
	var mu sync.Mutex
	count := map[string]int{}
	var group sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < memoryTraffic; i++ {
		g := balancer.choose(i)
		group.Go(func() {
			c := &channel{gateway: g}
			defer c.close()
			r := newRequest("/dossier/"+fmt.Sprint(i), 12*time.Second)
			r.body = prompt
			r.headers = fmt.Sprintf("Model: m\r\nToken-Usage: 6610,385\r\nPrompt-Prefix: 5c1e07a2:60,%x:6550\r\n", i+1)
			out := c.do(rec, r)
			mu.Lock()
			defer mu.Unlock()
			if out.err != nil {
				count["unanswered"]++
			} else {
				count[fmt.Sprint("status ", out.status)]++
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * memoryInterval)))
	}
	group.Wait()
	rec.add("summary %v", count)
	machines, total := 0, 0
	for i, n := range ends() {
		rec.add("summary host=%s killed for memory: %d", w.gateways[i].name, n)
		if total += n; n >= mostEnds {
			machines++
		}
	}
	if machines < mostMachines {
		return nil, nil
	}
	return []string{fmt.Sprintf("Fault: %d processes had more than memory_mb, on %d of %d machines three times or more", total, machines, len(w.gateways))}, nil
}

const (
	// cutShare is the share of the answers of half of the runners that end inside an event.
	cutShare    = 0.02
	cutCallers  = 12
	cutTraffic  = 45 * time.Second
	cutInterval = 100 * time.Millisecond
	cutEvents   = 12
	cutWork     = 240 * time.Millisecond
)

// cutEvent has a faulty runner end some of its streams inside an event.
func cutEvent(rec *record, trouble bool) ([]string, error) {
	var runners []*runner
	for i := range 6 {
		r := &runner{slots: 10, queue: 60, events: cutEvents, work: func(string) time.Duration { return cutWork }}
		if trouble && i%2 == 0 {
			r.cutsOff = func(attempt string) bool { return draw(attempt, "cut") < cutShare }
		}
		runners = append(runners, r)
	}
	resumable := route("reply", "streaming", "llm", 2, 12*time.Second, 300*time.Millisecond)
	resumable["resumable"] = true
	w, err := deployment(rec, config(resumable, route("triage", "streaming", "llm", 1, 3*time.Second, 400*time.Millisecond)), runners...)
	if w != nil {
		defer w.close(keepLogs())
	}
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	count := map[string]int{}
	var group sync.WaitGroup
	end := time.Now().Add(cutTraffic)
	for i := range cutCallers {
		path := []string{"/reply/", "/triage/"}[i%2]
		group.Go(func() {
			c := &channel{gateway: w.gateways[i%len(w.gateways)]}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				r := newRequest(path+fmt.Sprint(i), 3*time.Second)
				r.headers = fmt.Sprintf("Model: m\r\nToken-Usage: 628,84\r\nPrompt-Prefix: 5c1e07a2:60,%x:568\r\n", n*cutCallers+i+1)
				out := c.do(rec, r)
				mu.Lock()
				switch {
				case out.err != nil:
					count[path+" broken off"]++
				case out.status == http.StatusOK && out.body != stream(r.attempt, cutEvents):
					count[path+" ended as complete"]++
					rec.add("wrong attempt=%s ended as complete with %q", r.attempt, out.body[max(0, len(out.body)-40):])
				default:
					count[fmt.Sprint(path, " status ", out.status)]++
				}
				mu.Unlock()
				time.Sleep(cutInterval)
			}
		})
	}
	group.Wait()
	rec.add("summary %v", count)
	wrong := count["/reply/ ended as complete"] + count["/triage/ ended as complete"]
	if wrong == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("ORDER: %d streams ended as complete inside an event", wrong)}, nil
}

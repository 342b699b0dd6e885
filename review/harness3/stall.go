package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdPerHost is the number of clients of each host, and ownParts the number of prompt parts that each
	// of their requests names, which no other request shares.
	crowdPerHost, ownParts = 100, 1_880
	// modelRunners is the number of runners of the service that the clients ask, and crashing the number of
	// those that crash at the same moment, for crashTime.
	modelRunners, crashing = 18, 3
	crashTime              = 4500 * time.Millisecond
	// crashes is how often that happens, and crashPause the time before each.
	crashes, crashPause = 2, 10 * time.Second
	// prefillTime is the time to the first event of a stream.
	prefillTime = 300 * time.Millisecond
	// allotTime is the time for which a process has the processor in each allotPeriod: cpu_share 0.4.
	allotTime, allotPeriod = 40 * time.Millisecond, 100 * time.Millisecond
	// stallTime is how long the requests come.
	stallTime = 60 * time.Second
	// ordinaryLimit is the time limit of ordinary requests, and hangTime the time without an answer after
	// which a process counts as hung.
	ordinaryLimit, hangTime = 3 * time.Second, 6 * time.Second
)

// firstPart is the first ID of a prompt part that no request has named.
var firstPart atomic.Int64

// allot gives a host's process the processor for a part of each tenth of a second, as the platform does.
func (w *world) allot(h *host, until time.Time) {
	w.callers.Go(func() {
		for time.Now().Before(until) {
			h.signal(syscall.SIGSTOP)
			time.Sleep(allotPeriod - allotTime)
			h.signal(syscall.SIGCONT)
			time.Sleep(allotTime)
		}
	})
}

// restart starts a host's process again whenever it has ended by itself, and counts that.
func (w *world) restart(h *host, ends *atomic.Int64, until time.Time) {
	w.callers.Go(func() {
		for time.Now().Before(until) {
			h.mu.Lock()
			ended := h.ended
			h.mu.Unlock()
			select {
			case <-ended:
			case <-time.After(time.Until(until)):
				return
			}
			ends.Add(1)
			w.record.notef("%s: the process has ended by itself", h.name)
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				w.record.notef("%s: %v", h.name, err)
				return
			}
		}
	})
}

// crowd sends one request after the other, each on a channel of its own and with parts of its own.
func (w *world) crowd(h *host, parts int, until time.Time) {
	w.callers.Go(func() {
		for time.Now().Before(until) {
			id := fmt.Sprintf("%08x", attempts.Add(1))
			first := 0x10000 + int(firstPart.Add(int64(parts)))%0xe0000
			s := &sent{attempt: id, host: h.name, path: "/assist-llm/1", team: "blue", tokens: parts + 28, at: time.Now()}
			w.record.add(s)
			status, sealed := exchange(h.front, head("assist-llm", id, parts, first)+id)
			w.record.answered(s, status, sealed, "")
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// ordinary sends a request to another service four times a second, and returns the longest time for which the
// host gave no caller of it a success, with its begin.
func (w *world) ordinary(h *host, longest *time.Duration, until time.Time) {
	var last atomic.Int64
	last.Store(time.Now().UnixNano())
	w.callers.Go(func() {
		for ; time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
			w.callers.Go(func() {
				x := dossier(h, "triage-llm")
				x.prompt, x.timeout = 500, ordinaryLimit
				if s := w.send(x); s.status == http.StatusOK && s.note == "whole" {
					last.Store(time.Now().UnixNano())
				}
			})
			if gap := time.Since(time.Unix(0, last.Load())); gap > *longest {
				*longest = gap
			}
		}
	})
}

// stallOfCrash lets some runners crash while clients send requests of legal size with very many short
// prompt parts.
func stallOfCrash(w *world) (bool, error) {
	w.record.brief = true
	w.config.Limits["max_header_bytes"] = headBytes
	w.quotaTeam()
	w.config.Tenants[0]["per_s"] = 0
	if err := w.service("assist-llm", "depot-a", modelRunners); err != nil {
		return false, err
	}
	for _, r := range w.runners {
		r.events.Store(longStream)
		r.prefill.Store(int64(prefillTime))
	}
	if err := w.service("triage-llm", "depot-b", 4); err != nil {
		return false, err
	}
	w.publish()
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	parts := ordinaryParts
	if w.trouble {
		parts = ownParts
	}
	size := len(head("assist-llm", "00000000", parts, 0xeffff))
	w.record.notef("all hosts are ready; %d clients a host send heads of %d bytes (limit %d) with %d prompt parts", crowdPerHost, size, headBytes, parts)
	if size > headBytes {
		return false, fmt.Errorf("the head has %d bytes, more than the limit of %d", size, headBytes)
	}
	until := time.Now().Add(stallTime)
	for _, h := range w.hosts {
		w.allot(h, until)
	}
	longest := make([]time.Duration, len(w.hosts))
	var ends atomic.Int64
	for i, h := range w.hosts {
		w.restart(h, &ends, until)
		w.ordinary(h, &longest[i], until)
		for range crowdPerHost {
			w.crowd(h, parts, until)
		}
	}
	for i := range crashes {
		time.Sleep(crashPause)
		w.record.notef("%d of %d runners crash", crashing, modelRunners)
		for _, r := range w.runners[i*crashing : (i+1)*crashing] {
			go r.crash(w.store, crashTime)
		}
	}
	w.callers.Wait()
	hung := false
	for i, h := range w.hosts {
		w.record.notef("%s: no ordinary request got an answer for %v at most", h.name, longest[i].Round(time.Millisecond))
		hung = hung || longest[i] >= hangTime
	}
	w.record.notef("processes ended by themselves %d times", ends.Load())
	return hung || ends.Load() > 0, nil
}

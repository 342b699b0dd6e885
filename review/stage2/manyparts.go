package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

const (
	// memoryMB is the memory of a machine in the site file, and of the hosts' settings.
	memoryMB = 134
	// partsRequests is how many requests are sent, by partsSenders one after the other, and
	// partsEach how many parts the prompt of each has.
	partsRequests, partsSenders, partsEach = 1200, 4, 1800
	// endpoints is how many endpoints the users' site has for its model.
	endpoints = 9
)

// manyParts sends prompts of many short parts and compares the memory of the processes with that of
// their machines.
func manyParts(s *stage, trouble bool) (int, error) {
	for i := range endpoints {
		o := runner.Options{Slots: 10, Queue: 60, Streams: true, EventTime: time.Millisecond}
		if err := s.addRunner("llm", fmt.Sprintf("zone-%c", 'a'+i%3), o); err != nil {
			return cannotRun, err
		}
	}
	if err := s.writeTwoServices(); err != nil {
		return cannotRun, err
	}
	for i := range 2 {
		h, err := s.addHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%c", 'a'+i))
		if err != nil {
			return cannotRun, err
		}
		if err := h.start(); err != nil {
			return cannotRun, err
		}
	}
	if !s.awaitReady() {
		return cannotRun, errNotReady
	}
	time.Sleep(2 * time.Second)
	parts := 2
	if trouble {
		parts = partsEach
	}
	s.note("%d requests, each with %d parts of one token, %d at a time", partsRequests, parts, partsSenders)
	var served, next atomic.Int64
	var wg sync.WaitGroup
	for range partsSenders {
		wg.Go(func() {
			for n := next.Add(1); n <= partsRequests; n = next.Add(1) {
				text := promptOf(n, parts)
				status, err := s.sendPrompt(s.hosts[n%int64(len(s.hosts))], "/stream/x", text)
				if status == http.StatusOK && err == nil {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	s.note("served: %d of %d", served.Load(), partsRequests)
	over := 0
	for _, h := range s.hosts {
		mb, err := h.peakMemory()
		if err != nil {
			return cannotRun, err
		}
		s.note("%s: %d MB of memory at the peak, of %d", h.name, mb, memoryMB)
		if mb > memoryMB {
			over++
		}
	}
	if over > 0 {
		return broken, nil
	}
	return held, nil
}

// promptOf returns the parts of the nth prompt, which are in no other one.
func promptOf(n int64, parts int) string {
	var b strings.Builder
	for i := range int64(parts) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", n*int64(parts)+i)
	}
	return b.String()
}

// peakMemory returns the most memory that the host's process has had, in MB.
func (h *host) peakMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("%s: no VmHWM", h.name)
}

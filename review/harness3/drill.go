package main

import (
	"syscall"
	"time"
)

const (
	// drillAway is how long the store is away, and drillAge how old the copy is from which it comes back.
	drillAway, drillAge = 500 * time.Millisecond, 6 * time.Second
	// drillAt is the time of the drill after the first start of the hosts.
	drillAt = 4 * time.Second
)

// quotaDrill lets the store come back from a copy of seconds before, soon after the hosts' first start.
// Later, one host is stopped and started as planned.
func quotaDrill(w *world) (bool, error) {
	w.quotaTeam()
	if err := w.service("assist-llm", "depot-b", 8); err != nil {
		return false, err
	}
	w.publish()
	time.Sleep(drillAge)
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	w.record.notef("all hosts are ready")
	time.Sleep(drillAt)
	if w.trouble {
		w.record.notef("drill: the store is away")
		copied := w.store.drill(drillAway, drillAge)
		w.publish()
		for _, r := range w.runners {
			r.report(w.store)
		}
		w.record.notef("drill: the store is back from its copy of second %.3f; the operator and the runners have written again", w.record.seconds(copied))
	}
	end := time.Now().Add(50 * time.Second)
	b, c := w.hosts[1], w.hosts[2]
	for _, h := range []*host{b, c} {
		w.load(dossier(h, "assist-llm"), 1.2*teamRate/10_000, end)
	}
	time.Sleep(6 * time.Second)
	w.record.notef("%s is stopped", c.name)
	c.signal(syscall.SIGTERM)
	c.wait()
	if err := c.start(); err != nil {
		return false, err
	}
	if err := waitReady(c); err != nil {
		return false, err
	}
	w.record.notef("%s is ready again", c.name)
	w.callers.Wait()
	return w.judgeQuota(), nil
}

package main

import (
	"syscall"
	"time"
)

const (
	// revokeBound is the bound of the rule, revoke_ms.
	revokeBound = 5 * time.Second
	// beforeDrill is the time from the confirmation of the version that takes the key away to the drill, and
	// revokeDrillAge the age of the copy from which the store comes back.
	beforeDrill, revokeDrillAge = 6 * time.Second, 8 * time.Second
	// operatorDelay is how long the operator takes to write again after the store is back.
	operatorDelay = 1 * time.Second
	// revokedRate is the number of requests with the key that was taken away, a second at a host.
	revokedRate = 20
)

// revokedKey takes a key away, and lets the store come back from an older copy seconds later, while one host
// is stopped and started as planned.
func revokedKey(w *world) (bool, error) {
	w.quotaTeam()
	w.config.Tenants[0]["per_s"] = 0
	w.config.Tenants[0]["api_keys"] = []string{"blue-key-1", "blue-key-2"}
	if err := w.service("assist-llm", "depot-b", 8); err != nil {
		return false, err
	}
	w.publish()
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	w.record.notef("all hosts are ready")
	c := w.hosts[2]
	end := time.Now().Add(32 * time.Second)
	for _, h := range w.hosts {
		x := dossier(h, "assist-llm")
		x.prompt, x.key, x.team = 500, "blue-key-2", "revoked"
		w.load(x, revokedRate, end)
	}
	time.Sleep(12 * time.Second)
	w.config.Version += 3
	w.config.Tenants[0]["api_keys"] = []string{"blue-key-1"}
	w.publish()
	confirmed := time.Now()
	w.record.notef("version %d takes blue-key-2 away: confirmed", w.config.Version)
	time.Sleep(beforeDrill - 4*time.Second)
	w.record.notef("%s is stopped", c.name)
	c.signal(syscall.SIGTERM)
	c.wait()
	time.Sleep(time.Until(confirmed.Add(beforeDrill)))
	if w.trouble {
		w.record.notef("drill: the store is away")
		copied := w.store.drill(drillAway, revokeDrillAge)
		w.record.notef("drill: the store is back from its copy of second %.3f", w.record.seconds(copied))
		for _, r := range w.runners {
			r.report(w.store)
		}
	}
	w.callers.Go(func() {
		time.Sleep(operatorDelay)
		w.publish()
		w.record.notef("the operator has written version %d again", w.config.Version)
	})
	if err := c.start(); err != nil {
		return false, err
	}
	if err := waitReady(c); err != nil {
		return false, err
	}
	w.record.notef("%s is ready again", c.name)
	w.callers.Wait()
	return w.judgeRevoked(confirmed), nil
}

// judgeRevoked checks whether requests with the key ran that were sent later than the bound.
func (w *world) judgeRevoked(confirmed time.Time) bool {
	r := w.record
	r.mu.Lock()
	ran, late, at := r.ranOf(), 0, time.Time{}
	for _, x := range r.sent {
		if _, ok := ran[x.attempt]; ok && x.team == "revoked" && x.at.After(confirmed.Add(revokeBound)) {
			late++
			at = x.at
		}
	}
	r.mu.Unlock()
	r.notef("CONFIG: %d requests with the key ran that were sent later than %v after the confirmation, the last at second %.3f",
		late, revokeBound, r.seconds(at))
	return late > 0
}

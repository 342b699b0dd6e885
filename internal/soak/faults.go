package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

// fault spoils something for a time. It blocks until it has been put right.
type fault struct {
	name string
	do   func(w *world, d draws)
}

// draws are what a fault has drawn beforehand, so that a seed always means the same.
type draws struct {
	a, b int
	span time.Duration
}

const (
	// slowStore is what a slow store adds to each answer, lateWrite how late a write may
	// be done after its answer was lost.
	slowStore = 300 * time.Millisecond
	lateWrite = 500 * time.Millisecond
	// mostSpoilt bounds the runs of an endpoint that one fault loses or fails.
	mostSpoilt = 5
	// mostTurned bounds the requests that one fault turns away.
	mostTurned = 8
)

// refusals are the statuses of a store that refuses calls.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}

// oddRows are values of rows among those of endpoints that name none.
var oddRows = []string{
	strings.Repeat("[", 40_000), `{"service":"app","slots":1e999}`, "\xff\xfe",
	`{"service":"app","address":"127.0.0.1:70000","zone":"zone-0","slots":8,"state":"ready","sequence":1,"born":1}`,
	`{"service":"app","address":"127.0.0.1:1","zone":"zone-0","slots":9223372036854775807,"state":"ready","sequence":1,"born":1}`,
}

// faults are all kinds of them. Those that stand here twice are drawn twice as often: the
// users' bounds are about planned work.
var faults = []fault{
	{"term", func(w *world, d draws) { w.term(w.hosts[d.a%hosts]) }},
	{"term", func(w *world, d draws) { w.term(w.hosts[d.a%hosts]) }},
	{"kill", func(w *world, d draws) { w.kill(w.hosts[d.a%hosts], d.span/2) }},
	{"kill all", func(w *world, d draws) {
		done := make(chan struct{})
		for _, h := range w.hosts {
			go func() {
				w.kill(h, d.span/4)
				done <- struct{}{}
			}()
		}
		for range w.hosts {
			<-done
		}
	}},
	{"pause", func(w *world, d draws) {
		h := w.hosts[d.a%hosts]
		w.during("pause", h.name, d.span, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })
	}},
	{"hup", func(w *world, d draws) { w.hosts[d.a%hosts].hup() }},
	{"store refuses", func(w *world, d draws) { w.spoilStore(d, store.Faults{Refuse: refusals[d.a%len(refusals)]}) }},
	{"store silent", func(w *world, d draws) { w.spoilStore(d, store.Faults{Silent: true}) }},
	{"store slow", func(w *world, d draws) { w.spoilStore(d, store.Faults{Delay: slowStore}) }},
	{"store loses answers", func(w *world, d draws) {
		w.spoilStore(d, store.Faults{LoseWrites: true, LateWrites: time.Duration(d.a%2) * lateWrite})
	}},
	{"store forgets", func(w *world, _ draws) { w.store.Forget() }},
	{"store drill", func(w *world, d draws) { w.drill(d) }},
	{"store drill", func(w *world, d draws) { w.drill(d) }},
	{"store link", func(w *world, d draws) {
		h := w.hosts[d.a%hosts]
		w.spoilLink("store link", h.name, h.store, d)
	}},
	{"endpoint link", func(w *world, d draws) {
		if s := w.pick(d.a); s != nil {
			_, p := w.process(s)
			w.spoilLink("endpoint link", "", p, d)
		}
	}},
	{"endpoint crash", func(w *world, d draws) { w.crash(d) }},
	{"poison", func(w *world, d draws) { w.sendPoison(w.life, d.span) }},
	{"answers lost", func(w *world, d draws) {
		if s := w.pick(d.a); s != nil {
			end := w.spoil("answers lost", "")
			r, _ := w.process(s)
			r.Lose(1 + d.b%mostSpoilt)
			time.Sleep(d.span)
			r.Lose(0)
			end()
		}
	}},
	{"runs fail", func(w *world, d draws) {
		if s := w.pick(d.a); s != nil {
			r, _ := w.process(s)
			r.Fail(1 + d.b%mostSpoilt)
		}
	}},
	{"answers garbled", func(w *world, d draws) { w.garble(d) }},
	{"answers garbled", func(w *world, d draws) { w.garble(d) }},
	{"endpoint leaves", func(w *world, d draws) { w.leave(d) }},
	{"endpoint leaves", func(w *world, d draws) { w.leave(d) }},
	{"endpoint says it leaves", func(w *world, d draws) { w.sayLeaving(d) }},
	{"endpoint says it leaves", func(w *world, d draws) { w.sayLeaving(d) }},
	{"endpoint turns away", func(w *world, d draws) {
		if s := w.pick(d.a); s != nil {
			r, _ := w.process(s)
			r.TurnAway(1+d.b%mostTurned, d.span)
		}
	}},
	{"odd row", func(w *world, d draws) {
		key := fmt.Sprintf("odd-%d", d.b)
		w.store.Put("servers", "", key, []byte(oddRows[d.a%len(oddRows)]))
		time.Sleep(d.span)
		w.store.Remove("servers", "", key)
	}},
	{"prompt part crashes engines", func(w *world, d draws) { w.sendPoisonPart(w.life, w.hosts, 2*d.span) }},
	{"odd figures", func(w *world, d draws) { w.sendOdd(d, "odd", setOddFigure) }},
	{"half-closed callers", func(w *world, d draws) { w.sendOdd(d, "half", closeHalf) }},
	{"key revoked", func(w *world, d draws) { w.revoke() }},
	{"route changes", func(w *world, d draws) { w.changeRoutes(d) }},
	{"route changes", func(w *world, d draws) { w.changeRoutes(d) }},
}

// during spoils something for a time.
func (w *world) during(what, host string, span time.Duration, begin, end func()) {
	ended := w.spoil(what, host)
	begin()
	time.Sleep(span)
	end()
	ended()
}

// term stops a host as planned and starts it again.
func (w *world) term(h *host) {
	ended := w.spoil("term", h.name)
	defer ended()
	h.signal(syscall.SIGTERM)
	began := time.Now()
	if !h.wait(grace + time.Second) {
		// A host that was paused in the meantime can't keep to the time.
		w.mu.Lock()
		calm := w.calm(began, time.Now(), "term", h.name)
		w.mu.Unlock()
		if calm {
			w.fail("%s still runs %v after SIGTERM", h.name, grace)
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait(grace)
	}
	w.restart(h)
}

// kill ends a host's process and starts it again after a time.
func (w *world) kill(h *host, down time.Duration) {
	ended := w.spoil("kill", h.name)
	defer ended()
	h.signal(syscall.SIGKILL)
	h.wait(grace)
	time.Sleep(down)
	w.restart(h)
}

// restart starts a host's process unless one runs.
func (w *world) restart(h *host) {
	if err := h.start(w.program); err != nil {
		w.fail("%s does not start: %v", h.name, err)
	}
}

// spoilStore lets the store misbehave for a time.
func (w *world) spoilStore(d draws, f store.Faults) {
	w.during("store", "", d.span, func() { w.store.Set(f) }, func() { w.store.Set(store.Faults{}) })
}

// spoilLink spoils a proxy's connections for a time, or resets them once.
func (w *world) spoilLink(what, host string, p *proxy, d draws) {
	modes := []mode{pass, delayed, silent, toClient, toServer}
	m := modes[d.b%len(modes)]
	if m == pass {
		w.during(what, host, 0, p.reset, func() {})
		return
	}
	w.during(what, host, d.span, func() { p.set(m) }, func() {
		p.set(pass)
		// What was held back must not come after all: the connection is dead.
		p.reset()
	})
}

// garble lets an endpoint spoil some of its answers.
func (w *world) garble(d draws) {
	if s := w.pick(d.a); s != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.runner.Garble(1+d.b%mostSpoilt, runner.Garbling(d.b%int(runner.Garblings)))
	}
}

// pick returns an endpoint that stays.
func (w *world) pick(n int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*server
	for _, s := range w.servers {
		if s.leaves.IsZero() {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// process returns an endpoint's present process and its proxy, which another fault may replace.
func (w *world) process(s *server) (*runner.Runner, *proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.runner, s.proxy
}

// crash ends an endpoint's process and starts it again.
func (w *world) crash(d draws) {
	s := w.pick(d.a)
	if s == nil {
		return
	}
	defer w.spoil("endpoint crash", "")()
	r, _ := w.process(s)
	_ = r.Close()
	w.bringBack(s, d.span)
}

// bringBack starts an endpoint whose process has ended again after a time, at another
// address and, unless w.crashMode says otherwise, with the same id.
func (w *world) bringBack(s *server, down time.Duration) {
	up := time.Now().Add(down)
	if w.crashMode.silent {
		time.Sleep(down)
	}
	time.Sleep(w.crashMode.linger)
	w.mu.Lock()
	s.proxy.close()
	w.mu.Unlock()
	time.Sleep(time.Until(up))
	w.mu.Lock()
	defer w.mu.Unlock()
	before := *s
	w.all = append(w.all, &before)
	if w.crashMode.renamed {
		w.store.Remove("servers", "", s.id)
		s.id = fmt.Sprintf("%s-%d", s.target, len(w.all))
	}
	if err := w.begin(s); err != nil {
		w.broken = append(w.broken, fmt.Sprintf("endpoint %s does not start: %v", s.id, err))
		return
	}
	w.writeServer(s)
}

// leave takes an endpoint away as planned and puts another in its place.
func (w *world) leave(d draws) {
	s := w.pick(d.a)
	if s == nil {
		return
	}
	if err := w.addServer(s.target); err != nil {
		w.fail("endpoint does not start: %v", err)
		return
	}
	w.mu.Lock()
	s.leaves = time.Now()
	w.writeServer(s)
	w.mu.Unlock()
	time.Sleep(drainBound + d.span/2)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.servers {
		if x == s {
			w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
			break
		}
	}
	w.store.Remove("servers", "", s.id)
}

// sayLeaving lets an endpoint say in its answers alone that it leaves, and starts it anew
// after a time.
func (w *world) sayLeaving(d draws) {
	s := w.pick(d.a)
	if s == nil {
		return
	}
	w.mu.Lock()
	r := s.runner
	w.mu.Unlock()
	r.Leave()
	time.Sleep(drainBound + d.span)
	_ = r.Close()
	w.bringBack(s, 0)
}

// revoke takes the oldest key away and adds a new one.
func (w *world) revoke() {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.config.keys[0]
	added := fmt.Sprintf("key-%d", len(w.revoked)+firstKeys)
	w.config.keys = append(w.config.keys[1:], added)
	w.writeConfiguration()
	w.revoked[old], w.keyed[added] = time.Now(), time.Now()
}

// changeRoutes adds a route, or removes one that was added.
func (w *world) changeRoutes(d draws) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.config.routes); n > 4 && d.b%2 == 0 {
		name := w.config.routes[n-1]
		w.config.routes = w.config.routes[:n-1]
		w.writeConfiguration()
		w.removed[name] = time.Now()
		return
	}
	name := fmt.Sprintf("extra-%d", len(w.added))
	w.config.routes = append(w.config.routes, name)
	w.writeConfiguration()
	w.added[name] = time.Now()
}

package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// sweep walks over all notes and runs after a change of the hosts and brings
// them to the holders that took their keys over, a batch at a time.
type sweep struct {
	// entries lists every note and run once, in the order of their coming;
	// those that are gone are left out when the walk comes by.
	entries []entryRef
	// at is the next entry of the walk; it is over at len(entries).
	at   int
	on   bool
	next time.Duration
	// again lists the entries that some holder has still to confirm; they are
	// tried again at againAt.
	again   []entryRef
	againAt time.Duration
	tries   int
}

// add appends an entry.
func (w *sweep) add(ref entryRef) {
	w.entries = append(w.entries, ref)
}

// wake returns when the walk goes on or holders are tried again. During a cut
// they are not: its end begins a walk.
func (w *sweep) wake(cut bool) (time.Duration, bool) {
	if w.on {
		return w.next, true
	}
	return w.againAt, len(w.again) > 0 && !cut
}

// startSweep begins a walk, or begins it anew.
func (s *System) startSweep(now time.Duration) {
	s.sweep.on = true
	s.sweep.at = 0
	s.sweep.again = nil
	s.sweep.tries = 0
	s.sweep.next = now
}

// sweepSome does the next batch of the walk, or tries again what no holder has
// confirmed.
func (s *System) sweepSome(now time.Duration, out *system.Outbox) {
	w := &s.sweep
	if !w.on && len(w.entries) > 2*(len(s.notes)+len(s.runs))+sweepSlack {
		s.startSweep(now)
	}
	if at, ok := w.wake(s.hosts.cut); !ok || now < at {
		return
	}
	if !w.on {
		s.bringAgain(now, out)
		return
	}
	w.next = now + sweepInterval
	end := min(w.at+sweepBatch, len(w.entries))
	kept := w.entries[:w.at]
	for _, ref := range w.entries[w.at:end] {
		if s.bring(now, ref, out) {
			kept = append(kept, ref)
		}
	}
	w.at = len(kept)
	w.entries = append(kept, w.entries[end:]...)
	if w.at == len(w.entries) {
		w.on = false
		w.againAt = now + sweepAgain
	}
}

// bringAgain brings once more what some holder has still to confirm.
func (s *System) bringAgain(now time.Duration, out *system.Outbox) {
	again := s.sweep.again
	s.sweep.again = nil
	s.sweep.againAt = now + sweepAgain
	if s.sweep.tries++; s.sweep.tries > sweepTries {
		return
	}
	for _, ref := range again {
		s.bring(now, ref, out)
	}
}

// bring brings one entry to the holders that are new to it. It returns false
// when the entry is gone.
func (s *System) bring(now time.Duration, ref entryRef, out *system.Outbox) bool {
	if r := s.runs[ref.request]; r != nil {
		known := noteOf(r.seq, &r.Run, "")
		known.GetKeyNote().Sure = true
		s.bringTo(ref, r.holders, known, r.Key, out)
		return true
	}
	n := s.notes[ref.key]
	if n == nil {
		return false
	}
	if n.seq == 0 {
		s.seq++
		n.seq = s.seq
		s.asked[n.seq] = ref
	}
	copied := Run{Key: n.key, Request: n.request, Fingerprint: n.fingerprint}
	env := noteOf(n.seq, &copied, n.custodian)
	env.GetKeyNote().Sure = n.sure(now)
	s.bringTo(ref, n.holders, env, n.key, out)
	return true
}

// bringTo sends a note to the holders of its key that have not confirmed it. A
// holder may refuse at first, because another run that will give way is asking
// for the key.
func (s *System) bringTo(ref entryRef, confirmed []holder, note *peerpb.Envelope, key string, out *system.Outbox) {
	missing := false
	for _, h := range s.hosts.holders(key) {
		own := ref.key != "" && h.host == s.cfg.Self
		if !own && !slices.Contains(confirmed, h) {
			missing = true
			out.Send(h.host, note)
		}
	}
	if missing {
		s.sweep.again = append(s.sweep.again, ref)
	}
}

package keyledger

import (
	"slices"
	"time"

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
	// again says that some holder has still to confirm.
	again bool
}

// add appends an entry.
func (w *sweep) add(ref entryRef) {
	w.entries = append(w.entries, ref)
}

// active reports whether a walk is under way.
func (w *sweep) active() bool {
	return w.on
}

// startSweep begins a walk, or begins it anew.
func (s *System) startSweep(now time.Duration) {
	s.sweep.on = true
	s.sweep.at = 0
	s.sweep.again = false
	s.sweep.next = now
}

// sweepSome does the next batch of the walk.
func (s *System) sweepSome(now time.Duration, out *system.Outbox) {
	w := &s.sweep
	if !w.on && len(w.entries) > 2*(len(s.notes)+len(s.runs))+sweepSlack {
		s.startSweep(now)
	}
	if !w.on || now < w.next {
		return
	}
	w.next = now + sweepInterval
	end := min(w.at+sweepBatch, len(w.entries))
	kept := w.entries[:w.at]
	for _, ref := range w.entries[w.at:end] {
		if s.bring(ref, out) {
			kept = append(kept, ref)
		}
	}
	w.at = len(kept)
	w.entries = append(kept, w.entries[end:]...)
	if w.at == len(w.entries) {
		s.endSweep(now)
	}
}

// endSweep ends the walk. When a holder has still to confirm, another follows;
// during a cut it waits for the cut's end.
func (s *System) endSweep(now time.Duration) {
	again := s.sweep.again && !s.hosts.cut
	s.sweep.on = false
	if again {
		s.startSweep(now)
		s.sweep.next = now + sweepAgain
	}
}

// bring brings one entry to the holders that are new to it. It returns false
// when the entry is gone.
func (s *System) bring(ref entryRef, out *system.Outbox) bool {
	if ref.request != "" {
		r := s.runs[ref.request]
		if r != nil {
			s.bringRun(r, out)
		}
		return r != nil
	}
	n := s.notes[ref.key]
	if n != nil {
		s.bringNote(n, out)
	}
	return n != nil
}

// bringRun asks the holders that haven't confirmed a run to note it.
func (s *System) bringRun(r *run, out *system.Outbox) {
	for _, h := range s.hosts.holders(r.Key) {
		if !slices.Contains(r.holders, h) {
			s.sweep.again = true
			out.Send(h.host, noteOf(r.seq, &r.Run, ""))
		}
	}
}

// bringNote copies a note to the other holders that are new to its key, in
// case its custodian is lost.
func (s *System) bringNote(n *note, out *system.Outbox) {
	holders := s.hosts.holders(n.key)
	for _, h := range holders {
		if h.host != s.cfg.Self && !slices.Contains(n.holders, h) {
			copied := Run{Key: n.key, Request: n.request, Fingerprint: n.fingerprint}
			out.Send(h.host, noteOf(0, &copied, n.custodian))
		}
	}
	n.holders = holders
}

package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// rebalance replicates all records and runs to their new holders after a change
// of the host set, one batch at a time.
type rebalance struct {
	// entries lists every record and run once, in order of arrival. A pass
	// removes the entries whose record or run is gone.
	entries []entryRef
	// cursor is the index of the next entry; the pass ends at len(entries).
	cursor int
	active bool
	nextAt time.Duration
	// unconfirmed lists the entries that some holder has yet to confirm. They
	// are sent again at retryAt.
	unconfirmed []entryRef
	retryAt     time.Duration
	retries     int
}

// add appends an entry.
func (r *rebalance) add(ref entryRef) {
	r.entries = append(r.entries, ref)
}

// wake returns when the pass continues or unconfirmed entries are sent again.
// They aren't sent again during a partition, since its end starts a new pass.
func (r *rebalance) wake(partitioned bool) (time.Duration, bool) {
	if r.active {
		return r.nextAt, true
	}
	return r.retryAt, len(r.unconfirmed) > 0 && !partitioned
}

// startRebalance starts a pass, or restarts it.
func (s *System) startRebalance(now time.Duration) {
	s.rebalance.active = true
	s.rebalance.cursor = 0
	s.rebalance.unconfirmed = nil
	s.rebalance.retries = 0
	s.rebalance.nextAt = now
}

// stepRebalance replicates the next batch of the pass, or sends unconfirmed
// entries again.
func (s *System) stepRebalance(now time.Duration, out *system.Outbox) {
	w := &s.rebalance
	if !w.active && len(w.entries) > 2*(len(s.records)+len(s.runs))+maxStaleEntries {
		s.startRebalance(now)
	}
	if at, ok := w.wake(s.hosts.partitioned); !ok || now < at {
		return
	}
	if !w.active {
		s.retryUnconfirmed(now, out)
		return
	}
	w.nextAt = now + rebalanceInterval
	end := min(w.cursor+rebalanceBatch, len(w.entries))
	kept := w.entries[:w.cursor]
	for _, ref := range w.entries[w.cursor:end] {
		if s.replicate(now, ref, out) {
			kept = append(kept, ref)
		}
	}
	w.cursor = len(kept)
	w.entries = append(kept, w.entries[end:]...)
	if w.cursor == len(w.entries) {
		w.active = false
		w.retryAt = now + rebalanceRetryInterval
	}
}

// retryUnconfirmed resends the entries that some holder has yet to confirm, up to
// rebalanceMaxRetries times.
func (s *System) retryUnconfirmed(now time.Duration, out *system.Outbox) {
	again := s.rebalance.unconfirmed
	s.rebalance.unconfirmed = nil
	s.rebalance.retryAt = now + rebalanceRetryInterval
	if s.rebalance.retries++; s.rebalance.retries > rebalanceMaxRetries {
		return
	}
	for _, ref := range again {
		s.replicate(now, ref, out)
	}
}

// replicate sends one entry to the holders that haven't confirmed it. It returns
// false if the entry's record or run is gone.
func (s *System) replicate(now time.Duration, ref entryRef, out *system.Outbox) bool {
	if r := s.runs[ref.request]; r != nil {
		message := noteMessage(r.seq, &r.Run, "")
		message.GetKeyNote().Sure = true
		s.replicateTo(ref, r.holders, message, r.Key, out)
		return true
	}
	n := s.records[ref.key]
	if n == nil {
		return false
	}
	if n.seq == 0 {
		s.seq++
		n.seq = s.seq
		s.refBySeq[n.seq] = ref
	}
	recorded := Run{Key: n.key, Request: n.request, Fingerprint: n.fingerprint}
	message := noteMessage(n.seq, &recorded, n.custodian)
	message.GetKeyNote().Sure = n.mayHaveRun(now)
	s.replicateTo(ref, n.holders, message, n.key, out)
	return true
}

// replicateTo sends a record to the holders of its key that have not confirmed it.
// A holder may refuse at first, because another run that will yield is asking for
// the key.
func (s *System) replicateTo(ref entryRef, confirmed []holder, note *peerpb.Envelope, key string, out *system.Outbox) {
	missing := false
	for _, h := range s.hosts.holders(key) {
		own := ref.key != "" && h.host == s.cfg.Self
		if !own && !slices.Contains(confirmed, h) {
			missing = true
			out.Send(h.host, note)
		}
	}
	if missing {
		s.rebalance.unconfirmed = append(s.rebalance.unconfirmed, ref)
	}
}

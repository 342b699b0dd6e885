package claim

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// RowFence is the key of the retry fence: a time, in milliseconds of Unix time,
// that never moves back. Claims under keys created before it may be removed. An
// insert under a timed key is conditional on the version of the fence that the
// key was checked against, so that a host with an outdated fence can't recreate
// a removed claim.
const RowFence = "claim-fence"

// maxKeyClockSkew is how far in the future a key's creation time may lie.
const maxKeyClockSkew = 5 * time.Minute

// fence is this host's copy of the retry fence.
type fence struct {
	// known is set if unixMs and version have been read and may be current.
	known  bool
	unixMs int64
	// version is 0 while there is no fence.
	version     uint64
	readPending bool
	tries       int
	timer       timer
}

// ensureKnown starts a read of the fence if it isn't known.
func (f *fence) ensureKnown(s *System, out *system.Outbox) {
	if f.known || f.readPending || f.timer.set {
		return
	}
	f.readPending = true
	s.call(f, system.Call{Kind: system.CallGet, Key: RowFence}, out)
}

// reread invalidates the fence and reads it again.
func (f *fence) reread(s *System, out *system.Outbox) {
	f.known = false
	f.ensureKnown(s, out)
}

func (f *fence) tick(s *System, now time.Duration, out *system.Outbox) {
	if f.timer.fire(now) {
		f.ensureKnown(s, out)
	}
}

func (f *fence) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	f.readPending = false
	if errors.Is(r.Err, platform.ErrNotFound) {
		f.update(s, f.unixMs, 0, out)
		return
	}
	at, ok := fenceTime(r)
	if !ok {
		f.timer.start(now + backoff(guardFirstRetry, guardLastRetry, f.tries))
		f.tries++
		return
	}
	f.update(s, at, r.Rows[0].Version, out)
}

// update sets the fence to one that was read or written.
func (f *fence) update(s *System, unixMs int64, version uint64, out *system.Outbox) {
	f.known = true
	f.tries = 0
	f.unixMs = max(f.unixMs, unixMs)
	f.version = version
	s.resumeWaiting(out)
}

// fenceTime returns the time in a fence row. It returns false if the read failed.
func fenceTime(r system.Reply) (int64, bool) {
	if r.Err != nil || len(r.Rows) == 0 {
		return 0, false
	}
	at, err := strconv.ParseInt(string(r.Rows[0].Value), 10, 64)
	return at, err == nil
}

// expiryRefusal returns a refusal for a key whose creation time lies before the
// fence or too far in the future, and nil for any other key. Whether a key before
// the fence has run is unknown, since its claim may have been removed.
func (s *System) expiryRefusal(req Request, wallMs int64) Result {
	created, ok := keyTime(req.Key)
	if !ok {
		return nil
	}
	if created > wallMs+maxKeyClockSkew.Milliseconds() {
		return refuse(req.ID, result.KeyExpired, "the key's creation time lies in the future", 0)
	}
	if created < s.fence.unixMs {
		return refuse(req.ID, result.KeyExpired, "the key is older than the claims that are kept", 0)
	}
	return nil
}

// claimMayBeRemoved reports whether a timed key is so old that the fence may have
// passed it since the fence was last read. It assumes that the hosts' clocks
// differ by less than half of the retention.
func (s *System) claimMayBeRemoved(req Request, wallMs int64) bool {
	created, ok := keyTime(req.Key)
	return ok && wallMs-created > s.cfg.Retention.Milliseconds()/2
}

package claim

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// RowFence is the row of the retry fence: a time, in milliseconds of Unix
// time, that never moves back. Claims under keys created before it may be
// removed. An insert under a timed key is conditional on the version of the
// fence that the key was found to lie behind, so that a removed claim can't be
// made again by a host that hasn't heard of the fence.
const RowFence = "claim-fence"

// maxAhead is how far the creation time of a key may lie in the future.
const maxAhead = 5 * time.Minute

// fence is what this host has read of the fence.
type fence struct {
	// known says that at and version are those of some read.
	known bool
	at    int64
	// version is 0 while there is no fence.
	version uint64
	busy    bool
	tries   int
	timer   timer
}

// want has the fence read, if it isn't known.
func (f *fence) want(s *System, out *system.Outbox) {
	if f.known || f.busy || f.timer.set {
		return
	}
	f.busy = true
	s.call(f, system.Call{Kind: system.CallGet, Key: RowFence}, out)
}

// check has the fence read anew.
func (f *fence) check(s *System, out *system.Outbox) {
	f.known = false
	f.want(s, out)
}

func (f *fence) tick(s *System, now time.Duration, out *system.Outbox) {
	if f.timer.fire(now) {
		f.want(s, out)
	}
}

func (f *fence) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	f.busy = false
	if errors.Is(r.Err, platform.ErrNotFound) {
		f.learn(s, f.at, 0, out)
		return
	}
	at, ok := fenceTime(r)
	if !ok {
		f.timer.start(now + backoff(guardFirstRetry, guardLastRetry, f.tries))
		f.tries++
		return
	}
	f.learn(s, at, r.Rows[0].Version, out)
}

// learn takes a fence that was read or written.
func (f *fence) learn(s *System, at int64, version uint64, out *system.Outbox) {
	f.known = true
	f.tries = 0
	f.at = max(f.at, at)
	f.version = version
	s.resume(out)
}

// fenceTime returns the time in a read fence row.
func fenceTime(r system.Reply) (int64, bool) {
	if r.Err != nil || len(r.Rows) == 0 {
		return 0, false
	}
	at, err := strconv.ParseInt(string(r.Rows[0].Value), 10, 64)
	return at, err == nil
}

// expired returns the refusal of a key that lies behind the fence or too far
// in the future, and nil for other keys. Whether the key ran is not known: the
// claim that would tell may have been removed.
func (s *System) expired(req Request, wall int64) Result {
	created, ok := keyTime(req.Key)
	if !ok {
		return nil
	}
	if created > wall+maxAhead.Milliseconds() {
		return refuse(req.ID, result.KeyExpired, "the key's creation time lies in the future", 0)
	}
	if created < s.fence.at {
		return refuse(req.ID, result.KeyExpired, "the key is older than the claims that are kept", 0)
	}
	return nil
}

// mayBeRemoved reports whether a timed key is so old that the fence may have
// passed it since the fence was last read, clocks being off by less than half
// of the retention.
func (s *System) mayBeRemoved(req Request, wall int64) bool {
	created, ok := keyTime(req.Key)
	return ok && wall-created > s.cfg.Retention.Milliseconds()/2
}

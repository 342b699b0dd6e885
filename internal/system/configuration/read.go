package configuration

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Errors of reads.
var (
	errNoReply  = errors.New("configuration: no reply from the platform")
	errChanging = errors.New("configuration: resources kept changing while they were read")
)

// stage is the stage of a read.
type stage int

// Stages of a read, in order. A read ends after the first if there is nothing
// newer.
const (
	// stageRevision reads the revision row.
	stageRevision stage = iota
	// stageRows reads the resources page by page.
	stageRows
	// stageConfirm reads the revision row again. If it is unchanged, the rows
	// belong to its revision.
	stageConfirm
)

// read is a read of the table in progress.
type read struct {
	stage    stage
	token    uint64
	deadline time.Duration
	attempts int
	// version is the version of the revision row, revision its content.
	version  uint64
	revision uint64
	rows     []platform.Row
}

// PollNow makes the next read due at once, for a host that has just changed the
// configuration itself.
func (s *System) PollNow(now time.Duration) {
	s.nextPoll = min(s.nextPoll, now)
}

// poller reports whether this host polls the revision frequently.
func (s *System) poller() bool {
	hosts := s.cfg.View.Alive(s.cfg.Domain)
	pollers := rendezvous.Pick("configuration/poll", hosts, pollersPerDomain)
	return slices.Contains(pollers, s.cfg.Self)
}

// interval returns the time to the next read, with jitter. A host without a
// configuration reads as often as a poller.
func (s *System) interval() time.Duration {
	interval := PollInterval
	if s.current != nil && !s.poller() {
		hosts := len(s.cfg.View.Alive(s.cfg.Domain))
		interval = max(minNonPollerInterval, time.Duration(hosts)*nonPollerInterval)
	}
	// Jitter of 10 % either way spreads the reads of hosts that started together.
	return interval - interval/10 + time.Duration(s.rand.Int64N(int64(interval)/5))
}

// startRead starts a read with the revision row.
func (s *System) startRead(now time.Duration, out *system.Outbox) {
	s.read = &read{}
	s.call(now, stageRevision, system.Call{Kind: system.CallGet, Key: resource.RevisionKey}, out)
}

// endRead ends the read with a result and schedules the next one.
func (s *System) endRead(now time.Duration, err error) {
	s.read = nil
	s.status.LastError = err
	s.nextPoll = now + s.interval()
}

// call sends the next call of the read.
func (s *System) call(now time.Duration, at stage, c system.Call, out *system.Outbox) {
	s.token++
	s.read.stage = at
	s.read.token = s.token
	s.read.deadline = now + callTimeout
	c.Owner = system.OwnerConfiguration
	c.Token = s.token
	out.Call(c)
}

// Reply handles the result of a call. Results of abandoned calls are ignored.
func (s *System) Reply(now time.Duration, reply system.Reply, out *system.Outbox) {
	if s.read == nil || reply.Token != s.read.token {
		return
	}
	missing := errors.Is(reply.Err, platform.ErrNotFound)
	if reply.Err != nil && !missing {
		s.endRead(now, reply.Err)
		return
	}
	s.status.Contacted = true
	s.status.LastContact = now
	if missing {
		// No configuration has been accepted yet.
		s.endRead(now, nil)
		return
	}
	switch s.read.stage {
	case stageRevision:
		s.onRevision(now, reply, out)
	case stageRows:
		s.onRows(now, reply, out)
	case stageConfirm:
		s.onConfirm(now, reply, out)
	}
}

// onRevision continues the read if the table has a newer revision, and ends it
// otherwise.
func (s *System) onRevision(now time.Duration, reply system.Reply, out *system.Outbox) {
	if err := s.recordRevision(reply); err != nil {
		s.endRead(now, err)
		return
	}
	if s.read.revision <= s.revision() {
		s.endRead(now, nil)
		return
	}
	s.startRows(now, out)
}

// recordRevision stores the revision row of a reply in the read.
func (s *System) recordRevision(reply system.Reply) error {
	if len(reply.Rows) != 1 {
		return errors.Wrap(platform.ErrNotFound, "configuration: revision row")
	}
	row, err := resource.DecodeRevisionRow(reply.Rows[0].Value)
	if err != nil {
		return err
	}
	s.read.version = reply.Rows[0].Version
	s.read.revision = row.Revision
	return nil
}

// startRows starts to read the resources from the first.
func (s *System) startRows(now time.Duration, out *system.Outbox) {
	s.read.rows = nil
	s.read.attempts++
	s.listAfter(now, "", out)
}

// listAfter reads the page of resources after a key.
func (s *System) listAfter(now time.Duration, after string, out *system.Outbox) {
	list := system.Call{
		Kind: system.CallList, Key: resource.ResourcePrefix, After: after, Limit: listPage,
	}
	s.call(now, stageRows, list, out)
}

// onRows stores a page and reads the next one, or the revision again after the last.
func (s *System) onRows(now time.Duration, reply system.Reply, out *system.Outbox) {
	s.read.rows = append(s.read.rows, reply.Rows...)
	if len(reply.Rows) == listPage {
		s.listAfter(now, reply.Rows[listPage-1].Key, out)
		return
	}
	s.call(now, stageConfirm, system.Call{Kind: system.CallGet, Key: resource.RevisionKey}, out)
}

// onConfirm adopts the rows if the revision didn't change while they were read, and
// reads them again otherwise.
func (s *System) onConfirm(now time.Duration, reply system.Reply, out *system.Outbox) {
	version := s.read.version
	if err := s.recordRevision(reply); err != nil {
		s.endRead(now, err)
		return
	}
	if s.read.version != version {
		if s.read.attempts == readAttempts {
			s.endRead(now, errChanging)
			return
		}
		s.startRows(now, out)
		return
	}
	next, err := resource.SnapshotFromRows(s.read.revision, s.read.rows)
	if err == nil {
		s.adopt(now, next, SourcePlatform, out)
	}
	s.endRead(now, err)
}

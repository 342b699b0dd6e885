package claim

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// fakeTable is an in-memory table and object store.
type fakeTable struct {
	rows    map[string]platform.Row
	objects map[string][]byte
	version uint64
	// puts and deletes count written and deleted rows, gets counts reads.
	puts, deletes, gets int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// apply carries out a call and returns its reply.
func (f *fakeTable) apply(c system.Call) system.Reply {
	r := system.Reply{Owner: c.Owner, Token: c.Token}
	switch c.Kind {
	case system.CallGet:
		f.gets++
		row, ok := f.rows[c.Key]
		if !ok {
			r.Err = platform.ErrNotFound
			return r
		}
		r.Rows = []platform.Row{row}
	case system.CallList:
		f.gets++
		r.Rows = f.list(c)
	case system.CallCommit:
		r.Version, r.Err = f.commit(c.Txn)
	case system.CallGetObject:
		value, ok := f.objects[c.Key]
		if !ok {
			r.Err = platform.ErrNotFound
			return r
		}
		r.Rows = []platform.Row{{Key: c.Key, Value: value}}
	case system.CallPutObject:
		f.objects[c.Key] = c.Value
	}
	return r
}

func (f *fakeTable) list(c system.Call) []platform.Row {
	var rows []platform.Row
	for _, key := range sortedKeys(f.rows) {
		if len(rows) < c.Limit && key > c.After && len(key) >= len(c.Key) && key[:len(c.Key)] == c.Key {
			rows = append(rows, f.rows[key])
		}
	}
	return rows
}

func (f *fakeTable) commit(txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	f.version++
	for _, p := range txn.Puts {
		f.puts++
		f.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: f.version}
	}
	for _, key := range txn.Deletes {
		f.deletes++
		delete(f.rows, key)
	}
	return f.version, nil
}

// testSystem returns a system for which all other hosts have the given liveness.
func testSystem(host ident.Host, view Liveness) *System {
	n := 0
	return New(Config{
		Host:        host,
		Incarnation: 1,
		Nonce: func() string {
			n++
			return string(host) + strconv.Itoa(n)
		},
		Liveness: func(ident.Host, uint64) Liveness { return view },
	})
}

// runCalls answers calls until there are none, and returns the last result, if any.
func runCalls(s *System, f *fakeTable, out *system.Outbox) Result {
	for n := 0; len(out.Calls) > 0; n++ {
		if n > 1000 {
			panic("calls without end")
		}
		c := out.Calls[0]
		out.Calls = out.Calls[1:]
		s.Reply(0, f.apply(c), out)
	}
	var last Result
	for _, r := range s.Take() {
		last = r
	}
	return last
}

func TestAnswerIsKeptForResends(t *testing.T) {
	for _, size := range []int{10, maxInlineAnswer + 1} {
		g := NewWithT(t)
		f := newFakeTable()
		a, b := testSystem("a", Alive), testSystem("b", Alive)
		var out system.Outbox
		req := Request{ID: "r1", Team: "t", Key: "k", Fingerprint: 7}
		a.Lookup(0, 0, req, &out)
		g.Expect(runCalls(a, f, &out)).To(Equal(Unclaimed{ID: "r1"}))
		a.Acquire(0, 0, req, Placement{Endpoint: "e", Attempt: 3}, &out)
		g.Expect(runCalls(a, f, &out)).To(Equal(Acquired{ID: "r1"}))

		resend := Request{ID: "r2", Team: "t", Key: "k", Fingerprint: 7}
		b.Lookup(0, 0, resend, &out)
		running := runCalls(b, f, &out).(Running)
		g.Expect(running.Claim.Holder).To(Equal(ident.Host("a")))
		g.Expect(running.Claim.Request).To(Equal(ident.Request("r1")))

		answer := Answer{Code: result.OK, Status: 200, Body: make([]byte, size)}
		a.Finish("r1", answer, &out)
		a.Lookup(0, 0, resend, &out)
		g.Expect(a.Take()).To(Equal([]Result{Answered{ID: "r2", Answer: answer}}), "before it is stored")
		runCalls(a, f, &out)
		g.Expect(a.Pending()).To(BeZero())
		b.Lookup(0, 0, resend, &out)
		kept := runCalls(b, f, &out).(Answered).Answer
		g.Expect(kept.Body).To(Equal(answer.Body))

		b.Lookup(0, 0, Request{ID: "r3", Team: "t", Key: "k", Fingerprint: 8}, &out)
		g.Expect(runCalls(b, f, &out).(Refused).Err.Code).To(Equal(result.KeyMismatch))
	}
}

func TestAmbiguousInsertIsResolvedByNonce(t *testing.T) {
	g := NewWithT(t)
	f := newFakeTable()
	a := testSystem("a", Alive)
	var out system.Outbox
	a.Lookup(0, 0, Request{ID: "r1", Key: "k"}, &out)
	runCalls(a, f, &out)
	a.Acquire(0, 0, Request{ID: "r1", Key: "k"}, Placement{}, &out)
	lost := f.apply(out.Calls[0])
	out.Calls = nil
	lost.Err = platform.ErrAmbiguous
	a.Reply(0, lost, &out)
	g.Expect(runCalls(a, f, &out)).To(Equal(Acquired{ID: "r1"}))
	a.Release("r1", &out)
	runCalls(a, f, &out)
	g.Expect(f.rows).To(HaveLen(1), "only the guard row")
	g.Expect(a.Pending()).To(BeZero())
}

func TestClaimOfDeadHolderIsAdopted(t *testing.T) {
	g := NewWithT(t)
	f := newFakeTable()
	a, b := testSystem("a", Alive), testSystem("b", Dead)
	var out system.Outbox
	a.Acquire(0, 0, Request{ID: "r1", Key: "k"}, Placement{Endpoint: "e"}, &out)
	runCalls(a, f, &out)
	resend := Request{ID: "r2", Key: "k"}
	b.Lookup(0, 0, resend, &out)
	orphaned := runCalls(b, f, &out).(Orphaned)
	g.Expect(orphaned.Claim.Endpoint).To(Equal(ident.Endpoint("e")))
	b.Adopt(resend, orphaned)
	b.Finish("r2", Answer{Code: result.OK, Status: 200, Body: []byte("x")}, &out)
	runCalls(b, f, &out)
	b.Lookup(0, 0, Request{ID: "r3", Key: "k"}, &out)
	g.Expect(runCalls(b, f, &out).(Answered).Answer.Body).To(Equal([]byte("x")))
}

func TestUnavailableTableRefusesWithinTimeout(t *testing.T) {
	for first, code := range map[bool]result.Code{true: result.PlatformDown, false: result.EarlierUnknown} {
		g := NewWithT(t)
		a := testSystem("a", Alive)
		var out system.Outbox
		a.Lookup(0, 0, Request{ID: "r1", Key: "k", FirstAttempt: first}, &out)
		var now time.Duration
		for len(a.ops) > 0 {
			for _, c := range out.Calls {
				a.Reply(now, system.Reply{Token: c.Token, Err: platform.ErrUnavailable}, &system.Outbox{})
			}
			out.Calls = nil
			if wake, ok := a.NextWake(); ok {
				now = wake
				a.Tick(now, &out)
			}
		}
		g.Expect(now).To(BeNumerically("<", 2*time.Second))
		refused := a.Take()[0].(Refused)
		g.Expect(refused.Err.Code).To(Equal(code))
		g.Expect(refused.Err.RetryAfter).To(BeNumerically(">", 0))
	}
}

// TestFastClockAdvancesFenceAtBoundedRate lets a host whose clock is a day
// ahead become the sweeper repeatedly. The fence must not advance faster than
// its limit.
func TestFastClockAdvancesFenceAtBoundedRate(t *testing.T) {
	g := NewWithT(t)
	f := newFakeTable()
	right, ahead := testSystem("a", Alive), testSystem("b", Alive)
	var out system.Outbox
	right.SetSweeper(0, simWall, true)
	right.runUntil(time.Minute, f, &out)
	fence := func() int64 {
		at, _ := fenceTime(system.Reply{Rows: []platform.Row{f.rows[RowFence]}})
		return at
	}
	start := fence()
	g.Expect(start).To(Equal(simWall - DefaultRetention.Milliseconds()))
	const day, hour = 24 * time.Hour, time.Hour
	for now := time.Minute; now < hour; now += time.Minute {
		wall := simWall + (now + day).Milliseconds()
		ahead.SetSweeper(now, wall, true)
		ahead.runUntil(now+time.Minute, f, &out)
		ahead.SetSweeper(now, wall, false)
	}
	moved := time.Duration(fence()-start) * time.Millisecond
	g.Expect(moved).To(BeNumerically(">", hour))
	g.Expect(moved).To(BeNumerically("<=", 2*hour))
}

func TestOpaqueClaimsAreRemovedAfterRetention(t *testing.T) {
	for bound, kept := range map[time.Duration]int{0: 3 * sweepPage, time.Hour: 10} {
		g := NewWithT(t)
		f := newFakeTable()
		s := testSystem("a", Alive)
		s.cfg.OpaqueRetention = bound
		for i := range 3 * sweepPage {
			created := simWall
			if i%(3*sweepPage/10) != 0 {
				created -= 2 * time.Hour.Milliseconds()
			}
			key := rowKey(Request{Key: strconv.Itoa(i)})
			claim := Claim{Nonce: "n", Holder: "a", Request: "r", Created: created}
			f.rows[key] = platform.Row{Key: key, Value: claim.encode(), Version: uint64(i + 1)}
		}
		var out system.Outbox
		s.SetSweeper(0, simWall, true)
		s.runUntil(time.Minute, f, &out)
		delete(f.rows, RowFence)
		g.Expect(f.rows).To(HaveLen(kept))
	}
}

func TestUnstoredAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFakeTable()
	s := testSystem("a", Alive)
	var out system.Outbox
	for _, id := range []ident.Request{"r1", "r2"} {
		s.Acquire(0, 0, Request{ID: id, Key: string(id)}, Placement{}, &out)
		runCalls(s, f, &out)
	}
	s.Finish("r1", Answer{Code: result.OK, Body: make([]byte, maxUnstored)}, &out)
	s.Finish("r2", Answer{Code: result.OK, Body: []byte("x")}, &out)
	kept, _ := s.UnstoredAnswer("r2")
	g.Expect(kept.Code).To(Equal(result.AnswerUnreadable))
	runCalls(s, f, &out)
	g.Expect(s.unstoredBytes).To(BeZero())
}

// TestDiscardedClaimIsReplacedAfterGuardChange replaces a claim that was never
// dispatched while the guard row has changed without this host knowing. The
// insert must reread the guard and succeed.
func TestDiscardedClaimIsReplacedAfterGuardChange(t *testing.T) {
	g := NewWithT(t)
	f := newFakeTable()
	s := testSystem("a", Alive)
	var out system.Outbox
	req := Request{ID: "r1", Key: "k"}
	s.Acquire(0, 0, req, Placement{}, &out)
	runCalls(s, f, &out)
	s.Release("r1", &out)
	out.Calls = nil // the removal is on its way
	guard := f.rows[PrefixGuard+"a"]
	guard.Version += 100
	f.rows[guard.Key] = guard
	s.Acquire(0, 0, Request{ID: "r2", Key: "k"}, Placement{}, &out)
	runCalls(s, f, &out)
	s.runUntil(time.Second, f, &out)
	g.Expect(s.Take()).To(Equal([]Result{Acquired{ID: "r2"}}))
}

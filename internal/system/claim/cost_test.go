package claim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// cost is the number of calls for one request.
type cost struct{ reads, commits, objects int }

// TestTableCallsPerRequest checks how many calls each kind of request makes once
// the guard and the fence are known.
func TestTableCallsPerRequest(t *testing.T) {
	g := NewWithT(t)
	table := newFakeTable()
	s := testSystem("a", Alive)
	var out system.Outbox
	count := func(lose bool, f func()) cost {
		var c cost
		f()
		for len(out.Calls) > 0 {
			call := out.Calls[0]
			out.Calls = out.Calls[1:]
			r := table.apply(call)
			switch call.Kind {
			case system.CallGet, system.CallList:
				c.reads++
			case system.CallCommit:
				c.commits++
				if lose {
					r.Err = platform.ErrAmbiguous
				}
				lose = false
			default:
				c.objects++
			}
			s.Reply(0, r, &out)
		}
		return c
	}
	request := func(key string) Request {
		return Request{ID: ident.Request(key), Key: fmt.Sprintf("00000000-0000-7000-8000-%012s", key)}
	}
	run := func(key string, size int, lose bool) cost {
		return count(lose, func() {
			s.Lookup(0, 0, request(key), &out)
			runCalls(s, table, &out)
			s.Acquire(0, 0, request(key), Placement{}, &out)
		}).plus(cost{reads: 1}).plus(count(false, func() {
			s.Finish(ident.Request(key), Answer{Code: result.OK, Body: make([]byte, size)}, &out)
		}))
	}
	resend := func(key string) cost {
		return count(false, func() { s.Lookup(0, 0, request(key), &out) })
	}
	run("0", 10, false)
	g.Expect(run("1", 10, false)).To(Equal(cost{reads: 1, commits: 2}), "first request")
	g.Expect(run("2", 9000, false)).To(Equal(cost{reads: 1, commits: 2, objects: 1}), "large answer")
	g.Expect(run("3", 10, true)).To(Equal(cost{reads: 2, commits: 2}), "reply to the insert lost")
	g.Expect(resend("1")).To(Equal(cost{reads: 1}), "resend")
	g.Expect(resend("2")).To(Equal(cost{reads: 1, objects: 1}), "resend, large answer")
	g.Expect(resend("9")).To(Equal(cost{reads: 1}), "refused before its grant")
	table.rows[RowFence] = platform.Row{Key: RowFence, Value: []byte("0"), Version: 1 << 20}
	g.Expect(run("4", 10, false)).To(Equal(cost{reads: 4, commits: 3}), "first insert after a fence advance")
	g.Expect(count(false, func() {
		s.held, s.heldByRow = map[ident.Request]*heldClaim{}, map[string]*heldClaim{}
		s.Acquire(0, 0, request("1"), Placement{}, &out)
	}).plus(cost{reads: 1})).To(Equal(cost{reads: 2, commits: 1}), "another host was first, after its lookup")
	released := count(false, func() {
		s.Acquire(0, 0, request("9"), Placement{}, &out)
		runCalls(s, table, &out)
		s.Release("9", &out)
	}).plus(cost{commits: 1})
	g.Expect(released).To(Equal(cost{commits: 2}), "granted and not dispatched, after its lookup")
}

func (c cost) plus(d cost) cost {
	return cost{c.reads + d.reads, c.commits + d.commits, c.objects + d.objects}
}

// BenchmarkThreeDays reports the number of rows after each of three days with
// one request every 20 s, with and without the sweep.
func BenchmarkThreeDays(b *testing.B) {
	const every = 20 * time.Second
	for _, sweeps := range []bool{true, false} {
		b.Run(fmt.Sprint("sweep=", sweeps), func(b *testing.B) {
			table := newFakeTable()
			s := testSystem("a", Alive)
			s.cfg.Retention = DefaultRetention
			var out system.Outbox
			body := make([]byte, 1000)
			for day := 1; day <= 3; day++ {
				for now := time.Duration(day-1) * 24 * time.Hour; now < time.Duration(day)*24*time.Hour; now += every {
					wall := simWall + now.Milliseconds()
					s.SetSweeper(now, wall, sweeps)
					id := ident.Request(fmt.Sprint(now.Milliseconds()))
					key := fmt.Sprintf("%08x-%04x-7000-8000-000000000000", wall>>16, wall&0xffff)
					s.Acquire(now, wall, Request{ID: id, Key: key}, Placement{Endpoint: "e"}, &out)
					runCalls(s, table, &out)
					s.Finish(id, Answer{Code: result.OK, Status: 200, Body: body}, &out)
					runCalls(s, table, &out)
					s.runUntil(now+every, table, &out)
				}
				b.ReportMetric(float64(len(table.rows)), fmt.Sprintf("rows_day%d", day))
			}
			bytes := 0
			for _, row := range table.rows {
				bytes += len(row.Key) + len(row.Value)
			}
			b.ReportMetric(float64(bytes/len(table.rows)), "B/row")
			b.ReportMetric(float64(table.gets), "reads")
			b.ReportMetric(float64(table.puts), "puts")
			b.ReportMetric(float64(table.deletes), "deletes")
		})
	}
}

// runUntil ticks the system at its wake times until the end and answers its calls.
func (s *System) runUntil(end time.Duration, table *fakeTable, out *system.Outbox) {
	for {
		now, ok := s.NextWake()
		if !ok || now >= end {
			return
		}
		s.Tick(now, out)
		for len(out.Calls) > 0 {
			c := out.Calls[0]
			out.Calls = out.Calls[1:]
			s.Reply(now, table.apply(c), out)
		}
	}
}

// BenchmarkRequest measures the CPU time of one claimed and answered request
// while a number of other claims are held.
func BenchmarkRequest(b *testing.B) {
	for _, running := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint("running=", running), func(b *testing.B) {
			table := newFakeTable()
			s := testSystem("a", Alive)
			var out system.Outbox
			for i := range running {
				id := fmt.Sprint("running", i)
				s.Acquire(0, 0, Request{ID: ident.Request(id), Key: id}, Placement{}, &out)
				runCalls(s, table, &out)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				req := Request{ID: ident.Request(fmt.Sprint(n)), Key: fmt.Sprint(n)}
				s.Lookup(0, 0, req, &out)
				runCalls(s, table, &out)
				s.Acquire(0, 0, req, Placement{}, &out)
				runCalls(s, table, &out)
				s.Finish(req.ID, Answer{Code: result.OK, Body: make([]byte, 1000)}, &out)
				runCalls(s, table, &out)
				s.Tick(0, &out)
			}
		})
	}
}

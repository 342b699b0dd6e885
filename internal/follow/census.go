package follow

import (
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

// censusAnswerTime is the time in which the other hosts answer a census, which are some milliseconds away.
const censusAnswerTime = 50 * time.Millisecond

// census asks all other hosts which configuration they know, once in an era of the store. After an
// outage nobody has heard of the newest for long, and yet all of them together know whether one knows
// more than another. It is safe for concurrent use.
type census struct {
	mu  sync.Mutex
	era platform.Era
	// seq and at are those of the queries.
	seq uint64
	at  time.Duration
	// since is when this host last knew the newest configuration. missing are the hosts that haven't
	// answered, or that haven't run since then: what their processes before knew is lost.
	since   time.Duration
	missing map[ident.Host]bool
}

// begin begins the census of an era at a host that last knew the newest configuration at a time. It returns
// false if there was one.
func (c *census) begin(era platform.Era, seq uint64, since time.Duration, hosts []ident.Host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era == era {
		return false
	}
	c.era, c.seq, c.at, c.since = era, seq, clock.Boot(), since
	c.missing = map[ident.Host]bool{}
	for _, h := range hosts {
		c.missing[h] = true
	}
	return true
}

// asked returns when the query that an answer belongs to was sent; false if it isn't one of the census.
func (c *census) asked(seq uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.seq != 0 && c.seq == seq
}

// count counts a host that has answered what it knows, and has run for a time.
func (c *census) count(from ident.Host, running time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running >= c.at-c.since {
		delete(c.missing, from)
	}
}

// complete reports whether all other hosts have answered in an era.
func (c *census) complete(era platform.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era == era && len(c.missing) == 0
}

// agreed reports whether all other hosts have told what they know in an era of the store, and takes a newer
// configuration over. Only hosts that read the store for others ask: there are few of them.
func (f *Follower) agreed(era platform.Era) bool {
	now := clock.Boot()
	known := f.state.knowledge(now)
	since := now - known.age
	if f.opts.Others == nil || !f.reading.Load() || known.age == never || since < f.startTime {
		return false
	}
	if others := f.opts.Others(); len(others) > 0 || others != nil && f.alone.Load() {
		f.queryMu.Lock()
		f.seq++
		seq := f.seq
		f.queryMu.Unlock()
		if f.census.begin(era, seq, since, others) {
			for _, h := range others {
				m := &peerpb.StoreAsk{Seq: seq, Version: known.version, Delta: true, ConfigurationOnly: true}
				f.opts.Send(h, peerpb.Wrap(&peerpb.Envelope_StoreAsk{StoreAsk: m}))
			}
			time.Sleep(censusAnswerTime)
		}
	}
	return f.census.complete(era)
}

// handleCensus handles an answer of the census. It returns false if the answer is none.
func (f *Follower) handleCensus(from ident.Host, m *peerpb.StoreTell) bool {
	at, ok := f.census.asked(m.GetSeq())
	if !ok {
		return false
	}
	if m.GetVersionAgeUs() >= 0 {
		f.handleConfiguration(from, m, at-micros(m.GetVersionAgeUs()))
		f.census.count(from, micros(m.GetRunningUs()))
	}
	return true
}

package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

func TestLoadReportLags(t *testing.T) {
	g := NewWithT(t)
	history := loadHistory{lag: 2 * time.Second}
	g.Expect(history.report(0)).To(Equal(engine.Load{AgeMillis: 2000}))
	history.record(1*time.Second, 3, 0)
	history.record(2*time.Second, 4, 1)
	g.Expect(history.report(2 * time.Second).Running).To(Equal(0))
	g.Expect(history.report(3 * time.Second).Running).To(Equal(3))
	g.Expect(history.report(3999 * time.Millisecond).Running).To(Equal(3))
	history.record(4*time.Second, 0, 0)
	g.Expect(history.report(5 * time.Second)).To(Equal(engine.Load{Running: 4, Waiting: 1, AgeMillis: 2000}))
	g.Expect(history.report(time.Hour)).To(Equal(engine.Load{AgeMillis: 2000}))
	g.Expect(history.samples).To(HaveLen(1), "what can't be asked for any more is dropped")
}

func TestCacheEventsComeLate(t *testing.T) {
	g := NewWithT(t)
	log := newCacheLog(time.Second, 0)
	log.add(1*time.Second, cacheChange{stored: []uint64{1}})
	log.add(2*time.Second, cacheChange{evicted: []uint64{1}})

	page, pending := log.after(0, 1500*time.Millisecond)
	g.Expect(page).To(BeEmpty())
	g.Expect(pending).To(Equal(2 * time.Second))
	page, _ = log.after(0, 2*time.Second)
	g.Expect(page).To(Equal([]engine.CacheEvent{{Seq: 1, Stored: []uint64{1}}}))
	page, _ = log.after(1, 3*time.Second)
	g.Expect(page).To(Equal([]engine.CacheEvent{{Seq: 2, Evicted: []uint64{1}}}))
	page, pending = log.after(2, 3*time.Second)
	g.Expect(page).To(BeEmpty())
	g.Expect(pending).To(BeZero())
}

func TestCacheEventsHaveGaps(t *testing.T) {
	g := NewWithT(t)
	const events = 2000
	log := newCacheLog(0, 250)
	for range events {
		log.add(0, cacheChange{stored: []uint64{1}})
	}
	kept := 0
	for seq := uint64(0); ; {
		page, _ := log.after(seq, 0)
		if len(page) == 0 {
			break
		}
		g.Expect(len(page)).To(BeNumerically("<=", maxEventPage))
		for _, event := range page {
			g.Expect(event.Seq).To(BeNumerically(">", seq))
			seq = event.Seq
			kept++
		}
	}
	g.Expect(kept).To(BeNumerically("~", events*3/4, events/20))
	g.Expect(log.lastSeq).To(BeEquivalentTo(events), "lost events have numbers too")
}

package follow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

// ready returns the row of an endpoint.
func ready(name string, beat int) platform.Row {
	return platform.Row{Key: name, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":10,"state":"ready","sequence":%d}`, beat)}
}

func gone(name string) platform.Row {
	return platform.Row{Key: name, Deleted: true}
}

func names(t *Endpoints) []ident.Endpoint {
	list := []ident.Endpoint{}
	for _, e := range t.List() {
		list = append(list, e.Name)
	}
	return list
}

func TestReportsAloneChangeNothing(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	changed, _ := table.Update(0, []platform.Row{ready("a", 1)}, true)
	g.Expect(changed).To(BeTrue())
	changed, _ = table.Update(time.Second, []platform.Row{ready("a", 2)}, false)
	g.Expect(changed).To(BeFalse())
	changed, _ = table.Update(2*time.Second, []platform.Row{gone("a")}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(BeEmpty())
}

func TestRowsOfOthersAreSkipped(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	_, skipped := table.Update(0, []platform.Row{ready("a", 1), {Key: "b", Value: []byte("{}")}}, true)
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a"}))
	g.Expect(skipped).To(HaveLen(1))
	changed, _ := table.Update(time.Second, []platform.Row{{Key: "a", Value: []byte("\xff")}}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(BeEmpty(), "a row that can't be read names no endpoint")
}

// TestEntriesThatLapsedInAnOutage: an entry that is missing when the store is back may
// only have lapsed. It has two seconds to come back, then the endpoint is gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	table.Update(0, []platform.Row{ready("a", 1), ready("b", 1), ready("c", 1)}, true)
	back := 8 * time.Second
	changed, _ := table.Update(back, []platform.Row{ready("a", 9)}, true)
	g.Expect(changed).To(BeFalse())
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a", "b", "c"}))
	g.Expect(table.Pending()).To(BeTrue())
	table.Update(back+time.Second, []platform.Row{ready("b", 9)}, false)
	changed, _ = table.Update(back+returnGrace, nil, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a", "b"}))
	g.Expect(table.Pending()).To(BeFalse())
	changed, _ = table.Update(back+returnGrace+time.Second, []platform.Row{gone("b")}, false)
	g.Expect(changed).To(BeTrue(), "no outage any more")
}

// TestHostThatWasCutOffAloneKeepsNobody plays what broke DRAIN on trouble-1 of
// krmwe-chute: a host that read the store for others was cut off from it and from them,
// took the entries that were missing at its return for lapses, and told the others so.
func TestHostThatWasCutOffAloneKeepsNobody(t *testing.T) {
	g := NewWithT(t)
	var own state
	table := NewEndpoints()
	table.Update(time.Second, []platform.Row{ready("a", 1), ready("b", 1)}, true)
	own.adoptEndpoints(table.List(), time.Second)

	back := 9 * time.Second
	table.ResetTo(own.known())
	table.Update(back, []platform.Row{ready("a", 20)}, true)
	g.Expect(table.Pending()).To(BeTrue())
	own.adoptUnsure(table.List(), back)
	_, age := own.ages(back)
	g.Expect(age).To(BeNumerically(">=", outage), "nobody else takes the list for a fresh one")

	sure := []platform.Endpoint{table.List()[0]}
	g.Expect(own.adoptEndpoints(sure, back)).To(BeTrue(), "another host read the store all the while")
	table.Update(back+endpointInterval, []platform.Row{ready("a", 21)}, false)
	g.Expect(own.adoptUnsure(table.List(), back+endpointInterval)).To(BeFalse())
	known, _ := own.known()
	g.Expect(known).To(HaveLen(1))
}

// TestHostThatRestedTakesWhatItReads: a host that let others read has a table of its
// own that is old, which says nothing of an outage.
func TestHostThatRestedTakesWhatItReads(t *testing.T) {
	g := NewWithT(t)
	var own state
	table := NewEndpoints()
	table.Update(time.Second, []platform.Row{ready("a", 1), ready("b", 1)}, true)
	own.adoptEndpoints(table.List(), 20*time.Second)
	table.ResetTo(own.known())
	table.Update(21*time.Second, []platform.Row{ready("a", 40)}, true)
	g.Expect(table.Pending()).To(BeFalse())
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a"}))
}

// TestHostWhoseReadersWereCutOffTakesWhatItReads plays what broke DRAIN on trouble-1 of
// krmwe-chute with the seed 247602557668: both readers were cut off, came back unsure of
// their lists, and the others, which began to read by themselves, took the time for which
// they had waited for them for an outage.
func TestHostWhoseReadersWereCutOffTakesWhatItReads(t *testing.T) {
	g := NewWithT(t)
	var own state
	own.adoptEndpoints(NewEndpoints().List(), time.Second)
	table := NewEndpoints()
	table.Update(0, []platform.Row{ready("a", 1), ready("b", 1)}, true)
	own.adoptEndpoints(table.List(), 10*time.Second)
	waited := freshAge + askInterval + callTimeout
	table.ResetTo(own.known())
	table.Update(10*time.Second+waited, []platform.Row{ready("a", 9)}, true)
	g.Expect(table.Pending()).To(BeFalse())
	g.Expect(freshAge+askInterval).To(BeNumerically("<", 2*time.Second), "an endpoint that leaves gets no requests after that")
}

package follow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

// readyRow returns the row of a ready endpoint.
func readyRow(name string, beat int) platform.Row {
	return platform.Row{Key: name, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":10,"state":"ready","sequence":%d}`, beat)}
}

func deletedRow(name string) platform.Row {
	return platform.Row{Key: name, Deleted: true}
}

func endpointNames(t *Endpoints) []ident.Endpoint {
	list := []ident.Endpoint{}
	for _, e := range t.List() {
		list = append(list, e.Name)
	}
	return list
}

func TestReportsAloneAreNoChange(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	changed, _ := table.Update(0, []platform.Row{readyRow("a", 1)}, true)
	g.Expect(changed).To(BeTrue())
	changed, _ = table.Update(time.Second, []platform.Row{readyRow("a", 2)}, false)
	g.Expect(changed).To(BeFalse())
	changed, _ = table.Update(2*time.Second, []platform.Row{deletedRow("a")}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(endpointNames(table)).To(BeEmpty())
}

func TestInvalidRowsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	_, skipped := table.Update(0, []platform.Row{readyRow("a", 1), {Key: "b", Value: []byte("{}")}}, true)
	g.Expect(endpointNames(table)).To(Equal([]ident.Endpoint{"a"}))
	g.Expect(skipped).To(HaveLen(1))
	changed, _ := table.Update(time.Second, []platform.Row{{Key: "a", Value: []byte("\xff")}}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(endpointNames(table)).To(BeEmpty(), "an invalid row describes no endpoint")
}

// Guards against a row of another partition that takes an endpoint out until its next report: it has
// the endpoint's key, but is another row.
func TestRowsOfOtherPartitionsConcernNoEndpoint(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	table.Update(0, []platform.Row{readyRow("a", 1)}, true)
	other := readyRow("a", 2)
	other.Part = "p"
	changed, skipped := table.Update(time.Second, []platform.Row{other, {Key: "a", Part: "p", Deleted: true}, {Key: "b", Part: "p"}}, false)
	g.Expect(changed).To(BeFalse())
	g.Expect(skipped).To(HaveLen(2), "those that are no removals are reported")
	g.Expect(endpointNames(table)).To(Equal([]ident.Endpoint{"a"}))
}

// TestEntriesExpiredInAnOutageMayReappear checks that an entry that is missing when the store
// is available again is kept for the grace period, because it may merely have expired. If it
// does not reappear by then, the endpoint is gone.
func TestEntriesExpiredInAnOutageMayReappear(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	table.Update(0, []platform.Row{readyRow("a", 1), readyRow("b", 1), readyRow("c", 1)}, true)
	back := 8 * time.Second
	changed, _ := table.Update(back, []platform.Row{readyRow("a", 9)}, true)
	g.Expect(changed).To(BeFalse())
	g.Expect(endpointNames(table)).To(Equal([]ident.Endpoint{"a", "b", "c"}))
	g.Expect(table.Pending()).To(BeTrue())
	table.Update(back+time.Second, []platform.Row{readyRow("b", 9)}, false)
	changed, _ = table.Update(back+returnGrace, nil, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(endpointNames(table)).To(Equal([]ident.Endpoint{"a", "b"}))
	g.Expect(table.Pending()).To(BeFalse())
	changed, _ = table.Update(back+returnGrace+time.Second, []platform.Row{deletedRow("b")}, false)
	g.Expect(changed).To(BeTrue(), "the outage is over")
}

// TestIsolatedReaderDoesNotKeepRemovedEndpoints guards against stale endpoints after a partition.
// A reader was cut off from the store and from the other hosts, kept missing entries as
// possibly expired when it returned, and passed its list on to the others as certain.
func TestIsolatedReaderDoesNotKeepRemovedEndpoints(t *testing.T) {
	g := NewWithT(t)
	var own state
	table := NewEndpoints()
	table.Update(time.Second, []platform.Row{readyRow("a", 1), readyRow("b", 1)}, true)
	own.adoptEndpoints(table.List(), time.Second)

	back := 9 * time.Second
	table.ResetTo(own.known())
	table.Update(back, []platform.Row{readyRow("a", 20)}, true)
	g.Expect(table.Pending()).To(BeTrue())
	own.adoptUncertain(table.List(), back)
	_, age := own.ages(back)
	g.Expect(age).To(BeNumerically(">=", outage), "other hosts must not take the list for a fresh one")

	certain := []platform.Endpoint{table.List()[0]}
	g.Expect(own.adoptEndpoints(certain, back)).To(BeTrue(), "another host has read the store throughout")
	table.Update(back+endpointInterval, []platform.Row{readyRow("a", 21)}, false)
	g.Expect(own.adoptUncertain(table.List(), back+endpointInterval)).To(BeFalse())
	known, _ := own.known()
	g.Expect(known).To(HaveLen(1))
}

// TestPausedHostTrustsItsFirstRead checks that a host that relied on readers does not mistake
// the age of its own table for an outage of the store.
func TestPausedHostTrustsItsFirstRead(t *testing.T) {
	g := NewWithT(t)
	var own state
	table := NewEndpoints()
	table.Update(time.Second, []platform.Row{readyRow("a", 1), readyRow("b", 1)}, true)
	own.adoptEndpoints(table.List(), 20*time.Second)
	table.ResetTo(own.known())
	table.Update(21*time.Second, []platform.Row{readyRow("a", 40)}, true)
	g.Expect(table.Pending()).To(BeFalse())
	g.Expect(endpointNames(table)).To(Equal([]ident.Endpoint{"a"}))
}

// TestHostTrustsItsFirstReadAfterReadersWereCutOff guards against keeping removed endpoints after
// both readers were cut off and returned with uncertain lists. The other hosts began to read the
// store themselves, and mistook the time spent waiting for the readers for an outage.
func TestHostTrustsItsFirstReadAfterReadersWereCutOff(t *testing.T) {
	g := NewWithT(t)
	var own state
	own.adoptEndpoints(NewEndpoints().List(), time.Second)
	table := NewEndpoints()
	table.Update(0, []platform.Row{readyRow("a", 1), readyRow("b", 1)}, true)
	own.adoptEndpoints(table.List(), 10*time.Second)
	waited := freshAge + queryInterval + callTimeout
	table.ResetTo(own.known())
	table.Update(10*time.Second+waited, []platform.Row{readyRow("a", 9)}, true)
	g.Expect(table.Pending()).To(BeFalse())
	g.Expect(freshAge+queryInterval).To(BeNumerically("<", 2*time.Second), "an endpoint that leaves gets no requests after that")
}

// reportRow returns the row of an endpoint that started at a time.
func reportRow(name, state string, born int64, number int) platform.Row {
	return platform.Row{Key: name, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":10,"state":%q,"sequence":%d,"born":%d}`, state, number, born)}
}

// Guards against requests to endpoints as they were in an older copy of the store: one that had
// announced its end, one that had left and one that had started anew count as before, and one that the
// copy lacks stays.
func TestRowsOfAnOlderCopyDontReplaceLaterReports(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	at := time.Second
	update := func(era uint64, whole bool, rows ...platform.Row) {
		table.EnterEra(at, platform.NewEra(era))
		table.Update(at, rows, whole)
		at += time.Second
	}
	leaving := func() map[ident.Endpoint]bool {
		states := map[ident.Endpoint]bool{}
		for _, e := range table.List() {
			states[e.Name] = e.Leaving
		}
		return states
	}
	older := []platform.Row{
		reportRow("leaves", "ready", 1, 7), reportRow("left", "ready", 1, 7), reportRow("anew", "draining", 1, 7), reportRow("stays", "ready", 1, 7),
	}
	update(1, true, older...)
	update(1, false, reportRow("leaves", "draining", 1, 9), reportRow("left", "draining", 1, 9), reportRow("anew", "ready", 5, 1), reportRow("new", "ready", 6, 1))
	update(1, false, deletedRow("left"))
	now := map[ident.Endpoint]bool{"leaves": true, "anew": false, "stays": false, "new": false}
	g.Expect(leaving()).To(Equal(now))

	update(2, true, older...)
	g.Expect(leaving()).To(Equal(now))
	g.Expect(table.Pending()).To(BeTrue(), "the one that the copy lacks may be gone")
	update(2, false, reportRow("new", "ready", 6, 2), reportRow("stays", "draining", 1, 8))
	now["stays"] = true
	g.Expect(leaving()).To(Equal(now))
	g.Expect(table.Pending()).To(BeFalse())
	update(2, false, reportRow("left", "ready", 1, 10), reportRow("anew", "ready", 5, 3))
	now["left"] = false
	g.Expect(leaving()).To(Equal(now), "an endpoint that reports again lives")
	update(2, false, deletedRow("stays"))
	delete(now, "stays")
	g.Expect(leaving()).To(Equal(now))
}

// TestReportsAreComparedAfterANewEraOnly checks that rows are taken as they are from a store that has
// lost nothing.
func TestReportsAreComparedAfterANewEraOnly(t *testing.T) {
	for name, era := range map[string]platform.Era{"no era": {}, "one era": platform.NewEra(1)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := NewEndpoints()
			for n, row := range []platform.Row{reportRow("a", "draining", 5, 9), reportRow("a", "ready", 5, 3), reportRow("a", "draining", 4, 1)} {
				table.EnterEra(time.Duration(n)*time.Second, era)
				table.Update(time.Duration(n)*time.Second, []platform.Row{row}, n == 0)
				g.Expect(table.List()).To(HaveExactElements(HaveField("Leaving", n != 1)))
			}
		})
	}
}

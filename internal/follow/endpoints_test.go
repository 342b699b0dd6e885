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
	changed, _ := table.Read(0, []platform.Row{ready("a", 1)}, true)
	g.Expect(changed).To(BeTrue())
	changed, _ = table.Read(time.Second, []platform.Row{ready("a", 2)}, false)
	g.Expect(changed).To(BeFalse())
	changed, _ = table.Read(2*time.Second, []platform.Row{gone("a")}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(BeEmpty())
}

func TestRowsOfOthersAreSkipped(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	_, skipped := table.Read(0, []platform.Row{ready("a", 1), {Key: "b", Value: []byte("{}")}}, true)
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a"}))
	g.Expect(skipped).To(HaveLen(1))
	changed, _ := table.Read(time.Second, []platform.Row{{Key: "a", Value: []byte("\xff")}}, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(BeEmpty(), "a row that can't be read names no endpoint")
}

// TestEntriesThatLapsedInAnOutage: an entry that is missing when the store is back may
// only have lapsed. It has two seconds to come back, then the endpoint is gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	g := NewWithT(t)
	table := NewEndpoints()
	table.Read(0, []platform.Row{ready("a", 1), ready("b", 1), ready("c", 1)}, true)
	back := 8 * time.Second
	changed, _ := table.Read(back, []platform.Row{ready("a", 9)}, true)
	g.Expect(changed).To(BeFalse())
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a", "b", "c"}))
	g.Expect(table.Pending()).To(BeTrue())
	table.Read(back+time.Second, []platform.Row{ready("b", 9)}, false)
	changed, _ = table.Read(back+returnGrace, nil, false)
	g.Expect(changed).To(BeTrue())
	g.Expect(names(table)).To(Equal([]ident.Endpoint{"a", "b"}))
	g.Expect(table.Pending()).To(BeFalse())
	changed, _ = table.Read(back+returnGrace+time.Second, []platform.Row{gone("b")}, false)
	g.Expect(changed).To(BeTrue(), "no outage any more")
}

package follow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

// orderRow returns the row of an order.
func orderRow(target, version string, row uint64) platform.Row {
	value := fmt.Appendf(nil, `{"service":%q,"to":%q,"duration_s":60}`, target, version)
	return platform.Row{Table: "op", Key: "rollout/" + target, Version: row, Value: value}
}

func orderOf(target, version string, row uint64) rollout.Order {
	return rollout.Order{ID: row, Target: target, Version: version, Duration: time.Minute}
}

// orderHost is a host that records the orders that it is told.
type orderHost struct {
	*Follower
	told [][]rollout.Order
}

func newOrderHost(name ident.Host, enabled bool) *orderHost {
	h := &orderHost{}
	log, _ := test.NewNullLogger()
	o := Options{Self: name, Log: log, OnRuleset: func(*ruleset.Ruleset, string) {}, OnEndpoints: func([]platform.Endpoint) {}}
	if enabled {
		o.OnOrders = func(list []rollout.Order) { h.told = append(h.told, list) }
	}
	h.Follower = New(o)
	return h
}

// ask lets a host learn from another what that knows.
func (h *orderHost) ask(from *orderHost) {
	h.outstanding = query{seq: 1, to: from.opts.Self, at: 100 * time.Hour}
	m := from.answer(&peerpb.StoreAsk{Seq: 1})
	m.VersionAgeUs = 0
	h.handleAnswer(from.opts.Self, m)
}

// TestOrdersFollowTheTable reads the table whole, then its changes with tombstones.
func TestOrdersFollowTheTable(t *testing.T) {
	g := NewWithT(t)
	h := newOrderHost("a", true)
	var table orders
	at := time.Duration(0)
	apply := func(whole bool, rows ...platform.Row) {
		at += time.Second
		h.applyOrders(&table, platform.Page{Rows: rows}, at, whole)
	}
	apply(true, platform.Row{Key: "config"})
	g.Expect(h.told).To(HaveLen(1), "that there are none has to be known too")
	apply(false, orderRow("b", "2", 5), orderRow("a", "2", 6), orderRow("b", "3", 7))
	apply(false)
	apply(false, platform.Row{Key: "config"})
	apply(false, platform.Row{Key: "rollout/a", Deleted: true, Version: 8}, orderRow("b", "3", 9))
	apply(true, orderRow("b", "3", 9))
	apply(false, platform.Row{Key: "rollout/b", Value: []byte("{"), Version: 10})
	apply(true, orderRow("a", "4", 11))
	g.Expect(h.told).To(Equal([][]rollout.Order{
		{}, {orderOf("a", "2", 6), orderOf("b", "3", 7)}, {orderOf("b", "3", 9)}, {}, {orderOf("a", "4", 11)},
	}))
	h.adoptOrders(nil, at-time.Millisecond)
	g.Expect(h.told).To(HaveLen(5), "older than what is known")
}

// TestOrdersArePassedOn passes orders between hosts with and without roll-outs. A host that does
// not follow orders must not make others take them for withdrawn.
func TestOrdersArePassedOn(t *testing.T) {
	g := NewWithT(t)
	reader, other, off := newOrderHost("a", true), newOrderHost("b", true), newOrderHost("c", false)
	var table orders
	page := platform.Page{Rows: []platform.Row{orderRow("a", "2", 5)}}
	for _, h := range []*orderHost{reader, off} {
		h.applyOrders(&table, page, time.Second, true)
		h.state.adoptRuleset(&ruleset.Ruleset{Version: 7}, time.Second)
		h.state.adoptEndpoints([]platform.Endpoint{{Name: "e", Version: "2"}}, time.Second)
	}
	other.ask(reader)
	g.Expect(other.told).To(Equal([][]rollout.Order{{orderOf("a", "2", 5)}}))
	list, _ := other.state.known()
	g.Expect(list).To(Equal([]platform.Endpoint{{Name: "e", Version: "2"}}))
	other.state.ordersAt = 0
	other.ask(off)
	g.Expect(other.told).To(HaveLen(1))
	reader.state.confirmed += time.Second
	g.Expect(reader.answer(&peerpb.StoreAsk{}).GetHasRollouts()).To(BeFalse(), "the orders are older than the age that the answer states")
}

// TestVersionsAreIgnoredWithoutRollouts checks that nothing more is kept or sent on a deployment
// without roll-outs.
func TestVersionsAreIgnoredWithoutRollouts(t *testing.T) {
	g := NewWithT(t)
	row := readyRow("a", 1)
	row.Value = fmt.Appendf(row.Value[:len(row.Value)-1], `,"version":2}`)
	for enabled, want := range map[bool]string{false: "", true: "2"} {
		table := NewEndpoints()
		table.withVersions = enabled
		table.Update(0, []platform.Row{row}, true)
		g.Expect(table.List()).To(HaveExactElements(HaveField("Version", want)))
	}
	one, two := []platform.Endpoint{{Name: "a", Version: "1"}}, []platform.Endpoint{{Name: "a", Version: "2"}}
	g.Expect(hashEndpoints(one)).NotTo(Equal(hashEndpoints(two)))
	off := newOrderHost("c", false)
	off.state.adoptRuleset(&ruleset.Ruleset{Version: 7}, time.Second)
	g.Expect(off.answer(&peerpb.StoreAsk{}).GetHasRollouts()).To(BeFalse())
}

// heldTable returns a table that has read an order in era 1 and what the store holds in era 2.
func heldTable(held ...platform.Row) *orders {
	var t orders
	t.enterEra(time.Second, platform.NewEra(1), time.Minute)
	t.update([]platform.Row{orderRow("a", "2", 50)}, true)
	t.settle(time.Second)
	t.enterEra(2*time.Second, platform.NewEra(2), time.Minute)
	t.update(held, true)
	t.settle(2 * time.Second)
	return &t
}

// Guards against an order that counts as withdrawn, and is rolled back, because the store has lost it.
func TestOrdersThatTheStoreHasLostAreHeld(t *testing.T) {
	known := orderOf("a", "2", 50)
	again := orderOf("a", "2", 44)
	again.Again = 50
	for name, c := range map[string]struct {
		held []platform.Row
		then []platform.Row
		at   time.Duration
		want []rollout.Order
	}{
		"lost":                             {nil, nil, 3 * time.Second, []rollout.Order{known}},
		"kept":                             {[]platform.Row{orderRow("a", "2", 50)}, nil, 3 * time.Second, []rollout.Order{known}},
		"written again":                    {nil, []platform.Row{orderRow("a", "2", 44)}, 3 * time.Second, []rollout.Order{again}},
		"written again before it was read": {[]platform.Row{orderRow("a", "2", 44)}, nil, 3 * time.Second, []rollout.Order{again}},
		"the one before it":                {[]platform.Row{orderRow("a", "1", 40)}, nil, 3 * time.Second, []rollout.Order{known}},
		"the one before it, then again":    {[]platform.Row{orderRow("a", "1", 40)}, []platform.Row{orderRow("a", "2", 44)}, 3 * time.Second, []rollout.Order{again}},
		"another one":                      {[]platform.Row{orderRow("a", "1", 40)}, []platform.Row{orderRow("a", "3", 44)}, 3 * time.Second, []rollout.Order{orderOf("a", "3", 44)}},
		"withdrawn since":                  {nil, []platform.Row{{Key: "rollout/a", Deleted: true, Version: 44}}, 3 * time.Second, []rollout.Order{}},
		"never written again":              {nil, nil, 3 * time.Minute, []rollout.Order{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := heldTable(c.held...)
			table.enterEra(c.at, platform.NewEra(2), time.Minute)
			table.update(c.then, false)
			table.settle(c.at)
			g.Expect(table.list()).To(Equal(c.want))
		})
	}
}

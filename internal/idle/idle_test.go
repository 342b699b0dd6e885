package idle_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/idle"
)

// conn counts how often it was closed.
type conn struct{ closed int }

func (c *conn) Close() error {
	c.closed++
	return nil
}

func TestTakeReturnsMostRecentConnection(t *testing.T) {
	g := NewWithT(t)
	table := idle.New[*conn](2)
	first, second, third := &conn{}, &conn{}, &conn{}
	table.Put("a", first)
	table.Put("a", second)
	table.Put("a", third)
	g.Expect(third.closed).To(Equal(1), "there is room for two")
	got, ok := table.Take("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(BeIdenticalTo(second))
	_, ok = table.Take("b")
	g.Expect(ok).To(BeFalse())
	g.Expect(table.Len()).To(Equal(1))
	table.Close()
	g.Expect([]int{first.closed, second.closed}).To(Equal([]int{1, 0}), "a connection in use stays open")
}

func TestSweepClosesOnlyRejectedConnections(t *testing.T) {
	g := NewWithT(t)
	table := idle.New[*conn](8)
	kept, old, other := &conn{}, &conn{}, &conn{}
	table.Put("a", old)
	table.Put("a", kept)
	table.Put("b", other)
	table.Sweep(func(address string, c *conn) bool { return c == kept })
	g.Expect([]int{kept.closed, old.closed, other.closed}).To(Equal([]int{0, 1, 1}))
	table.Drop("b")
	table.Drop("a")
	g.Expect([]int{kept.closed, old.closed, other.closed}).To(Equal([]int{1, 1, 1}))
	g.Expect(table.Len()).To(BeZero())
}

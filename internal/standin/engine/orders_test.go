package engine

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

func TestOrderToAnEndedIncarnationHasNoEffect(t *testing.T) {
	for _, action := range []resource.OrderAction{resource.OrderSetRole, resource.OrderSetVersion} {
		t.Run(string(action), func(t *testing.T) {
			g := NewWithT(t)
			book := newOrderBook(Options{Fencing: resource.FencingIgnored})
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			book.reset("second boot")
			before := book.current()
			order := engine.Order{ID: "o1", Action: string(action), Value: "v"}
			_, err := book.take(ended, order)
			g.Expect(err).To(MatchError(errStopped))
			g.Expect(book.current()).To(Equal(before))
			_, err = book.take(t.Context(), order)
			g.Expect(err).NotTo(HaveOccurred(), "the order wasn't noted as done")
		})
	}
}

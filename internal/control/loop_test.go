package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// earlyLimit is how long a directive is held while nothing may come before it.
const earlyLimit = 100 * time.Millisecond

// heldTraffic carries the first directive out only after earlyLimit, and says
// whether something came before it.
type heldTraffic struct {
	returned <-chan struct{}
	early    bool
	applied  int
}

func (h *heldTraffic) Apply(custody.Directive) {
	select {
	case <-h.returned:
		h.early = true
	case <-time.After(earlyLimit):
	}
	h.applied++
}

func (h *heldTraffic) ReturnAnswer(ident.Request, claim.Answer) {}
func (h *heldTraffic) Join(Join)                                {}
func (h *heldTraffic) RecoverAnswer(AnswerRecovery)             {}
func (h *heldTraffic) Relay(*peerpb.Envelope)                   {}

// TestInspectWaitsForTheEffectsOfItsStep checks that what events before an
// inspection ask of the traffic side is carried out when the inspection returns:
// a stopping host refuses what waits before it ends what runs.
func TestInspectWaitsForTheEffectsOfItsStep(t *testing.T) {
	g := NewWithT(t)
	loop := NewLoop(New(Config{Self: "a1", Domain: "a", Incarnation: 1, Seed: 1, External: true}))
	returned := make(chan struct{})
	traffic := &heldTraffic{returned: returned}
	loop.Connect(Ports{
		Traffic:      traffic,
		SetPeers:     func(map[ident.Host]string) {},
		Send:         func(ident.Host, *peerpb.Envelope) bool { return true },
		Record:       func([]scheduling.Step, []custody.Directive) {},
		StoreMessage: func(*peerpb.Envelope) {},
	})
	loop.Post(Arrived{Arrival: chat()})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		g.Expect(loop.Inspect(ctx, func(*Core) {})).To(Succeed())
		close(returned)
	})
	g.Eventually(func() int { return len(loop.mailbox) }).Should(Equal(2), "both in one step")
	group.Go(func() { loop.Run(ctx) })
	<-returned
	cancel()
	group.Wait()
	g.Expect(traffic.early).To(BeFalse(), "the inspection returned before the refusal was carried out")
	g.Expect(traffic.applied).To(Equal(1))
}

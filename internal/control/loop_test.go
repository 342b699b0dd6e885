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

// maxApplyDelay is how long slowTraffic delays a directive while the inspection must not
// return.
const maxApplyDelay = 100 * time.Millisecond

// slowTraffic delays each directive by up to maxApplyDelay and records whether the
// inspection returned before the directive was applied.
type slowTraffic struct {
	returned <-chan struct{}
	early    bool
	applied  int
}

func (h *slowTraffic) Apply(custody.Directive) {
	select {
	case <-h.returned:
		h.early = true
	case <-time.After(maxApplyDelay):
	}
	h.applied++
}

func (h *slowTraffic) ReturnAnswer(ident.Request, claim.Answer) {}
func (h *slowTraffic) Join(Join)                                {}
func (h *slowTraffic) RecoverAnswer(AnswerRecovery)             {}
func (h *slowTraffic) Relay(*peerpb.Envelope)                   {}

// TestInspectWaitsForTheEffectsOfItsStep checks that the effects of events before an
// inspection are applied to the data path when the inspection returns. A stopping host
// relies on this to refuse waiting requests before it ends running ones.
func TestInspectWaitsForTheEffectsOfItsStep(t *testing.T) {
	g := NewWithT(t)
	loop := NewLoop(New(Config{Self: "a1", Domain: "a", Incarnation: 1, Seed: 1, External: true}))
	returned := make(chan struct{})
	traffic := &slowTraffic{returned: returned}
	loop.Connect(Ports{
		Traffic:      traffic,
		SetPeers:     func(map[ident.Host]string) {},
		Send:         func(ident.Host, *peerpb.Envelope) bool { return true },
		Record:       func([]scheduling.Step, []custody.Directive) {},
		StoreMessage: func(*peerpb.Envelope) {},
	})
	loop.Post(Arrived{Arrival: chatRequest()})
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

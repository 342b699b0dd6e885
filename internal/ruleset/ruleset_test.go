package ruleset_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ruleset"
)

func TestTeamPriorityPrecedesRoutePriority(t *testing.T) {
	g := NewWithT(t)
	s := &ruleset.Ruleset{
		Routes: []ruleset.Route{{Name: "urgent", Priority: 0}, {Name: "batch", Priority: 2}},
		Teams:  []ruleset.Team{{Name: "first", Priority: 0}, {Name: "second", Priority: 1}},
	}
	s.Index()
	urgent, batch := &s.Routes[0], &s.Routes[1]
	first, second := &s.Teams[0], &s.Teams[1]
	ranks := []int{
		s.Rank(first, urgent), s.Rank(first, batch), s.Rank(second, urgent), s.Rank(second, batch),
	}
	g.Expect(ranks).To(Equal([]int{0, 2, 3, 5}))
	g.Expect(s.Ranks()).To(Equal(ranks))
	g.Expect(s.Rank(nil, batch)).To(Equal(s.Rank(first, batch)), "public routes have no team")
}

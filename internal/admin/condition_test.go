package admin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestHostFacts(t *testing.T) {
	g := NewWithT(t)
	good := HostFacts{Revision: 3, Source: "platform"}
	g.Expect(good.Conditions()).To(Equal([]Condition{
		{Name: ConditionConfigured, Holds: true, Reason: "from platform"},
		{Name: ConditionPlatformReachable, Holds: true},
		{Name: ConditionServing, Holds: true},
	}))
	bad := HostFacts{PlatformError: errors.New("timeout"), SincePlatform: -1}
	g.Expect(bad.Conditions()).To(Equal([]Condition{
		{Name: ConditionConfigured, Reason: "no configuration yet"},
		{Name: ConditionPlatformReachable, Reason: "never answered: timeout"},
		{Name: ConditionServing, Reason: "no configuration yet"},
	}))
	stopping := HostFacts{Revision: 3, Source: "h2", PlatformError: errors.New("timeout"), SincePlatform: 200 * time.Second, Stopping: true}
	g.Expect(stopping.Conditions()).To(Equal([]Condition{
		{Name: ConditionConfigured, Holds: true, Reason: "from h2"},
		{Name: ConditionPlatformReachable, Reason: "no answer for 3 min: timeout"},
		{Name: ConditionServing, Reason: "planned stop"},
	}))
}

func TestLag(t *testing.T) {
	g := NewWithT(t)
	hosts := []HostStatus{
		{Host: "h1", State: HostAlive, Revision: 2, Conditions: []Condition{{Name: ConditionServing, Holds: true}}},
		{Host: "h2", State: HostSuspect, Revision: 3},
		{Host: "h3", State: HostDead, Revision: 1},
	}
	list := withLag(hosts, 3)
	g.Expect(list[0].Conditions).To(Equal([]Condition{
		{Name: ConditionUpToDate, Reason: "at revision 2 of 3"}, {Name: ConditionServing, Holds: true},
	}))
	g.Expect(list[1].Conditions).To(Equal([]Condition{{Name: ConditionUpToDate, Holds: true}}))
	g.Expect(list[2].Conditions).To(BeEmpty())
	g.Expect(hosts[1].Conditions).To(BeEmpty())
	g.Expect(withLag(hosts, 4)[1].Conditions[0].Holds).To(BeFalse())
}

package system_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
)

// domainOf returns the domain of a host of the fleet.
func (m *members) domainOf(host ident.Host) ident.Domain {
	for i := range m.seeds {
		if hostName(i) == host {
			return m.domain(i)
		}
	}
	return ""
}

// heal lifts every cut and thaws every host.
func (m *members) heal() {
	m.cut = func(ident.Host, ident.Host) bool { return false }
	for i := range m.seeds {
		if m.machines[hostName(i)].frozen {
			m.thaw(hostName(i))
		}
	}
}

// disturb does one thing that goes wrong, or ends one. At most one host is
// frozen or lost at a time, and the next is only after the notes have settled.
func (m *members) disturb(rt *rapid.T) {
	host := rapid.IntRange(0, len(m.seeds)-1).Draw(rt, "victim")
	switch rapid.IntRange(0, 6).Draw(rt, "fault") {
	case 0:
		m.heal()
		m.run(m.now + keyledger.PartitionSettleTime)
		m.start(host)
	case 1:
		m.heal()
		m.run(m.now + keyledger.PartitionSettleTime)
		m.freeze(hostName(host))
	case 2:
		// One domain is cut off.
		gone := m.domain(host)
		m.cut = func(from, to ident.Host) bool { return (m.domainOf(from) == gone) != (m.domainOf(to) == gone) }
	case 3:
		// One direction between two hosts is lost.
		other := rapid.IntRange(0, len(m.seeds)-1).Draw(rt, "other")
		m.cut = func(from, to ident.Host) bool { return from == hostName(host) && to == hostName(other) }
	case 4:
		// One host is cut off from all others, which is to lose it.
		m.heal()
		m.run(m.now + keyledger.PartitionSettleTime)
		m.cut = func(from, to ident.Host) bool { return from == hostName(host) || to == hostName(host) }
	case 5:
		m.heal()
	}
	m.run(m.now + time.Duration(rapid.IntRange(0, 8000).Draw(rt, "fault ms"))*time.Millisecond)
}

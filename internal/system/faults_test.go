package system_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
)

// domainOf returns the domain of a host.
func (m *memberFleet) domainOf(host ident.Host) ident.Domain {
	for i := range m.seeds {
		if hostName(i) == host {
			return m.domain(i)
		}
	}
	return ""
}

// heal removes all network cuts and thaws all hosts.
func (m *memberFleet) heal() {
	m.cut = func(ident.Host, ident.Host) bool { return false }
	for i := range m.seeds {
		if m.hosts[hostName(i)].frozen {
			m.thaw(hostName(i))
		}
	}
}

// injectFault injects or ends one random fault. At most one host is frozen or lost at a
// time, and the next only after the key notes have settled.
func (m *memberFleet) injectFault(rt *rapid.T) {
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
		// A domain is partitioned from the others.
		gone := m.domain(host)
		m.cut = func(from, to ident.Host) bool { return (m.domainOf(from) == gone) != (m.domainOf(to) == gone) }
	case 3:
		// One direction between two hosts is lost.
		other := rapid.IntRange(0, len(m.seeds)-1).Draw(rt, "other")
		m.cut = func(from, to ident.Host) bool { return from == hostName(host) && to == hostName(other) }
	case 4:
		// A host is cut off from all others, which counts as a lost host.
		m.heal()
		m.run(m.now + keyledger.PartitionSettleTime)
		m.cut = func(from, to ident.Host) bool { return from == hostName(host) || to == hostName(host) }
	case 5:
		m.heal()
	}
	m.run(m.now + time.Duration(rapid.IntRange(0, 8000).Draw(rt, "fault ms"))*time.Millisecond)
}

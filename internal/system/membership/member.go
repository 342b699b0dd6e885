package membership

import (
	"math"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// State is the liveness state of a host. Its values are those on the wire.
type State uint32

// States. Within one version of a host's row a larger state overrides a smaller one.
const (
	// Alive hosts are in service.
	Alive State = iota
	// Suspect hosts failed a probe and have not refuted the suspicion yet. They
	// still count as live.
	Suspect
	// Leaving hosts are draining: they finish their work and accept no more.
	Leaving
	// Dead hosts did not refute a suspicion in time, or have departed.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "dead"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Member is what this host knows of one host.
type Member struct {
	Host        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is where the host accepts links.
	Address string
	State   State
	// Version orders the statements about one incarnation. Only the host itself
	// raises it: to refute a suspicion, to leave, or for a new revision.
	Version uint64
	// Revision is the revision of the configuration in force at the host.
	Revision uint64
	// Capacity is the host's processor capacity in millicores; 0 if unknown.
	Capacity uint32
}

// entry is a row of the member table.
type entry struct {
	Member
	// changed is the gossip clock at the row's last change, introduced the one at
	// the first change of its incarnation. introduced <= changed.
	changed    uint64
	introduced uint64
	// learnedFrom is the host that sent the last change.
	learnedFrom ident.Host
	// listed says that the row comes from the platform's list and no host has confirmed it
	// yet. The others have read the same list, so such a row isn't sent.
	listed bool
}

// neverBrief is the gossip clock at which a row counts as introduced that other hosts may not
// know even if they have acknowledged all changes.
const neverBrief = math.MaxUint64

// overrides reports whether statement a supersedes statement b about the same host.
func overrides(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// toWire encodes a member. A brief one omits the fields that are constant within
// an incarnation, which the receiver already knows.
func toWire(m *Member, brief bool) *peerpb.Member {
	w := &peerpb.Member{
		Host:        string(m.Host),
		Incarnation: m.Incarnation,
		State:       uint32(m.State),
		Version:     m.Version,
		Revision:    m.Revision,
	}
	if !brief {
		w.Domain = string(m.Domain)
		w.Address = m.Address
		w.Capacity = m.Capacity
	}
	return w
}

// fromWire decodes a member. It returns false if the member is malformed.
func fromWire(w *peerpb.Member) (Member, bool) {
	m := Member{
		Host:        ident.Host(w.GetHost()),
		Incarnation: w.GetIncarnation(),
		Domain:      ident.Domain(w.GetDomain()),
		Address:     w.GetAddress(),
		State:       State(w.GetState()),
		Version:     w.GetVersion(),
		Revision:    w.GetRevision(),
		Capacity:    w.GetCapacity(),
	}
	return m, m.Host != "" && m.State <= Dead
}

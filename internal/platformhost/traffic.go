package platformhost

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

// Failure domains of the receivers of messages, relative to this host's.
const (
	domainUnknown = iota
	domainSame
	domainOther
	domainKinds
)

// domainNames are the values of the metric's label.
var domainNames = [domainKinds]string{"unknown", "same", "other"}

// peerTraffic counts the messages to other hosts. Counting a message takes a look-up and two
// additions, without a lock.
type peerTraffic struct {
	own ident.Domain
	// domains holds the failure domains of the other hosts. It is replaced, not changed.
	domains atomic.Pointer[map[ident.Host]ident.Domain]
	writing sync.Mutex
	counts  [domainKinds][peerpb.NumKinds]struct{ messages, bytes atomic.Int64 }
}

// init sets this host's own failure domain.
func (p *peerTraffic) init(own ident.Domain) {
	p.own = own
	p.domains.Store(&map[ident.Host]ident.Domain{})
}

// addHosts adds the failure domains of hosts.
func (p *peerTraffic) addHosts(hosts []platform.Host) {
	p.writing.Lock()
	defer p.writing.Unlock()
	domains := maps.Clone(*p.domains.Load())
	for i := range hosts {
		if hosts[i].FailureDomain != "" {
			domains[ident.Host(hosts[i].Name)] = ident.Domain(hosts[i].FailureDomain)
		}
	}
	p.domains.Store(&domains)
}

// count counts a message.
func (p *peerTraffic) count(to ident.Host, kind, bytes int) {
	relative := domainUnknown
	if domain, known := (*p.domains.Load())[to]; known {
		relative = domainOther
		if domain == p.own {
			relative = domainSame
		}
	}
	c := &p.counts[relative][kind]
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

// read returns the counters that aren't 0.
func (p *peerTraffic) read() []metrics.PeerTraffic {
	var list []metrics.PeerTraffic
	for relative := range p.counts {
		for kind := range p.counts[relative] {
			c := &p.counts[relative][kind]
			if n := c.messages.Load(); n > 0 {
				list = append(list, metrics.PeerTraffic{
					Kind: peerpb.KindName(kind), Domain: domainNames[relative], Messages: n, Bytes: c.bytes.Load(),
				})
			}
		}
	}
	return list
}

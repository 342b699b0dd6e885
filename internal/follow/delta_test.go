package follow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

// pair is a host that queries a reader, and what passes between them.
type pair struct {
	*WithT
	asker, reader *Follower
	at            time.Duration
	tell          *peerpb.StoreTell
	// old makes the asker one of an earlier version, and change is applied to each answer.
	old    bool
	change func(*peerpb.StoreTell)
	got    []platform.Endpoint
	rules  *ruleset.Ruleset
}

func newPair(t *testing.T) *pair {
	p := &pair{WithT: NewWithT(t), at: time.Hour}
	log, _ := test.NewNullLogger()
	none := func() []ident.Host { return nil }
	p.reader = New(Options{Self: "reader", Log: log, Readers: none, Hosts: none})
	p.asker = New(Options{
		Self: "asker", Log: log, Readers: none, Hosts: none, Send: p.pass,
		OnEndpoints: func(list []platform.Endpoint) { p.got = list },
		OnRuleset:   func(r *ruleset.Ruleset, _ string) { p.rules = r },
	})
	return p
}

// pass answers a query as the reader does.
func (p *pair) pass(_ ident.Host, m *peerpb.Envelope) bool {
	if p.old {
		m.GetStoreAsk().Delta = false
	}
	answer := peerpb.Wrap(&peerpb.Envelope_StoreTell{StoreTell: p.reader.answer(m.GetStoreAsk())})
	p.tell = proto.CloneOf(answer.GetStoreTell())
	if p.change != nil {
		p.change(answer.GetStoreTell())
	}
	answer.From = "reader"
	p.asker.Receive(answer)
	return true
}

// read gives the reader a list of endpoints, and query has the asker query it. It returns the size
// of the answer.
func (p *pair) read(list []platform.Endpoint) {
	p.at += time.Second
	p.reader.state.adoptEndpoints(list, p.at)
}

func (p *pair) query() int {
	p.asker.state.readAt = min(p.asker.state.readAt, 1)
	p.asker.sendQuery("reader", true)
	return proto.Size(p.tell)
}

func endpointList(n int) []platform.Endpoint {
	var list []platform.Endpoint
	for i := range n {
		list = append(list, platform.Endpoint{
			Name: ident.Endpoint(fmt.Sprintf("runner-%04d", i)), Target: fmt.Sprintf("target-%d", i%17), Address: fmt.Sprintf("10.0.0.%d:8000", i),
			Domain: "d", Slots: 4, Started: 1_700_000_000_000 + int64(i),
		})
	}
	return list
}

// TestEndpointChangesAreSent checks the answer after a change of one endpoint of 600, the loss of
// another and the arrival of a third. Every host got the whole list on each change.
func TestEndpointChangesAreSent(t *testing.T) {
	p := newPair(t)
	list := endpointList(600)
	p.read(list)
	whole := p.query()
	p.Expect(p.got).To(Equal(list))
	next := endpointList(601)
	next[7].Leaving = true
	next = append(next[:20], next[21:]...)
	p.read(next)
	changed := p.query()
	p.Expect(p.got).To(Equal(next))
	p.Expect(p.tell.GetRemoved()).To(Equal([]string{"runner-0020"}))
	p.Expect(changed).To(BeNumerically("<", whole/100), "%d of %d bytes", changed, whole)
	t.Logf("the whole list takes %d bytes, the changes %d", whole, changed)

	for i := range keptLists + 1 {
		next = append([]platform.Endpoint{}, next...)
		next[0].Started += int64(i) + 1
		p.read(next)
	}
	p.Expect(p.query()).To(BeNumerically(">", whole/2), "the base is no longer known")
	p.Expect(p.got).To(Equal(next))
}

// TestWrongChangesAreDiscarded checks that changes that don't yield the sender's list are not
// applied, and that the whole list follows.
func TestWrongChangesAreDiscarded(t *testing.T) {
	p := newPair(t)
	list := endpointList(10)
	p.read(list)
	p.query()
	next := endpointList(12)
	p.read(next)
	p.change = func(m *peerpb.StoreTell) { m.List = m.GetList()[:1] }
	p.query()
	p.Expect(p.got).To(Equal(list))
	p.change = nil
	p.query()
	p.Expect(p.tell.GetBase()).To(BeZero())
	p.Expect(p.got).To(Equal(next))
}

// TestEarlierVersionsGetWholeLists checks a host that doesn't know changes and compression.
func TestEarlierVersionsGetWholeLists(t *testing.T) {
	p := newPair(t)
	p.old = true
	p.reader.state.adoptRuleset(&ruleset.Ruleset{Version: 3, Raw: []byte(`{"version":3}`)}, p.at)
	for n := range 3 {
		p.read(endpointList(5 + n))
		p.query()
		p.Expect(p.tell.GetList()).To(HaveLen(5 + n))
		p.Expect(p.tell.GetConfigurationZstd()).To(BeEmpty())
	}
	p.Expect(p.tell.GetConfiguration()).To(BeEmpty(), "it has it since the first answer")
	p.Expect(p.rules.Version).To(BeEquivalentTo(3))
}

// TestConfigurationIsCompressed checks that a configuration arrives as it is stored, and that a
// damaged or oversized one is rejected.
func TestConfigurationIsCompressed(t *testing.T) {
	p := newPair(t)
	raw := `{"version":3,"tenants":[` + strings.Repeat(`{"name":"a-team","rate_per_s":1000},`, 650) + `{"name":"b"}]}`
	p.reader.state.adoptRuleset(&ruleset.Ruleset{Version: 3, Raw: []byte(raw)}, p.at)
	damage := []byte("no frame")
	p.change = func(m *peerpb.StoreTell) { m.ConfigurationZstd = damage }
	p.query()
	p.Expect(p.rules).To(BeNil())
	p.Expect(decompress(&peerpb.StoreTell{
		ConfigurationZstd: (&compressed{}).of(1, make([]byte, maxConfigurationBytes+1)),
	})).NotTo(Succeed())
	p.change = nil
	size := p.query()
	p.Expect(string(p.rules.Raw)).To(Equal(raw))
	p.Expect(size).To(BeNumerically("<", len(raw)/20))
}

package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
)

// asking is a host of several that asks others what they know of the store.
type asking struct {
	*WithT
	follower *Follower
	readers  []ident.Host
	// stale holds the hosts whose knowledge is old, silent those that don't answer.
	stale, silent map[ident.Host]bool
	asked         []ident.Host
}

// newAsking returns a host beside seven others, two of which read the store.
func newAsking(t *testing.T) *asking {
	a := &asking{
		WithT: NewWithT(t), readers: []ident.Host{"r1", "r2"},
		stale: map[ident.Host]bool{}, silent: map[ident.Host]bool{},
	}
	log, _ := test.NewNullLogger()
	hosts := append([]ident.Host{"self", "h1", "h2", "h3", "h4", "h5"}, a.readers...)
	a.follower = New(Options{
		Self: "self", Log: log, Readers: func() []ident.Host { return a.readers },
		Hosts: func() []ident.Host { return hosts }, Send: a.send,
	})
	a.follower.reading.Store(false)
	a.follower.state.adoptRules(&ruleset.Ruleset{Version: 7}, 1)
	a.follower.state.adoptEndpoints(nil, 1)
	return a
}

// send answers a question as the host asked would.
func (a *asking) send(to ident.Host, m *peerpb.Envelope) bool {
	a.asked = append(a.asked, to)
	if a.silent[to] {
		return true
	}
	age := 100 * time.Millisecond
	if a.stale[to] {
		age = freshAge
	}
	answer := peerpb.Wrap(&peerpb.Envelope_StoreTell{StoreTell: &peerpb.StoreTell{
		Seq: m.GetStoreAsk().GetSeq(), Version: 7, VersionAgeUs: age.Microseconds(), EndpointsAgeUs: age.Microseconds(),
		Endpoints: m.GetStoreAsk().GetEndpoints(),
	}})
	answer.From = string(to)
	a.follower.Receive(answer)
	return true
}

// ask asks once, as FollowPeers does, and returns who was asked.
func (a *asking) ask() ident.Host {
	to, ok := a.follower.chooseReader(a.readers)
	a.Expect(ok).To(BeTrue())
	reader := to == a.readers[0] || to == a.readers[1]
	a.follower.askReader(to, reader)
	if a.silent[to] {
		// Its time to answer is over.
		a.follower.askMu.Lock()
		a.follower.asked.at -= answerTimeout
		a.follower.askMu.Unlock()
	}
	return to
}

// TestOthersHelpWhenTheReadersAreStale has readers that the store turns away, while it
// serves another host: that one is found and asked, and the readers are asked again when
// they know more.
func TestOthersHelpWhenTheReadersAreStale(t *testing.T) {
	for name, silent := range map[string]bool{"turned away": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			a := newAsking(t)
			for _, h := range []ident.Host{"r1", "r2", "h1", "h2", "h3", "h4"} {
				a.stale[h], a.silent[h] = !silent, silent
			}
			for range 40 {
				if a.ask() == "h5" {
					break
				}
			}
			a.Expect(a.asked).To(ContainElement(ident.Host("h5")), "every host is asked at some time")
			a.Expect(a.follower.fresh()).To(BeTrue())
			readers, others := 0, 0
			for range 30 {
				if to := a.ask(); to == "h5" {
					others++
				} else {
					a.Expect(a.readers).To(ContainElement(to), "one that helps is enough")
					readers++
				}
			}
			a.Expect(others).To(BeNumerically(">=", 15))
			a.Expect(readers).To(BeNumerically(">=", 5), "the readers may know more again")
			clear(a.stale)
			clear(a.silent)
			for range 2 * readerEvery {
				a.ask()
			}
			for range 10 {
				a.Expect(a.readers).To(ContainElement(a.ask()))
			}
		})
	}
}

// TestHostsThatReadForNobodyComeBackLater has a store that fails every call: the readers
// try twice a second, the others less often.
func TestHostsThatReadForNobodyComeBackLater(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	calls := func(reading bool) int {
		d := dependency{log: log, name: "configuration", reading: func() bool { return reading }}
		n := 0
		for at := time.Duration(0); at < 10*time.Second; n++ {
			wait := d.failed(errors.New("away"))
			g.Expect(wait).To(BeNumerically("<=", (1+retryJitter)*float64(lastOwnRetry)))
			at += wait
		}
		return n
	}
	g.Expect(calls(true)).To(BeNumerically(">=", 18))
	g.Expect(calls(false)).To(BeNumerically("<=", 10))
}

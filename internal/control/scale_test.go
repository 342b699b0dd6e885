package control

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
)

// scaleHosts is the largest number of hosts in TestScale. 300 takes about 15 s.
var scaleHosts = flag.Int("scale-hosts", 100, "largest number of hosts in TestScale")

// Workload and timing of a scaleFleet. The endpoints, teams and requests are the same for
// every number of hosts, so whatever grows with the hosts is the hosts' own traffic.
const (
	scaleTargets   = 17
	scaleEndpoints = 60
	scaleTeams     = 100
	// scaleGap is the time between two requests.
	scaleGap = 8 * time.Millisecond
	// scaleJoin is the time from a host's start to its row in the store, and from there to
	// its list of hosts and its configuration.
	scaleJoin = 20 * time.Millisecond
	// scaleWindow is the length of a measurement.
	scaleWindow = 10 * time.Second
)

// scaleFleet is a simulation of hosts in two regions whose configuration and list of hosts
// come from a store. It counts the messages between hosts.
type scaleFleet struct {
	*simulation
	names       []ident.Host
	incarnation uint64
	// spread is the time within which all hosts start. Those in gone don't.
	spread time.Duration
	gone   map[ident.Host]bool
	// rows are the hosts' rows in the store.
	rows     map[ident.Host]platform.HostEntry
	snapshot *resource.Snapshot
	limits   map[ident.Team]quota.Limit
	traffic  scaleTraffic
}

// scaleTraffic counts messages and bytes, by kind and by host, and the hosts that each host
// exchanged messages with.
type scaleTraffic struct {
	messages, bytes map[string]int
	byHost          map[ident.Host]int
	links           map[ident.Host]map[ident.Host]bool
	peak            int
	second          map[ident.Host]int
	until           time.Duration
}

func newScaleTraffic() scaleTraffic {
	return scaleTraffic{
		messages: map[string]int{}, bytes: map[string]int{}, byHost: map[ident.Host]int{},
		links: map[ident.Host]map[ident.Host]bool{}, second: map[ident.Host]int{},
	}
}

// count counts a message at both its ends.
func (x *scaleTraffic) count(now time.Duration, from ident.Host, send system.Send) {
	size := proto.Size(send.Message)
	kind := peerpb.KindName(peerpb.Kind(send.Message))
	x.messages[kind]++
	x.bytes[kind] += size
	if now >= x.until {
		x.until = now.Truncate(time.Second) + time.Second
		clear(x.second)
	}
	for _, ends := range [][2]ident.Host{{from, send.To}, {send.To, from}} {
		x.byHost[ends[0]] += size
		x.second[ends[0]] += size
		x.peak = max(x.peak, x.second[ends[0]])
		if x.links[ends[0]] == nil {
			x.links[ends[0]] = map[ident.Host]bool{}
		}
		x.links[ends[0]][ends[1]] = true
	}
}

// medianAndMax returns the median and the largest of the hosts' values.
func medianAndMax[V any](hosts []ident.Host, m map[ident.Host]V, value func(V) int) (median, most int) {
	var list []int
	for _, h := range hosts {
		list = append(list, value(m[h]))
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1]
}

func newScaleFleet(hosts int) *scaleFleet {
	f := &scaleFleet{
		simulation: &simulation{
			rng: rand.New(rand.NewPCG(uint64(hosts), 1)), hosts: map[ident.Host]*simHost{},
			table: table{rows: map[string]platform.Row{}}, cut: map[[2]ident.Domain]bool{},
			endpoints: map[ident.Endpoint]*endpoint{}, requests: map[ident.Request]*request{}, outcomes: map[result.Code]int{},
		},
		rows: map[ident.Host]platform.HostEntry{}, snapshot: resource.NewSnapshot(), limits: map[ident.Team]quota.Limit{},
		traffic: newScaleTraffic(), spread: 200 * time.Millisecond, gone: map[ident.Host]bool{},
	}
	f.onSend = func(from ident.Host, send system.Send) { f.traffic.count(f.now, from, send) }
	for i := range hosts {
		f.names = append(f.names, ident.Host(fmt.Sprintf("entry-%03d", i)))
	}
	f.snapshot.Revision = 1
	f.snapshot.Tiers["rank-0"] = resource.Tier{Name: "rank-0"}
	for i := range scaleTeams {
		team := ident.Team(fmt.Sprintf("team-%d", i))
		f.snapshot.Teams[string(team)] = resource.Team{Name: team, Weight: 1}
		f.limits[team] = quota.Limit{Rate: 10_000, Burst: 10_000, Debt: 3000}
	}
	return f
}

// region returns the region of a host. Each region has all endpoints.
func (f *scaleFleet) region(i int) ident.Domain { return domainNames[i%2] }

// regionSnapshot returns the configuration of a region's hosts.
func (f *scaleFleet) regionSnapshot(d ident.Domain) *resource.Snapshot {
	out := *f.snapshot
	out.Endpoints = map[string]resource.Endpoint{}
	for i := range scaleEndpoints {
		name := ident.Endpoint(fmt.Sprintf("runner-%02d", i))
		if f.endpoints[name] == nil {
			f.endpoints[name] = &endpoint{domain: d, runs: map[ident.Request]int{}}
		}
		out.Endpoints[string(name)] = resource.Endpoint{
			Name: name, Address: string(name), Domain: d, Scope: d, Target: fmt.Sprintf("target-%d", i%scaleTargets),
			Type: resource.EndpointEngine, State: resource.EndpointActive, Slots: 16, CacheTokens: 1 << 16, SpeedsAssumed: true,
		}
	}
	return &out
}

// startAll starts a process of every host within the spread.
func (f *scaleFleet) startAll() {
	f.incarnation++
	for i, name := range f.names {
		if f.gone[name] {
			continue
		}
		f.at(f.now+f.random(f.spread), func() { f.startHost(i, name, f.incarnation) })
	}
}

// startHost starts a host as platformhost does: it writes its row, reads the list of hosts
// and the configuration, and reads the list again later.
func (f *scaleFleet) startHost(i int, name ident.Host, incarnation uint64) {
	d := f.region(i)
	capacity := uint32(130 + (i*37)%670)
	m := &simHost{domain: d, started: f.now}
	m.core = New(Config{
		Self: name, Incarnation: incarnation, Domain: d, Address: string(name), Capacity: capacity,
		Seed: f.rng.Uint64(), Nonce: func() string { return "" }, External: true,
	})
	f.hosts[name] = m
	f.at(f.now+scaleJoin, func() { f.rows[name] = hostRow(name, d, incarnation, capacity) })
	for _, delay := range listTimes {
		f.at(f.now+2*scaleJoin+delay, func() {
			if f.hosts[name] == m {
				f.post(name, HostsListed{Hosts: f.list()}, 0)
			}
		})
	}
	f.post(name, TeamLimits{Teams: f.limits}, 2*scaleJoin+f.random(scaleJoin))
	f.post(name, ConfigurationChanged{Snapshot: f.regionSnapshot(d)}, 2*scaleJoin+f.random(scaleJoin))
	f.at(f.now+2*scaleJoin, func() { f.scheduleWake(f.now, name) })
}

// list returns the rows in the store.
func (f *scaleFleet) list() []platform.HostEntry {
	var list []platform.HostEntry
	for _, name := range slices.Sorted(maps.Keys(f.rows)) {
		list = append(list, f.rows[name])
	}
	return list
}

// run runs for a time, during which callers send requests, and returns these.
func (f *scaleFleet) run(length time.Duration) []*request {
	start := f.now
	var sent []*request
	for at := scaleGap; at <= length; at += scaleGap {
		f.runUntil(start + at)
		name := f.names[f.rng.IntN(len(f.names))]
		if f.hosts[name] == nil || f.hosts[name].dead {
			continue
		}
		sent = append(sent, f.send(name, custody.Arrival{
			Team: ident.Team(fmt.Sprintf("team-%d", f.rng.IntN(scaleTeams))), Target: fmt.Sprintf("target-%d", f.rng.IntN(scaleTargets)),
			PromptTokens: 100, MaxTokens: 10, Idempotent: true, Fingerprint: f.rng.Uint64(), Cost: 300,
		}, 30*time.Second))
	}
	return sent
}

// codesBySecond counts the requests by the second after a time in which they were sent, and
// by the code of their answers.
func codesBySecond(start time.Duration, sent []*request) []map[string]int {
	var seconds []map[string]int
	for _, r := range sent {
		for len(seconds) <= int((r.sent-start)/time.Second) {
			seconds = append(seconds, map[string]int{})
		}
		seconds[len(seconds)-1][r.code.String()]++
	}
	return seconds
}

// agreed reports whether all hosts of each region name the same scheduler for every pool, and
// that one schedules it.
func (f *scaleFleet) agreed() bool {
	schedulers := map[ident.Pool]ident.Host{}
	for _, name := range f.names {
		m := f.hosts[name]
		if f.gone[name] {
			continue
		}
		if m == nil || m.core.snapshot == nil {
			return false
		}
		for _, p := range m.core.scheduling.DeclaredPools() {
			host, ok := m.core.scheduler(p)
			if known := schedulers[p]; !ok || known != "" && known != host {
				return false
			}
			schedulers[p] = host
		}
	}
	for p, host := range schedulers {
		if f.hosts[host].core.scheduling.Status(p) == nil {
			return false
		}
	}
	return true
}

// restartAll kills all hosts, starts them again half a second later, and returns the requests sent
// from then on, and since when the hosts have agreed without a break; negative if they don't.
func (f *scaleFleet) restartAll(t *testing.T) (sent []*request, agreed time.Duration) {
	for _, name := range f.names {
		f.kill(name)
	}
	f.runUntil(f.now + 500*time.Millisecond)
	f.traffic = newScaleTraffic()
	start := f.now
	f.startAll()
	agreed = -1
	for at := 50 * time.Millisecond; at <= scaleWindow; at += 50 * time.Millisecond {
		f.at(start+at, func() {
			if !f.agreed() {
				agreed = -1
			} else if agreed < 0 {
				agreed = at
			}
		})
	}
	sent = f.run(scaleWindow)
	f.report(t, "start", scaleWindow)
	f.runUntil(f.now + 31*time.Second)
	t.Logf("agreement after %v; first dispatch after %v; answers by second of sending: %v",
		agreed, f.firstRunAfter(start)-start, codesBySecond(start, sent))
	return sent, agreed
}

// report writes the traffic of a phase as a table.
func (f *scaleFleet) report(t *testing.T, phase string, length time.Duration) {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 1, 1, ' ', tabwriter.AlignRight)
	n := float64(len(f.names)) * length.Seconds()
	for _, kind := range slices.Sorted(maps.Keys(f.traffic.messages)) {
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.0f\t\n", kind, float64(f.traffic.messages[kind])/n, float64(f.traffic.bytes[kind])/n)
	}
	_ = w.Flush()
	count := func(n int) int { return n }
	median, most := medianAndMax(f.names, f.traffic.byHost, count)
	links, mostLinks := medianAndMax(f.names, f.traffic.links, func(m map[ident.Host]bool) int { return len(m) })
	t.Logf("%d hosts, %s: kB/s of a host in and out: median %.1f, busiest %.1f, largest in a second %.1f; peers: median %d, most %d; "+
		"messages and bytes sent per host and second by kind:\n%s",
		len(f.names), phase, float64(median)/1000/length.Seconds(), float64(most)/1000/length.Seconds(), float64(f.traffic.peak)/1000,
		links, mostLinks, b.String())
}

// TestScale starts fleets of different sizes with the same requests, and kills all hosts and
// starts them again half a second later. It guards against traffic that grows with the number of
// hosts and against hosts that disagree for long on who schedules a pool: 105 hosts opened a
// link between every two of them in the second and a half after such a start.
func TestScale(t *testing.T) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		if hosts > *scaleHosts {
			continue
		}
		t.Run(fmt.Sprint(hosts), func(t *testing.T) { testScale(t, hosts) })
	}
}

func testScale(t *testing.T, hosts int) {
	g := NewWithT(t)
	f := newScaleFleet(hosts)
	f.startAll()
	f.run(15 * time.Second)
	f.traffic = newScaleTraffic()
	f.run(scaleWindow)
	f.report(t, "steady", scaleWindow)
	median, most := medianAndMax(f.names, f.traffic.byHost, func(n int) int { return n / int(scaleWindow/time.Second) })
	g.Expect(median).To(BeNumerically("<", 20_000), "bytes/s of the median host")
	g.Expect(most).To(BeNumerically("<", 60_000), "bytes/s of the busiest host")
	g.Expect(f.traffic.messages["usage"]).To(BeNumerically("<", 200*int(scaleWindow/time.Second)*scaleTargets), "reports go to schedulers")
	sent, agreed := f.restartAll(t)
	g.Expect(f.violations()).To(BeEmpty())
	g.Expect(f.traffic.peak).To(BeNumerically("<", 60_000+600*hosts), "bytes of a host in a second after the start")
	g.Expect(servedShare(sent)).To(BeNumerically(">", 0.95))
	g.Expect(agreed).To(BeNumerically("~", time.Second, time.Second))
	// Each pool's scheduler asks each host twice: it may know its earlier process from the list.
	g.Expect(f.traffic.messages["take_over"]).To(BeNumerically("<", 3*2*scaleTargets*hosts))
}

// servedShare returns the share of requests that were answered by an endpoint.
func servedShare(sent []*request) float64 {
	ok := 0
	for _, r := range sent {
		if r.code == result.OK {
			ok++
		}
	}
	return float64(ok) / float64(len(sent))
}

// TestScaleHardStarts starts hosts of which every sixth is gone for good though the list names it,
// and hosts that take up to three seconds to start. It guards against hosts that wait for those
// that don't answer.
func TestScaleHardStarts(t *testing.T) {
	for name, prepare := range map[string]func(*scaleFleet) (settled time.Duration){
		"some are gone": func(f *scaleFleet) time.Duration {
			for i, name := range f.names {
				f.gone[name] = i%6 == 0
			}
			return time.Second
		},
		"slow": func(f *scaleFleet) time.Duration {
			f.spread = 3 * time.Second
			return f.spread + time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newScaleFleet(30)
			f.startAll()
			f.run(10 * time.Second)
			settled := f.now + 500*time.Millisecond + prepare(f)
			sent, agreed := f.restartAll(t)
			g.Expect(servedShare(slices.DeleteFunc(sent, func(r *request) bool { return r.sent < settled }))).To(BeNumerically(">", 0.97))
			g.Expect(agreed).To(BeNumerically("~", 3500*time.Millisecond, 3500*time.Millisecond))
			g.Expect(f.violations()).To(BeEmpty())
		})
	}
}

// listTimes are the times after its first list at which a host reads the list of hosts.
var listTimes = []time.Duration{0, 250 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// hostRow returns a host's row in the store.
func hostRow(name ident.Host, d ident.Domain, incarnation uint64, capacity uint32) platform.HostEntry {
	return platform.HostEntry{
		Host: string(name), Domain: string(d), Address: string(name), Incarnation: incarnation, Capacity: capacity,
	}
}

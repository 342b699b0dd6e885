package process_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// binary is the program under test.
var binary string

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("github.com/trefoilchute/trefoilchute/cmd/trefoilchute")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// manifest declares a tier, a team and routes; endpoints are added to it.
func manifest(endpoints ...string) string {
	base := fmt.Sprintf(`[tier urgent]
rank = 0
deadline = 60s
max_queued = 100

[team clerks]
tier = urgent
weight = 1
key_sha256 = %x

[route chat]
path = /v1/chat/completions
model = assistant
target = assistant
type = engine
idempotent = yes
max_body = 1MiB
max_tokens = 2000
`, sha256.Sum256([]byte(key)))
	return base + strings.Join(endpoints, "")
}

// engineEndpoint declares a model engine.
func engineEndpoint(name, domain, address string) string {
	return fmt.Sprintf(`
[endpoint %s]
address = %s
domain = %s
target = assistant
type = engine
state = active
slots = 4
prefill_rate = 8000 tokens/s
decode_rate = 60 tokens/s
cache_tokens = 65536
fencing = enforced
`, name, address, domain)
}

// orderRoute declares the route of the plain services.
const orderRoute = `
[route order]
path = /orders
target = orders
type = service
idempotent = no
max_body = 64KiB
`

// serviceEndpoint declares a plain service.
func serviceEndpoint(name, domain, address string) string {
	return fmt.Sprintf(`
[endpoint %s]
address = %s
domain = %s
target = orders
type = service
state = active
slots = 4
`, name, address, domain)
}

var _ = Describe("the whole path", func() {
	It("serves at one host what another host schedules", func() {
		d := newDeployment()
		one := d.endpoint("engine-1")
		two := d.endpoint("engine-2")
		d.entry("entry-1", "zone-a")
		d.entry("entry-2", "zone-a")
		d.entry("entry-3", "zone-b")
		d.awaitHosts()
		d.apply(d.hosts["entry-1"], manifest(
			engineEndpoint("engine-1", "zone-a", one), engineEndpoint("engine-2", "zone-b", two)))

		scheduler := d.schedulerOf("assistant@zone-a")
		other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[scheduler]
		Expect(other).NotTo(BeEmpty(), "the scheduler stands in zone-a")
		got := chat(d.hosts[other], `{"model":"assistant","stream":true,"max_tokens":5,
			"messages":[{"role":"user","content":"how much is left on meter 7"}]}`)

		Expect(got.status).To(Equal(200))
		Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(strings.Count(got.body, `"seq":`)).To(Equal(5))
		id := got.header.Get("X-Request-Id")
		Expect(id).To(HavePrefix(other + "."))
		Expect(strings.Count(got.body, id)).To(Equal(5), "every chunk is of this request")
		Expect(arrivals(one)).To(ContainSubstring(id))
		Expect(arrivals(two)).NotTo(ContainSubstring(id))
		Expect(run("explain", "--host", d.hosts[scheduler].admin, id)).To(ContainSubstring("placed"))
	})
})

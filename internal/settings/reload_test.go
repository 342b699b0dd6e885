package settings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// gatewayExample is a whole file of a gateway's settings.
const gatewayExample = `[host]
name = host-1
domain = a
region = r
memory_mb = 128
cores = 1
core_share = 0.5
stop_grace = 8s
[callers]
listen = 10.0.0.1:1
ready_listen = 10.0.0.1:2
[peer]
listen = 10.0.0.1:3
[metrics]
listen = 10.0.0.1:4
[platform]
store = 10.0.0.9:1
key_life = 5s
[retry]
ratio = 0.2
extra = 50
window = 10s
[quota]
slack = 0
window = 8s
`

func TestReload(t *testing.T) {
	g := NewWithT(t)
	inForce, err := ParseGateway("s.ini", []byte(gatewayExample))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inForce.HeadLimit).To(Equal(64 << 10))
	read := *inForce
	read.Host, read.KeyLife, read.HeadLimit = "host-2", 3*time.Second, 8<<10
	change := inForce.Reload(&read)
	g.Expect(change.Applied).To(Equal([]string{"platform.key_life", "endpoints.head_limit"}))
	g.Expect(change.AtStart).To(Equal([]string{"host.name"}))
	g.Expect(change.InForce.Host).To(BeEquivalentTo("host-1"))
	g.Expect(change.InForce.KeyLife).To(Equal(3 * time.Second))
	again := inForce.Reload(inForce)
	g.Expect(append(again.Applied, again.AtStart...)).To(BeEmpty())
}

// TestVersionsTellSettingsApart: hosts that differ in their names and addresses alone have
// the same version.
func TestVersionsTellSettingsApart(t *testing.T) {
	g := NewWithT(t)
	one, err := ParseGateway("s.ini", []byte(gatewayExample))
	g.Expect(err).NotTo(HaveOccurred())
	other := *one
	other.Host, other.Listen = "host-2", "10.0.0.2:1"
	g.Expect(other.Version()).To(Equal(one.Version()))
	other.KeyLife = 3 * time.Second
	g.Expect(other.Version()).NotTo(Equal(one.Version()))
}

package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// TestRolloutSectionIsOptionalButWhole checks that roll-outs are off without their section, and
// that a section that lacks a bound is an error instead of a bound of zero.
func TestRolloutSectionIsOptionalButWhole(t *testing.T) {
	g := NewWithT(t)
	off, err := ParseGateway("s.ini", []byte(gatewayExample))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(off.Rollout.Enabled()).To(BeFalse())
	const section = "[rollout]\nshare = 0.1\nslack = 50\nrollback = 5000ms\n"
	on, err := ParseGateway("s.ini", []byte(gatewayExample+section))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(on.Rollout).To(Equal(rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}))
	_, err = ParseGateway("s.ini", []byte(gatewayExample+strings.Replace(section, "slack = 50\n", "", 1)))
	g.Expect(err).To(MatchError(ContainSubstring("[rollout] slack: expected the key")))
	change := off.Reload(on)
	g.Expect(change.AtStart).To(ConsistOf("rollout.share", "rollout.slack", "rollout.rollback"))
	g.Expect(change.InForce.Rollout.Enabled()).To(BeFalse())
}

// TestDeployedTemplateIsValidHoweverItsSectionsAreRendered guards against a host that does not
// start where the platform does not give the bounds of roll-outs, or renders no sections.
func TestDeployedTemplateIsValidHoweverItsSectionsAreRendered(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	const begin, end = "{{#bounds.rollback_ms}}\n", "{{/bounds.rollback_ms}}\n"
	values := strings.NewReplacer("{{node_name}}", "host-1", "{{zone}}", "a", "{{region}}", "r", "{{ip}}", "10.0.0.1",
		"{{listen.front}}", "10.0.0.1:1", "{{listen.readiness}}", "10.0.0.1:2", "{{internal_ports.0}}", "3",
		"{{platform.address}}", "10.0.0.9:1", "{{bounds.expose_share}}", "0.25", "{{limits.memory_mb}}", "128", "{{limits.cpu_share}}", "1",
		"{{bounds.retry_budget_ratio}}", "0.2")
	for name, c := range map[string]struct {
		render func(string) string
		on     bool
	}{
		"value given": {func(s string) string { return strings.NewReplacer(begin, "", end, "").Replace(s) }, true},
		"value absent": {func(s string) string {
			head, rest, _ := strings.Cut(s, begin)
			_, tail, _ := strings.Cut(rest, end)
			return head + tail
		}, false},
		"sections not rendered": {func(s string) string { return s }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := values.Replace(c.render(string(template)))
			for _, number := range []string{"{{bounds.rollback_ms}}", "{{bounds.expose_slack}}", "{{limits.cpu_cores}}", "{{bounds.grace_s}}", "{{bounds.revoke_ms}}", "{{bounds.budget_extra}}", "{{bounds.budget_window_s}}", "{{bounds.quota_slack}}", "{{bounds.quota_window_s}}"} {
				text = strings.ReplaceAll(text, number, "1000")
			}
			s, err := ParseGateway("settings.ini", []byte(text))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Rollout.Enabled()).To(Equal(c.on))
		})
	}
}

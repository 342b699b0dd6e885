package platformhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

// reloadFixture is a host whose settings file a test can change.
type reloadFixture struct {
	*WithT
	host         *Host
	settingsFile settings.Gateway
	readErr      error
	hook         *test.Hook
}

// newReloadFixture returns a fixture whose host isn't serving.
func newReloadFixture(t *testing.T) *reloadFixture {
	t.Helper()
	r := &reloadFixture{WithT: NewWithT(t)}
	r.settingsFile = settings.Gateway{
		Host: "host-1", Domain: "d", Region: "region", Store: anyPort, Memory: 64, Cores: 1, CoreShare: 1,
		Listen: anyPort, ReadyListen: anyPort, MetricsListen: anyPort, PeerListen: anyPort,
		StopGrace: 8 * time.Second, KeyLife: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50,
		RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second,
		HeadLimit: 64 << 10, EventLimit: 1 << 20, DiscardWait: 100 * time.Millisecond, LogLevel: "info",
	}
	log := discardLogger()
	r.hook = test.NewLocal(log)
	var err error
	r.host, err = New(r.settingsFile, func() (*settings.Gateway, error) {
		read := r.settingsFile
		return &read, r.readErr
	}, log)
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		r.host.cancel()
		_ = r.host.gateway.Close()
		r.host.closeListeners()
	})
	return r
}

// lastLog returns the fields of the last log entry.
func (r *reloadFixture) lastLog() logrus.Fields {
	entry := r.hook.LastEntry()
	r.Expect(entry).NotTo(BeNil())
	return entry.Data
}

func TestReloadAppliesChangedSettings(t *testing.T) {
	r := newReloadFixture(t)
	before := r.host.settings.Load().Version()
	r.settingsFile.KeyLife, r.settingsFile.LogLevel, r.settingsFile.StopGrace = 3*time.Second, "debug", 9*time.Second
	r.host.reload()
	inForce := r.host.settings.Load()
	r.Expect(inForce.StopGrace).To(Equal(9 * time.Second))
	r.Expect(r.host.gateway.Tuning().KeyLife).To(Equal(3 * time.Second))
	r.Expect(r.host.gateway.Tuning().Version).To(Equal(inForce.Version()))
	r.Expect(r.host.logger.GetLevel()).To(Equal(logrus.DebugLevel))
	r.Expect(inForce.Version()).NotTo(Equal(before))
	r.Expect(r.lastLog()).To(And(
		HaveKeyWithValue("event", string(logs.Settings)), HaveKeyWithValue("version", inForce.Version()),
		HaveKeyWithValue("before", before), HaveKeyWithValue("outcome", reloadApplied),
		HaveKeyWithValue("applied", "host.stop_grace platform.key_life log.level"), HaveKeyWithValue("at_start", ""),
	))
	r.Expect(r.host.status().Settings).To(Equal(inForce.Version()))
}

func TestReloadDefersSettingsThatNeedRestart(t *testing.T) {
	r := newReloadFixture(t)
	r.settingsFile.Domain, r.settingsFile.Listen, r.settingsFile.KeyLife = "elsewhere", "127.0.0.1:1", 3*time.Second
	r.host.reload()
	inForce := r.host.settings.Load()
	r.Expect(inForce.Domain).To(BeEquivalentTo("d"))
	r.Expect(inForce.Listen).To(Equal(anyPort))
	r.Expect(inForce.KeyLife).To(Equal(3*time.Second), "a setting that needs no restart is applied")
	r.Expect(r.lastLog()).To(And(
		HaveKeyWithValue("outcome", reloadNeedsRestart), HaveKeyWithValue("at_start", "host.domain callers.listen"),
		HaveKeyWithValue("applied", "platform.key_life"),
	))
}

func TestReloadRejectsInvalidSettings(t *testing.T) {
	r := newReloadFixture(t)
	before := *r.host.settings.Load()
	r.settingsFile.KeyLife = 3 * time.Second
	r.readErr = errors.New("s.ini:4: [retry] ratio: expected a number between 0 and 1")
	r.host.reload()
	r.Expect(*r.host.settings.Load()).To(Equal(before))
	r.Expect(r.host.gateway.Tuning().KeyLife).To(Equal(5 * time.Second))
	r.Expect(r.lastLog()).To(And(
		HaveKeyWithValue("event", string(logs.SettingsRejected)), HaveKeyWithValue("version", before.Version()),
		HaveKeyWithValue(logrus.ErrorKey, MatchError(ContainSubstring("s.ini:4: [retry] ratio"))),
	))
	r.readErr = nil
	r.host.reload()
	r.Expect(r.host.settings.Load().KeyLife).To(Equal(3 * time.Second))
}

package platformhost

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/gateway"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

// Outcomes of a reload, as metric labels.
const (
	reloadApplied      = "applied"
	reloadUnchanged    = "unchanged"
	reloadNeedsRestart = "at_start"
	reloadRejected     = "rejected"
)

// reload reads the settings file and applies the settings that can change without a
// restart. An invalid file changes nothing.
func (h *Host) reload() {
	before := h.settings.Load()
	read, err := h.readSettings()
	if err != nil {
		h.metrics.Reloaded(reloadRejected)
		logs.With(h.log, logs.SettingsRejected).WithField("version", before.Version()).WithError(err).Error()
		return
	}
	change := before.Reload(read)
	h.applySettings(change.InForce)
	outcome := reloadUnchanged
	switch {
	case len(change.AtStart) > 0:
		outcome = reloadNeedsRestart
	case len(change.Applied) > 0:
		outcome = reloadApplied
	}
	h.metrics.Reloaded(outcome)
	line := logs.With(h.log, logs.Settings).WithFields(logrus.Fields{
		"version": change.InForce.Version(), "before": before.Version(), "outcome": outcome,
		"applied": strings.Join(change.Applied, " "), "at_start": strings.Join(change.AtStart, " "),
	})
	if len(change.AtStart) > 0 {
		line.Warn()
		return
	}
	line.Info()
}

// applySettings puts settings into effect.
func (h *Host) applySettings(s *settings.Gateway) {
	h.settings.Store(s)
	h.limitMemory(s)
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		h.logger.SetLevel(level)
	}
	h.gateway.SetTuning(tuning(s))
	h.view.mu.Lock()
	h.publishLimits()
	h.view.mu.Unlock()
}

// tuning returns the settings of the gateway that can change while it serves.
func tuning(s *settings.Gateway) gateway.Tuning {
	return gateway.Tuning{
		Version: s.Version(), KeyLife: s.KeyLife,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
		HeadLimit: s.HeadLimit, EventLimit: s.EventLimit, DiscardWait: s.DiscardWait,
		MaxBackoff: s.MaxBackoff, Memory: callerLimits(s), HeaderLines: s.HeaderLines, EmptyLines: s.EmptyLines,
	}
}

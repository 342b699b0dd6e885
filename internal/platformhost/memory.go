package platformhost

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/trefoilchute/trefoilchute/internal/gateway"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/memory"
	"github.com/trefoilchute/trefoilchute/internal/settings"
)

const (
	// memoryLimitFraction is the fraction of the process's memory that is set as the
	// runtime's memory limit. The rest is for the program's own pages and for kernel
	// buffers.
	memoryLimitFraction = 0.6
	// ownBytes is what the process holds itself, in the runtime's memory.
	ownBytes = 16 << 20
	// budgetFraction is the part of the rest that callers may take. The other part is garbage
	// between two collections.
	budgetFraction = 0.5
	// minBudgetBytes is the least budget: a body of the usual limit fits.
	minBudgetBytes = 6 << 20
	// connectionFraction is the part of the process's memory that callers' connections may take,
	// and connectionBytes what one takes, with the kernel's buffers, beside what the budget counts.
	connectionFraction, connectionBytes = 0.25, 48 << 10
	// descriptorFraction is the part of the open files that callers' connections may be. Each
	// running request has a connection to an endpoint too; the rest is for the other hosts.
	descriptorFraction = 0.4
	minConnections     = 16
)

// limitMemory sets the runtime's soft memory limit from the settings.
func (h *Host) limitMemory(s *settings.Gateway) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory) * (1 << 20)))
	limits := callerLimits(s)
	logs.With(h.log, logs.MemoryLimits).WithField("budget", limits.Bytes).WithField("connections", limits.Connections).Info()
}

// callerLimits returns the bounds of what is held for callers: those of the settings, or else those
// that follow from the process's memory and its limit of open files.
func callerLimits(s *settings.Gateway) memory.Limits {
	total := float64(s.Memory) * (1 << 20)
	limits := memory.Limits{Bytes: int64(s.CallerBudget), Connections: s.CallerConnections, MinRate: int64(s.MinRate)}
	if limits.Bytes == 0 {
		limits.Bytes = max(minBudgetBytes, int64(budgetFraction*(memoryLimitFraction*total-ownBytes)))
	}
	if limits.Connections == 0 {
		limits.Connections = max(minConnections, int(min(connectionFraction*total/connectionBytes, descriptorFraction*openFiles())))
	}
	return limits
}

// openFiles returns the process's limit of open files.
func openFiles() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return float64(min(limit.Cur, math.MaxInt32))
}

// countLimited counts a caller that was limited.
func (h *Host) countLimited(action gateway.MemoryAction) {
	h.metrics.CallerLimited(string(action))
}

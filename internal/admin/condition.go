package admin

import (
	"fmt"
	"time"
)

// Names of the conditions of a host.
const (
	// ConditionUpToDate: the host works by the newest revision that is known.
	ConditionUpToDate = "UpToDate"
	// ConditionConfigured: the host has a configuration.
	ConditionConfigured = "Configured"
	// ConditionPlatformReachable: the host's last read of the platform succeeded.
	ConditionPlatformReachable = "PlatformReachable"
	// ConditionServing: the host takes new callers.
	ConditionServing = "Serving"
)

// Condition says whether something holds of a host, a pool or an endpoint, and
// why.
type Condition struct {
	// Name is the condition in one CamelCase word, as in "Ready".
	Name string `json:"name"`
	// Holds is the state that is wanted when true.
	Holds  bool   `json:"holds"`
	Reason string `json:"reason,omitempty"`
}

// HostFacts is what a host knows of itself alone.
type HostFacts struct {
	// Revision is the revision in force; 0 while there is none.
	Revision uint64
	// Source is where it came from: the platform or another host.
	Source string
	// PlatformError is the failure of the last read of the platform; nil after
	// a success.
	PlatformError error
	// SincePlatform is the time since the platform last answered; negative if it
	// never did.
	SincePlatform time.Duration
	// Stopping says that a planned stop has begun.
	Stopping bool
}

// Conditions returns the conditions that follow from the facts.
func (f *HostFacts) Conditions() []Condition {
	configured := Condition{Name: ConditionConfigured, Holds: f.Revision > 0, Reason: "from " + f.Source}
	if !configured.Holds {
		configured.Reason = "no configuration yet"
	}
	reachable := Condition{Name: ConditionPlatformReachable, Holds: f.PlatformError == nil && f.SincePlatform >= 0}
	if !reachable.Holds {
		reachable.Reason = f.platformReason()
	}
	serving := Condition{Name: ConditionServing, Holds: !f.Stopping && f.Revision > 0}
	switch {
	case f.Stopping:
		serving.Reason = "planned stop"
	case f.Revision == 0:
		serving.Reason = "no configuration yet"
	}
	return []Condition{configured, reachable, serving}
}

// platformReason says since when the platform hasn't answered, and how the last
// read failed. The time is in whole minutes, so that it changes seldom.
func (f *HostFacts) platformReason() string {
	since := "never answered"
	if f.SincePlatform >= 0 {
		since = fmt.Sprintf("no answer for %d min", f.SincePlatform/time.Minute)
	}
	if f.PlatformError == nil {
		return since
	}
	return since + ": " + f.PlatformError.Error()
}

// withLag adds to each live host whether it works by the newest revision that
// any host or this one has.
func withLag(hosts []HostStatus, own uint64) []HostStatus {
	newest := own
	for i := range hosts {
		newest = max(newest, hosts[i].Revision)
	}
	list := make([]HostStatus, len(hosts))
	for i, host := range hosts {
		if host.live() {
			condition := Condition{Name: ConditionUpToDate, Holds: host.Revision == newest}
			if !condition.Holds {
				condition.Reason = fmt.Sprintf("at revision %d of %d", host.Revision, newest)
			}
			host.Conditions = append([]Condition{condition}, host.Conditions...)
		}
		list[i] = host
	}
	return list
}

package admin

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// HostState is a host's state as membership sees it.
type HostState string

// Host states.
const (
	HostAlive   HostState = "alive"
	HostSuspect HostState = "suspect"
	HostLeaving HostState = "leaving"
	HostDead    HostState = "dead"
)

// NeverHeard stands for the heartbeat age of a host that the answering host
// knows through others only.
const NeverHeard = -1

// HostStatus is what the answering host knows of an entry host.
type HostStatus struct {
	Host        ident.Host   `json:"host"`
	Domain      ident.Domain `json:"domain"`
	Address     string       `json:"address"`
	Incarnation uint64       `json:"incarnation"`
	State       HostState    `json:"state"`
	// Revision is the revision in force at the host.
	Revision uint64 `json:"revision"`
	// HeartbeatAgeMillis is the time since the host's last message came to the
	// answering host, in milliseconds; 0 for the answering host itself, and
	// NeverHeard for one that sends it none.
	HeartbeatAgeMillis int64       `json:"heartbeat_age_ms"`
	Conditions         []Condition `json:"conditions,omitempty"`
}

// live says whether the host may still serve callers. A suspect host counts:
// it may only be slow.
func (h *HostStatus) live() bool {
	return h.State != HostDead
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Target string       `json:"target"`
	Domain ident.Domain `json:"domain"`
	// Scheduler is the host that schedules the pool, at Epoch.
	Scheduler ident.Host `json:"scheduler"`
	Epoch     uint64     `json:"epoch"`
	// Known says that the answering host has the details; otherwise only the
	// scheduler has.
	Known      bool             `json:"known"`
	Queue      []QueueStatus    `json:"queue,omitempty"`
	Endpoints  []EndpointStatus `json:"endpoints,omitempty"`
	Conditions []Condition      `json:"conditions,omitempty"`
}

// QueueStatus counts the waiting requests of a team in a tier of a pool.
type QueueStatus struct {
	Tier    ident.Tier `json:"tier"`
	Team    ident.Team `json:"team"`
	Waiting int        `json:"waiting"`
	// WaitMillis is the expected time in queue of a new request of the tier, in
	// milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}

// EndpointStatus is the state of an endpoint as its pool's scheduler sees it.
type EndpointStatus struct {
	Endpoint ident.Endpoint         `json:"endpoint"`
	State    resource.EndpointState `json:"state"`
	// Window is the most requests that the scheduler now puts in flight.
	Window   int `json:"window"`
	InFlight int `json:"in_flight"`
	// PrefillRate and DecodeRate are the learned speeds in tokens per second.
	PrefillRate float64       `json:"prefill_rate"`
	DecodeRate  float64       `json:"decode_rate"`
	Conditions  []Condition   `json:"conditions,omitempty"`
	Orders      []OrderStatus `json:"orders,omitempty"`
}

// OrderStatus says what an endpoint is told, and by whom.
type OrderStatus struct {
	Name   string               `json:"name"`
	Action resource.OrderAction `json:"action"`
	Value  string               `json:"value"`
	// State is the order's state in one word, as in "sent" or "done".
	State string `json:"state"`
	// By is the host that holds the lease for the endpoint's orders, and Fence
	// the lease's fencing number.
	By     ident.Host `json:"by"`
	Fence  uint64     `json:"fence"`
	Reason string     `json:"reason,omitempty"`
}

// QuarantineStatus is a request that crashed endpoints.
type QuarantineStatus struct {
	Domain      ident.Domain `json:"domain"`
	KeyHash     uint64       `json:"key_hash"`
	Fingerprint uint64       `json:"fingerprint"`
	Crashes     int          `json:"crashes"`
	Quarantined bool         `json:"quarantined"`
}

// Record is one thing that happened to a request.
type Record struct {
	Time time.Time  `json:"time"`
	Host ident.Host `json:"host"`
	// Event is the event's name, as in the logs.
	Event    string         `json:"event"`
	Code     result.Code    `json:"code,omitempty"`
	Name     string         `json:"name,omitempty"`
	Endpoint ident.Endpoint `json:"endpoint,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// Resource is one declared resource.
type Resource struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	// Revision is the revision of the resource's last change.
	Revision uint64 `json:"revision"`
	// Keys holds the manifest's keys and values.
	Keys map[string]string `json:"keys"`
}

// ResourceList is the resources of a kind at a revision.
type ResourceList struct {
	Revision  uint64     `json:"revision"`
	Resources []Resource `json:"resources"`
}

// WatchEvent is one change of a resource. Resources are told as they stand at
// the host when the event is sent: of several changes in short order a watch
// may tell only the last.
type WatchEvent struct {
	// Revision is the revision of the change. A change can have several events:
	// a watch resumes from the last revision event, not from here.
	Revision uint64        `json:"revision"`
	Kind     resource.Kind `json:"kind"`
	Name     string        `json:"name"`
	Deleted  bool          `json:"deleted,omitempty"`
	Resource *Resource     `json:"resource,omitempty"`
}

// WaitStatus says whether a revision is in force on all live hosts.
type WaitStatus struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Lagging lists the live hosts that don't have the revision yet.
	Lagging []HostStatus `json:"lagging,omitempty"`
}

// ErrorBody is the body of every answer that isn't a success.
type ErrorBody struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Reason string      `json:"reason"`
	// RetryAfter is the time to wait before another attempt, in seconds.
	RetryAfter int               `json:"retry_after,omitempty"`
	Problems   []inifile.Problem `json:"problems,omitempty"`
}

package platform

import "time"

// Options configure the stand-in. The zero value has no rate limits and no
// lag, and host entries never age out.
type Options struct {
	// HostLag is how long a change of the host list stays unseen.
	HostLag time.Duration
	// HostMaxAge is how long an entry stays without being refreshed; 0: for
	// ever.
	HostMaxAge time.Duration
	// WeightInterval is the least time between two leaves of the weight store;
	// 0: none.
	WeightInterval time.Duration
	// ReadsPerSecond and WritesPerSecond limit the table and the object store;
	// 0: none.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Switches bring about failures.
type Switches struct {
	// Down refuses every call before it has an effect.
	Down bool `json:"down"`
	// Delay is added to every call before it has its effect, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of writes to come that take effect and whose
	// answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// DropWrites is the number of writes to come that are lost before they
	// take effect. To the caller both look alike.
	DropWrites int `json:"drop_writes"`
}

// Operation names a kind of call.
type Operation string

// Operations of the services.
const (
	OperationGet         Operation = "get"
	OperationList        Operation = "list"
	OperationCommit      Operation = "commit"
	OperationGetObject   Operation = "get_object"
	OperationPutObject   Operation = "put_object"
	OperationListObjects Operation = "list_objects"
	OperationReserve     Operation = "reserve"
	OperationListHosts   Operation = "list_hosts"
	OperationRegister    Operation = "register"
)

// Counters count calls since the start. They include calls that failed.
type Counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Operations counts the calls of each operation.
	Operations map[Operation]uint64 `json:"operations"`
	// Conflicts counts transactions whose conditions didn't hold.
	Conflicts uint64 `json:"conflicts"`
	// Refused counts calls that were refused because the platform was down.
	Refused uint64 `json:"refused"`
	// Limited counts calls over a rate limit.
	Limited uint64 `json:"limited"`
	// Lost counts writes whose answers were lost, with or without effect.
	Lost uint64 `json:"lost"`
}

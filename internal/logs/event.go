package logs

import (
	"strings"
)

//go:generate go run ./gen ../../docs/LOGS.md

// Event names what a log line or a record of explain is about.
type Event string

// Events of a host's life.
const (
	Ready                Event = "ready"
	Stopping             Event = "stopping"
	Stopped              Event = "stopped"
	CallersCut           Event = "callers_cut"
	AdminShutdown        Event = "admin_shutdown"
	ConfigurationInForce Event = "configuration_in_force"
	HostList             Event = "host_list"
	TraceBroken          Event = "trace_broken"
	Superseded           Event = "superseded"
	Enlisted             Event = "enlisted"
	Panicked             Event = "panicked"
	EventDropped         Event = "event_dropped"
	LoopStalled          Event = "loop_stalled"
	// Events of what a gateway believes.
	ConfigurationRejected Event = "configuration_rejected"
	EndpointIn            Event = "endpoint_in"
	EndpointLeaving       Event = "endpoint_leaving"
	EndpointGone          Event = "endpoint_gone"
	EndpointSkipped       Event = "endpoint_skipped"
	EndpointClosed        Event = "endpoint_closed"
	BackoffBounded        Event = "backoff_bounded"
	SuspectNotKept        Event = "suspect_not_kept"
	DependencyLost        Event = "dependency_lost"
	DependencyRegained    Event = "dependency_regained"
	StoreEra              Event = "store_era"
	StoreEraSettled       Event = "store_era_settled"
	StoreEraOpen          Event = "store_era_open"
	StoreRowsRestored     Event = "store_rows_restored"
	Settings              Event = "settings"
	SettingsRejected      Event = "settings_rejected"
	PoolScheduler         Event = "pool_scheduler"
	PoolState             Event = "pool_state"
	SchedulerSilent       Event = "scheduler_silent"
	LinesDropped          Event = "lines_dropped"
	CallerLimited         Event = "caller_limited"
	MemoryLimits          Event = "memory_limits"
	RolloutOrderRejected  Event = "rollout_order_rejected"
	RolloutStored         Event = "rollout_stored"
	RolloutNotStored      Event = "rollout_not_stored"
	Rollout               Event = "rollout"
)

// Events of the links between hosts.
const (
	LinkUp        Event = "link_up"
	LinkDown      Event = "link_down"
	LinkRefused   Event = "link_refused"
	AcceptFailed  Event = "accept_failed"
	PeerUnreached Event = "peer_unreached"
	SeedUnreached Event = "seed_unreached"
)

// Events of a request.
const (
	Placed            Event = "placed"
	Granted           Event = "granted"
	Dispatched        Event = "dispatched"
	Refused           Event = "refused"
	PassedOn          Event = "passed_on"
	Final             Event = "final"
	Answered          Event = "answered"
	Retried           Event = "retried"
	Suspected         Event = "suspected"
	AcceptedElsewhere Event = "accepted_elsewhere"
)

// Events of the report's buckets.
const (
	BucketsWritten Event = "buckets_written"
	BucketsLate    Event = "buckets_late"
)

// Info describes an event for the documentation.
type Info struct {
	Event Event
	// Meaning is one sentence.
	Meaning string
}

// Table lists every event once.
var Table = []Info{
	{Ready, "The process has opened its addresses; /readyz says when it has a configuration."},
	{Stopping, "A planned stop has begun: readiness is off."},
	{Stopped, "The process ends."},
	{CallersCut, "A planned stop reached its limit with callers still connected."},
	{AdminShutdown, "The operators' interface didn't close in time."},
	{ConfigurationInForce, "A revision came into force at this host."},
	{TraceBroken, "The trace of decisions couldn't be written; it ends here."},
	{Enlisted, "The host has written its row; its incarnation is above those of its earlier processes."},
	{Superseded, "A later process with this host's name lives; this one stops."},
	{Panicked, "A part of the process panicked; the process ends."},
	{EventDropped, "The handling of an event panicked; the event was dropped, and its request refused."},
	{LoopStalled, "The control loop has not completed a step for some time; the process ends."},
	{LinkUp, "A link to another host was opened."},
	{LinkDown, "A link to another host ended."},
	{LinkRefused, "A connection did not become a link: a wrong secret, a malformed hello, or too many at once."},
	{AcceptFailed, "A connection of another host couldn't be accepted."},
	{PeerUnreached, "Another host takes no connection."},
	{SeedUnreached, "A seed address takes no connection."},
	{HostList, "The platform's host list couldn't be read or written."},
	{Placed, "A pool's scheduler gave the request a slot of an endpoint; the reason says why there."},
	{Granted, "The host that holds the request heard of its slot."},
	{Dispatched, "The request was sent to the endpoint."},
	{Refused, "A pool's scheduler refused the request; code and reason say why."},
	{PassedOn, "A pool's scheduler passed the request to another failure domain."},
	{Final, "The request's answer is a refusal; code and reason say why."},
	{Answered, "The caller has the final answer. parts names the first eight prompt parts that other requests may share, by the fingerprints of suspected."},
	{AcceptedElsewhere, "Another host accepted the request and knows more."},
	{ConfigurationRejected, "A configuration couldn't be read or was deleted; the last one stays in force and isn't confirmed any more."},
	{EndpointIn, "An endpoint was registered or came back; it may get requests."},
	{EndpointLeaving, "An endpoint takes its leave, by its entry or, with source, by what it said in an answer to that host; it gets no new requests."},
	{EndpointGone, "An endpoint's entry is gone; it gets no new requests."},
	{EndpointClosed, "A pool's scheduler gives an endpoint no requests for a while; reason says why, of_host which host's requests if not all, failures which failure in a row it is, requests what was in flight there, answering how many of these had begun to be answered."},
	{BackoffBounded, "An endpoint asked to be left alone for longer than the settings allow, or with something that is no time; used_ms is what counts. At most one line a second."},
	{SuspectNotKept, "What is known of a request that endpoints ended under couldn't be written to the store; hosts that are all lost forget it."},
	{EndpointSkipped, "A row in the endpoints' table names no endpoint to use."},
	{DependencyLost, "A call that the host depends on failed; it goes on with what it has and tries again."},
	{DependencyRegained, "A dependency works again."},
	{StoreEraSettled, "The host knows which configuration was the newest before the store's era; by names how: another host's mark, the operator who wrote again, the host's own knowledge, or that nobody told a newer one in time."},
	{StoreRowsRestored, "The host has written the rows again that it stands for, since the store came back from an older copy: its own, the suspects that it has stored and, if it reads the store, the links' secret."},
	{StoreEraOpen, "The mark of the store's era couldn't be read or written; keys aren't accepted by what the store holds until it is."},
	{StoreEra, "The platform's store has named an era for the first time, or another one: it came back from an older copy, and what was written since is gone. As a warning: its header names no era."},
	{Settings, "The settings file was read, at the start or again; version names the settings in force, applied the keys that changed, at_start those that the next start changes."},
	{SettingsRejected, "A settings file that was read again is in error, as the reason says; the settings in force stay."},
	{PoolScheduler, "The host that schedules a pool, as this host sees it, has changed."},
	{SchedulerSilent, "A host left a submission unanswered; for a while its pools are taken to be another host's."},
	{PoolState, "The state of a pool that is scheduled here: what waits, what holds the slots, and each endpoint's requests in flight of the most it may have. slow names the endpoints whose answers said within the last second that work takes more than one and a half times as long as usual; promised_ms is the slot time kept for refused callers who were promised a time to return, promises_made, promises_kept and promises_lapsed how many were since this scheduler began; lending: a team is far beyond its share, and slots are kept for the others."},
	{Rollout, "A step of a roll-out at a pool scheduled here: share is the part of the requests that endpoints of the version may get from now on, judgement the phase (waiting, watching, moving, moved, completed or rolled_back), reason what the step rests on; candidate, candidate_bad, baseline and baseline_bad count the answers of both versions since the order or the last change of the scheduler."},
	{LinesDropped, "Log lines were dropped because their reader was too slow; lines says how many."},
	{CallerLimited, "A caller was refused or closed to keep the host within its memory or descriptors; action says what was done, unlogged how many others were since the last line of this action (at most one a second), heads, bodies and answers what is held of budget, in bytes. See operators/memory.md."},
	{MemoryLimits, "The bounds that follow from the settings and the process's limit of open files: budget is what may be held for callers, in bytes, connections how many of theirs are taken."},
	{RolloutOrderRejected, "A row among the roll-out orders is no valid order; it has no effect."},
	{RolloutStored, "A host that schedules a target's pool, or starts, has read a new state of its roll-out from the store, whoever wrote it: target, version, order (the version of the order's row), state, reason, and the answers behind it of the new version (candidate, of which candidate_bad failed or were slow) and of the old one (baseline, baseline_bad)."},
	{RolloutNotStored, "The state of a roll-out couldn't be read or written; it is tried again. A decision against the new version is in effect nevertheless."},
	{Suspected, "A request (by kind), or a part of prompts that was not being answered yet, was in flight at an endpoint that crashed, crashes times so far, or was cleared by a run that was answered (0). A quarantined one is refused; a part only together with its co-suspects (co_suspects), the parts that were in flight at the same crashes. trial: it runs once more. fingerprint is that of answered, or one of its parts."},
	{Retried, "A try of the request failed and it is tried again at another endpoint."},
	{BucketsWritten, "Buckets of the burn report were written to the object store."},
	{BucketsLate, "Buckets of the burn report couldn't be written and are kept for another attempt."},
}

// markdownHead starts the page of log events.
const markdownHead = `# Log events

Generated from ` + "`internal/logs`" + ` by ` + "`go generate ./...`" + `; a test holds it to the code.

Each event is one line of key=value pairs on the standard error stream:

` + "```" + `
time="2026-12-04T03:00:00.000000Z" level=info event=ready domain=a host=entry-a1 listen="10.1.0.11:7070"
` + "```" + `

` + "`code` and `result`" + ` are a result code's number and name, see [RESULT-CODES.md](RESULT-CODES.md); keys that end
in ` + "`_ms`" + ` are milliseconds. The events of a request are also the records that ` + "`trefoilchute explain`" + ` prints.

| Event | Meaning |
| --- | --- |
`

// Markdown returns the documentation page of the events.
func Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, info := range Table {
		b.WriteString("| `" + string(info.Event) + "` | " + info.Meaning + " |\n")
	}
	return b.String()
}

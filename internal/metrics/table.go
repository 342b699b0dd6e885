package metrics

import (
	"fmt"
	"strings"
)

//go:generate go run ./gen ../../docs/METRICS.md

// kind is the kind of a metric.
type kind string

// Kinds of metrics.
const (
	kindCounter   kind = "counter"
	kindHistogram kind = "histogram"
	kindGauge     kind = "gauge"
)

// Units, as OpenTelemetry writes them.
const (
	unitSeconds  = "s"
	unitRequests = "{request}"
	unitTokens   = "{token}"
	unitHosts    = "{host}"
	unitCalls    = "{call}"
	unitRevision = "{revision}"
	unitEra      = "{era}"
	unitTries    = "{try}"
	unitShare    = "{part}"
	unitSlots    = "{slot}"
	unitEndpoint = "{endpoint}"
	unitReloads  = "{reload}"
	unitAnswers  = "{answer}"
	unitClosings = "{closing}"
	unitProcess  = "{process}"
	unitSuspects = "{suspect}"
	unitCallers  = "{caller}"
	unitBytes    = "By"
	unitConns    = "{connection}"
	unitOrders   = "{order}"
	unitMessages = "{message}"
	unitEvents   = "{event}"
)

// Names of the metrics.
const (
	nameRequests      = "trefoilchute.requests"
	nameGoodput       = "trefoilchute.goodput"
	nameRefusals      = "trefoilchute.refusals"
	nameDuration      = "trefoilchute.request.duration"
	nameQueueWait     = "trefoilchute.queue.wait"
	nameFirstToken    = "trefoilchute.first_token"
	nameTokenGap      = "trefoilchute.token_gap"
	namePrefill       = "trefoilchute.prefill"
	nameOutput        = "trefoilchute.output"
	nameWaiting       = "trefoilchute.queue.waiting"
	nameInFlight      = "trefoilchute.in_flight"
	nameMembers       = "trefoilchute.membership.hosts"
	nameRevision      = "trefoilchute.configuration.revision"
	namePlatformCalls = "trefoilchute.platform.calls"
	namePlatformTime  = "trefoilchute.platform.duration"
	nameRetries       = "trefoilchute.retries"
	nameRetriesLeft   = "trefoilchute.retries.left"
	nameRateShare     = "trefoilchute.rate.share"
	nameSlots         = "trefoilchute.slots"
	nameEndpoints     = "trefoilchute.endpoints"
	nameAge           = "trefoilchute.age"
	nameStoreEra      = "trefoilchute.platform.era"
	nameSettings      = "trefoilchute.settings"
	nameReloads       = "trefoilchute.settings.reloads"
	nameDropped       = "trefoilchute.answers.dropped"
	nameClosings      = "trefoilchute.endpoint.closings"
	nameEventsDropped = "trefoilchute.control.events.dropped"
	nameLeft          = "trefoilchute.left_domain"
	nameLeftBytes     = "trefoilchute.left_domain.sent"
	nameSuspects      = "trefoilchute.suspects"
	nameLoad          = "trefoilchute.endpoint.load"
	nameLimited       = "trefoilchute.callers.limited"
	nameHeld          = "trefoilchute.callers.held"
	nameBudget        = "trefoilchute.callers.budget"
	nameConnections   = "trefoilchute.callers.connections"
	nameRolloutShare  = "trefoilchute.rollout.share"
	nameRolloutState  = "trefoilchute.rollout.state"
	namePromises      = "trefoilchute.return_times"
	namePeerMessages  = "trefoilchute.peer.messages"
	namePeerBytes     = "trefoilchute.peer.sent"
)

// Labels of the metrics.
const (
	labelTier      = "tier"
	labelCode      = "code"
	labelKind      = "kind"
	labelState     = "state"
	labelOperation = "operation"
	labelOutcome   = "outcome"
	labelTarget    = "target"
	labelTeam      = "team"
	labelPool      = "pool"
	labelOf        = "of"
	labelVersion   = "version"
	labelReason    = "reason"
	labelAction    = "action"
	labelDomain    = "domain"
)

// Info describes a metric for the documentation.
type Info struct {
	// Name is the OpenTelemetry name.
	Name    string
	Kind    kind
	Unit    string
	Labels  []string
	Meaning string
}

// Table lists every metric once.
var Table = []Info{
	{nameRequests, kindCounter, unitRequests, []string{labelTier, labelCode}, "Requests with a final answer, by the result code's name."},
	{nameGoodput, kindCounter, unitRequests, []string{labelTier}, "Requests answered whole and in time."},
	{nameRefusals, kindCounter, unitRequests, []string{labelTier, labelCode}, "Requests refused as not run, by the result code's name."},
	{nameDuration, kindHistogram, unitSeconds, []string{labelTier}, "Time from arrival to the end of a whole answer."},
	{nameQueueWait, kindHistogram, unitSeconds, []string{labelTier}, "Time from arrival to dispatch."},
	{nameFirstToken, kindHistogram, unitSeconds, []string{labelTier}, "Time from arrival to the first token."},
	{nameTokenGap, kindHistogram, unitSeconds, []string{labelTier}, "Time between two parts of an answer."},
	{namePrefill, kindCounter, unitTokens, []string{labelTier, labelKind}, "Prompt tokens of dispatched requests: cached (found in the prefix cache), useful (computed for an answer that was whole and in time) or wasted (computed for one that wasn't)."},
	{nameOutput, kindCounter, unitTokens, []string{labelTier}, "Tokens generated."},
	{nameWaiting, kindGauge, unitRequests, []string{labelTier}, "Requests waiting in the pools that this host schedules; late ones and those beyond their team's share have tiers of their own."},
	{nameInFlight, kindGauge, unitRequests, nil, "Requests at endpoints for callers of this host."},
	{nameMembers, kindGauge, unitHosts, []string{labelState}, "Entry hosts by the state that membership sees them in."},
	{nameRevision, kindGauge, unitRevision, nil, "Revision of the configuration in force at this host; 0 while it has none."},
	{namePlatformCalls, kindCounter, unitCalls, []string{labelOperation, labelOutcome}, "Calls of the platform's services: ok, conflict, not_found, unavailable, ambiguous, limited or other."},
	{namePlatformTime, kindHistogram, unitSeconds, []string{labelOperation}, "Time of the calls of the platform's services."},
	{nameRetries, kindCounter, unitTries, []string{labelTier}, "Tries of requests beyond their first."},
	{nameRetriesLeft, kindGauge, unitTries, []string{labelTarget}, "Further tries that this host's part of the budget allows now."},
	{nameRateShare, kindGauge, unitShare, []string{labelTeam}, "Part of a team's rate that this host holds."},
	{nameSlots, kindGauge, unitSlots, []string{labelPool, labelState}, "Slots in the pools that this host schedules: granted (not known to be used yet), prefilling, decoding or orphaned (of lost hosts)."},
	{nameEndpoints, kindGauge, unitEndpoint, []string{labelTarget, labelState}, "Endpoints as this host knows them: active or leaving."},
	{nameLoad, kindGauge, unitEndpoint, []string{labelPool, labelState}, "Endpoints of the pools that this host schedules, by the load that their answers stated within the last second: slow (work takes more than one and a half times as long as usual), usual or unknown."},
	{namePromises, kindCounter, unitRequests, []string{labelPool, labelState}, "Requests refused for lack of room by the pools that this host schedules: promised or without (a time at which capacity is kept for the caller); and returns: kept (at the promised time), early (before it) or lapsed (not by then)."},
	{nameAge, kindGauge, unitSeconds, []string{labelOf}, "Time since this host knew the configuration, or the endpoints, to be the newest, and since its control_loop completed a step."},
	{nameStoreEra, kindGauge, unitEra, nil, "Era that the platform's store has named; absent while it has named none."},
	{nameSettings, kindGauge, unitProcess, []string{labelVersion}, "1 for the version of the settings in force in this process."},
	{nameReloads, kindCounter, unitReloads, []string{labelOutcome}, "Settings files that were read again: applied, unchanged, at_start (keys that wait for a start) or rejected."},
	{nameDropped, kindCounter, unitAnswers, []string{labelReason}, "Answers of endpoints that were not taken whole: head_too_long, invalid_head, event_too_long, another_request, rest_not_taken or reset (before the end of one that ends with its connection); not_delivered are requests that were aborted because the endpoint did not acknowledge them."},
	{nameLeft, kindCounter, unitRequests, []string{labelPool}, "Requests that a pool scheduled here placed outside their custodian's failure domain, where the settings price that."},
	{nameLeftBytes, kindCounter, unitBytes, []string{labelPool}, "Expected bytes of these requests and their answers."},
	{nameClosings, kindCounter, unitClosings, []string{labelReason}, "Endpoints that a pool scheduled here closed for a while: unreachable, lost, failing, or asked_to_wait (for one host)."},
	{nameEventsDropped, kindCounter, unitEvents, nil, "Events of the control loop that were dropped because their handling panicked; a fault of the program."},
	{nameSuspects, kindGauge, unitSuspects, []string{labelKind, labelState}, "Requests (request) and prompt parts (part) that this host knows to be suspected of crashing endpoints: suspect or quarantined."},
	{nameLimited, kindCounter, unitCallers, []string{labelAction}, "Callers that were refused or closed to keep the host within its memory or descriptors: head_too_long, head_too_many_lines, head_refused, body_refused, connection_refused, idle_closed, sender_closed, waiting_refused or answer_reset."},
	{nameHeld, kindGauge, unitBytes, []string{labelKind}, "Bytes held for callers: heads, bodies or answers."},
	{nameBudget, kindGauge, unitBytes, nil, "Most bytes that may be held for callers."},
	{nameConnections, kindGauge, unitConns, nil, "Connections of callers."},
	{nameRolloutShare, kindGauge, unitShare, []string{labelTarget}, "Part of a target's requests that endpoints of a new version may get, for the orders of the pools that this host schedules."},
	{nameRolloutState, kindGauge, unitOrders, []string{labelTarget, labelState}, "1 for the state of each order to move a target to a version, for the pools that this host schedules: waiting, watching, moving, moved, completed or rolled_back."},
	{namePeerMessages, kindCounter, unitMessages, []string{labelKind, labelDomain}, "Messages written to other hosts, by what they are and by the receiver's failure domain: same, other or unknown (a host of an earlier version)."},
	{namePeerBytes, kindCounter, unitBytes, []string{labelKind, labelDomain}, "Bytes of these messages, without framing and keepalives."},
}

// lookup returns the description of a metric that must be in Table.
func lookup(name string) Info {
	for _, info := range Table {
		if info.Name == name {
			return info
		}
	}
	panic("metrics: not in Table: " + name)
}

// scraped returns the metric's name as it is scraped.
func (i Info) scraped() string {
	name := strings.ReplaceAll(i.Name, ".", "_")
	switch i.Unit {
	case unitSeconds:
		name += "_seconds"
	case unitBytes:
		name += "_bytes"
	}
	if i.Kind == kindCounter {
		name += "_total"
	}
	return name
}

// markdownHead starts the page of metrics.
const markdownHead = `# Metrics

Generated from ` + "`internal/metrics`" + ` by ` + "`go generate ./...`" + `; a test holds it to what is scraped.

Each entry host serves its own metrics at ` + "`GET /metrics`" + ` in the Prometheus text format. A histogram has the
usual ` + "`_bucket`, `_sum` and `_count`" + ` series. The label ` + "`tier`" + ` is empty for a request that was refused before its
tier was known; on the users' platform it is the request's kind, and the rank in what waits. By team there is
the burn report, see [operators/burn-report.md](operators/burn-report.md).

| Name | Kind | Unit | Labels | Meaning |
| --- | --- | --- | --- | --- |
`

// Markdown returns the documentation page of Table.
func Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, info := range Table {
		labels := strings.Join(info.Labels, ", ")
		_, _ = fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", info.scraped(), info.Kind, info.Unit, labels, info.Meaning)
	}
	return b.String()
}

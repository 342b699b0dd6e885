// Package rules holds the constants of the scheduling policy. The scheduler
// shares them with the naive reference scheduler that it is tested against.
package rules

import (
	"math"
	"math/bits"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// Grants and the ledger.
const (
	// GrantLifetime is how long a custodian may use a grant.
	GrantLifetime = 1500 * time.Millisecond
	// GrantReportMargin is how long an expired grant without a report still
	// occupies its slot: the report of a late use may be on its way.
	GrantReportMargin = 500 * time.Millisecond
	// VoidAttemptRetention is how long the row of an expired grant is kept, so
	// that an even later report still finds its endpoint.
	VoidAttemptRetention = 2 * time.Minute
	// OrphanSlotHold is how long a request of a lost host keeps its slot on
	// endpoints where requests end with their connection: about the time that an
	// endpoint needs to notice that nobody reads the answer.
	OrphanSlotHold = 500 * time.Millisecond
	// AttemptBits is the number of bits for the attempts of one epoch.
	AttemptBits = 20
)

// Estimates.
const (
	// DispatchOverhead is the time allowed for messages between the grant and
	// the first byte.
	DispatchOverhead = 20 * time.Millisecond
	// AverageSpeedTTL is how long a computed average speed is reused.
	AverageSpeedTTL = time.Second
	// RecheckInterval is the least time between two checks of whether a waiting
	// request can still be answered in time.
	RecheckInterval = 50 * time.Millisecond
)

// The order of granting.
const (
	// MaxHeldPerTier is the most requests of a tier that are held until any
	// suitable endpoint has a free slot.
	MaxHeldPerTier = 16
	// MaxHeldForCachePerEndpoint is the most requests of a tier, for each
	// endpoint of the pool, that are held for the endpoint that has their prefix
	// cached.
	MaxHeldForCachePerEndpoint = 4
	// MaxTeamsExamined is the most teams of a tier that are examined in one step
	// without a grant.
	MaxTeamsExamined = 16
	// SweepInterval is the interval at which every waiting request is matched
	// against every available endpoint again, because estimates change with time.
	SweepInterval = 250 * time.Millisecond
)

// Roll-outs.
const (
	// RolloutFailures is the number of consecutive failures from which on a closed endpoint
	// of the old version no longer keeps requests from the new one. By then it has been
	// closed for seconds.
	RolloutFailures = 3
)

// Filters, scores and reserves.
const (
	// SlotsPerReservedSlot is the number of slots of an endpoint for each slot
	// that is reserved for the highest tier.
	SlotsPerReservedSlot = 8
	// MaxPendingPrefill bounds the expected prefill time pending at an endpoint.
	// A longer prompt needs an endpoint with none pending.
	MaxPendingPrefill = time.Second
	// CautiousPrefillTokens is the number of uncached prompt tokens from which
	// the full cautious estimate has to fit the deadline. Below it, a
	// proportional part of the caution applies.
	CautiousPrefillTokens = 1000
	// TopTierCaution scales that part for the highest tier, whose requests are
	// worth an attempt at a higher risk.
	TopTierCaution = 0.25
	// SpareSlotFraction is the free fraction of the pool's slots from which the
	// pool has spare capacity, if no more requests wait than it has endpoints.
	SpareSlotFraction = 0.25
	// PrefillInterference is the fraction of a prefill's time that each request
	// in flight on the same endpoint loses.
	PrefillInterference = 0.5
	// PrefixMissPenalty is the weight of tokens that are prefilled although
	// another endpoint has them cached.
	PrefixMissPenalty = 4
	// CrossDomainPenalty is the cost of placing a request in another failure
	// domain: the slot time of a request of the middle tier on the users' sites.
	// Load crosses domains when it would be late or find no slot in its own
	// domain, not for a faster engine.
	CrossDomainPenalty = time.Second
	// LongRequestCost is the expected slot time from which a request is long.
	LongRequestCost = 8 * time.Second
	// ReservedSlotFraction is the fraction of the pool's slots that long requests
	// below the highest tier leave free.
	ReservedSlotFraction = 0.05
	// LongPrefillFraction is the fraction of the pool's endpoints that may
	// prefill long prompts of lower tiers at the same time; one always may.
	LongPrefillFraction = 0.5
)

// SizeClasses is the number of classes of expected slot time, by powers of two of a
// millisecond. The last class begins at about four minutes.
const SizeClasses = 20

// SizeClass returns the class of an expected slot time.
func SizeClass(cost time.Duration) int {
	return min(bits.Len64(uint64(max(0, cost)/time.Millisecond)), SizeClasses-1)
}

// Objectives for the first token.
const (
	// ExcessPriorityOffset is added to the rank of a request beyond its team's share, and
	// added twice if it is far beyond, so that it is served after all requests within the
	// shares that can meet their objective.
	ExcessPriorityOffset = 1 << 14
	// ShareReserveSpread times the square root of the pool's slots is the number of slots that
	// requests far beyond their team's share, and late ones, leave free for LendingTime after
	// the last arrival far beyond a share: about twice the spread of the slots that requests
	// within the shares occupy. It is at most SpareSlotFraction of the slots.
	ShareReserveSpread = 2
	LendingTime        = time.Second
	// LatePriorityOffset is added to the rank of a request that can't meet its
	// objective any more, so that it is served after all requests that can.
	LatePriorityOffset = 1 << 16
	// TierFloorShare is the fraction of the granted slot time that each tier below
	// the highest gets first while it has requests that can meet their objective.
	// Without it, the requests that are cheapest to serve would starve behind long
	// ones.
	TierFloorShare = 0.025
	// LongestFraction is the fraction of a tier's requests that counts as the
	// longest, and LongestMinGrantRatio is the lowest grant rate of these as a
	// fraction of the grant rate of the whole tier. Users want the longest tenth,
	// and the fifth below it, served at least half as often as all requests.
	LongestFraction      = 0.15
	LongestMinGrantRatio = 0.55
	// FailedEndpointPenalty is the cost of placing a request on the endpoint where
	// an earlier try of it failed.
	FailedEndpointPenalty = time.Second
)

// Endpoints that fail requests without being lost.
const (
	// RejectedCloseTime is how long an endpoint is closed after it rejected a
	// request because it was full: about the time in which one of its requests
	// ends.
	RejectedCloseTime = 200 * time.Millisecond
	// MaxBackoffWait is the longest time that a request waits while every endpoint
	// has asked its host to send nothing.
	MaxBackoffWait = 500 * time.Millisecond
	// FailuresToClose is the number of consecutive failed answers that close an
	// endpoint in the same way as a lost one.
	FailuresToClose = 5
	// ErrorWeight is the weight of one answer in an endpoint's error rate. The
	// rate halves in ErrorHalfLife, so that the endpoint is tried again.
	ErrorWeight   = 0.1
	ErrorHalfLife = 5 * time.Second
	// ErrorPenalty is the cost of placing a request on an endpoint all of whose
	// answers fail.
	ErrorPenalty = 4 * time.Second
)

// Cached prefixes.
const (
	// CacheTrustWeight is the weight of one answer in the trust in an endpoint's
	// modelled cache, and MinCacheTrust is the lower bound of the trust.
	CacheTrustWeight = 0.1
	MinCacheTrust    = 0.2
	// MinCacheSavingTokens is the number of cached tokens from which a request
	// waits for the endpoint that has them.
	MinCacheSavingTokens = 2 * prefix.BlockTokens
	// HoldPerPrefillSaved is how long a request waits for the endpoint with its
	// cached prefix, as a multiple of the prefill time saved, and MaxCacheHold the
	// longest such wait.
	HoldPerPrefillSaved = 10
	MaxCacheHold        = 15 * time.Second
	// HoldSlackFraction is the fraction of the remaining time that a request may
	// spend on that wait. TopTierHoldSlackFraction applies in the highest tier to
	// requests without an objective; with one, the wait is bounded by the
	// objective.
	HoldSlackFraction        = 0.5
	TopTierHoldSlackFraction = 0.15
)

// Shedding.
const (
	// WaitToleranceOverLowerTiers is the multiple of its slack that the expected
	// wait of a request has to exceed before waiting requests of lower tiers are
	// shed and the request itself is refused.
	WaitToleranceOverLowerTiers = 3
	// ReturnWaitTolerance is the multiple of its slack that the expected wait of a request
	// has to exceed before it is refused again, if its caller has waited as long as it was
	// told to. Of such requests that were queued whatever their expected wait, one in ten was
	// served, and the others were told no after most of their time.
	ReturnWaitTolerance = 2
	// MinRetryAfter and MaxRetryAfter bound the retry delay that a refused caller
	// is told.
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
	// PromisedLead puts a request that returned at its promised time before all others of
	// its team.
	PromisedLead = time.Duration(math.MaxInt64 / 2)
	// PromisedWaitFraction is the fraction of the time that such a request can wait for
	// which it waits behind the requests that can still be on time. The rest is left for the
	// slots to be freed.
	PromisedWaitFraction = 0.5
	// MinDrainFraction is the fraction of the pool's capacity that a tier is
	// assumed to get at least, however much arrives in higher tiers.
	MinDrainFraction = 0.1
)

// Failures and suspects.
const (
	// InitialCloseTime is how long an endpoint is closed after a failure. It
	// doubles with each further failure, up to MaxCloseTime.
	InitialCloseTime = time.Second
	MaxCloseTime     = 16 * time.Second
	// CrashesToQuarantine is the number of endpoint crashes after which a request
	// is quarantined.
	CrashesToQuarantine = 2
	// SuspectRetention and QuarantineRetention are how long a suspect and a
	// quarantined request are kept after their last crash.
	SuspectRetention    = 15 * time.Minute
	QuarantineRetention = 24 * time.Hour
	// MaxSuspects bounds the suspects that a scheduler keeps.
	MaxSuspects = 1024
	// MaxProvenBodies bounds the remembered bodies that have run to completion.
	MaxProvenBodies = 8192
)

// Suspects among requests that legitimate callers repeat.
const (
	// RepeatedCrashesToIsolate and RepeatedCrashesToQuarantine are the numbers of
	// successive endpoint crashes after which such a request runs in isolation, and
	// after which it is quarantined. Users allow three crashes, and three later
	// runs.
	RepeatedCrashesToIsolate    = 2
	RepeatedCrashesToQuarantine = 4
	// FirstTrialDelay is how long it stays quarantined before it may run once more.
	// Each further delay is TrialDelayFactor times longer. After MaxTrials trials it
	// is refused until its quarantine expires.
	FirstTrialDelay  = 20 * time.Second
	TrialDelayFactor = 8
	MaxTrials        = 2
	// MaxIsolationDrainTime is the longest time for which an endpoint is drained to
	// isolate such a request, and IsolationTime is how long other requests are kept
	// away while it begins to run.
	MaxIsolationDrainTime = 2 * time.Second
	IsolationTime         = time.Second
	// PartCrashesToQuarantine is the number of successive endpoint crashes after which a
	// prompt part is quarantined. The run before the last crash was isolated. Users allow
	// five crashes, and three later runs.
	PartCrashesToQuarantine = 3
	// AnsweringProof is how long a run has to go on after its first token to prove that
	// its prompt parts don't crash endpoints: a first event may still get out before a
	// crash.
	AnsweringProof = 500 * time.Millisecond
	// MaxSuspectParts bounds the prompt parts that a scheduler suspects. Requests with the
	// longest headers have about 1,200, which must not evict a part between two crashes.
	MaxSuspectParts = 4096
	// MaxCoSuspects bounds the parts that are kept for a suspected part as equally
	// suspicious, and MaxPublishedParts the parts published after one crash.
	MaxCoSuspects     = 16
	MaxPublishedParts = 64
	// BrokenRunRetention is how long a run whose connection broke is kept, until
	// the endpoint is known to have ended. MaxBrokenRuns bounds these runs for one
	// endpoint.
	BrokenRunRetention = 10 * time.Second
	// UnresolvedRunHold is how long a suspect waits at most until it is known whether its
	// last run, which broke or was abandoned, has crashed its endpoint. The entry of a
	// crashed endpoint is removed after three missed reports, 1.2 s apart.
	UnresolvedRunHold = 4 * time.Second
	MaxBrokenRuns     = 64
)

// Package rules holds the numbers of the scheduling policy, which the scheduler
// and the naive scheduler that it is tested against share.
package rules

import (
	"math/bits"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// Grants and the ledger.
const (
	// GrantLifetime is how long a custodian may use a grant.
	GrantLifetime = 1500 * time.Millisecond
	// GrantReportMargin is how long after its end a grant that nobody reported on
	// still holds its slot: the report of a late use may be on its way.
	GrantReportMargin = 500 * time.Millisecond
	// VoidAttemptRetention is how long the row of a void grant is kept, so that a
	// report that comes later still finds its endpoint.
	VoidAttemptRetention = 2 * time.Minute
	// OrphanSlotHold is how long a request of a lost host still holds its slot where
	// requests end with their connection: about the time in which an endpoint notices
	// that nobody reads any more.
	OrphanSlotHold = 500 * time.Millisecond
	// AttemptBits is the room for attempts in one epoch.
	AttemptBits = 20
)

// Estimates.
const (
	// DispatchOverhead is allowed for messages between grant and first byte.
	DispatchOverhead = 20 * time.Millisecond
	// AverageSpeedTTL is how long a computed average speed is used.
	AverageSpeedTTL = time.Second
	// RecheckInterval is the least time between two looks at whether a request can
	// still be answered in time.
	RecheckInterval = 50 * time.Millisecond
)

// The order of granting.
const (
	// MaxHeldPerTier is the most requests of a tier that wait for any endpoint that
	// suits them.
	MaxHeldPerTier = 16
	// MaxHeldForCachePerEndpoint is the most requests of a tier, for each endpoint of
	// the pool, that wait for the endpoint that has their prefix.
	MaxHeldForCachePerEndpoint = 4
	// MaxTeamsExamined is the most teams of a tier looked at in one step without a
	// grant.
	MaxTeamsExamined = 16
	// SweepInterval is the time after which every waiting request is held against
	// every open endpoint again, because estimates change with time.
	SweepInterval = 250 * time.Millisecond
)

// Filters, scores and reserves.
const (
	// SlotsPerReservedSlot is the number of slots of an endpoint for each one kept
	// for the highest tier.
	SlotsPerReservedSlot = 8
	// MaxPendingPrefill bounds the expected prefill time pending at an endpoint; a
	// longer prompt needs an endpoint with none pending.
	MaxPendingPrefill = time.Second
	// CautiousPrefillTokens is the number of prompt tokens from which on the cautious
	// estimate is held against the deadline; below, a part of it.
	CautiousPrefillTokens = 1000
	// TopTierCaution lowers that part for the highest tier, which is worth a try.
	TopTierCaution = 0.25
	// SpareSlotFraction is the free part of the pool's slots from which on it has room
	// to spare, if no more requests wait than it has endpoints.
	SpareSlotFraction = 0.25
	// PrefillInterference is the part of a prefill's time that each neighbour loses.
	PrefillInterference = 0.5
	// PrefixMissPenalty weighs a token that is prefilled again.
	PrefixMissPenalty = 4
	// CrossDomainPenalty is what placing a request in another failure domain costs: the slot
	// time of a request of the middle tier on the users' sites. Load goes there when it
	// would be late or find no slot in its own domain, not for an engine that is faster.
	CrossDomainPenalty = time.Second
	// LongRequestCost is from which expected slot time on a request is long.
	LongRequestCost = 8 * time.Second
	// ReservedSlotFraction is the part of the pool's slots that long work below the
	// highest tier leaves free.
	ReservedSlotFraction = 0.05
	// LongPrefillFraction is the part of the pool's endpoints that may prefill long
	// prompts of lower tiers at once; one always may.
	LongPrefillFraction = 0.5
)

// SizeClasses is the number of classes of expected slot time, by powers of two of a
// millisecond: the last begins at four minutes.
const SizeClasses = 20

// SizeClass returns the class of an expected slot time.
func SizeClass(cost time.Duration) int {
	return min(bits.Len64(uint64(max(0, cost)/time.Millisecond)), SizeClasses-1)
}

// Objectives for the first token.
const (
	// LatePriorityOffset is added to the rank of a request that can't meet its objective any
	// more: it is served behind all that can.
	LatePriorityOffset = 1 << 16
	// TierFloorShare is the part of the granted slot time that each tier below the highest
	// gets first, while it has requests that can meet their objective: the kinds of
	// request that are cheapest to serve would else starve behind long ones.
	TierFloorShare = 0.025
	// LongestFraction is the part of a tier's requests that counts as the longest, and
	// LongestFloor how often these are to be granted beside all of the tier. Users want
	// the longest tenth, and the fifth below it, served half as often as all.
	LongestFraction      = 0.15
	LongestMinGrantRatio = 0.55
	// FailedEndpointPenalty is what placing a request costs where an earlier try of it
	// failed.
	FailedEndpointPenalty = time.Second
)

// Endpoints that fail requests without being lost.
const (
	// RejectedCloseTime is how long an endpoint is closed after it said that it had no
	// room: about the time in which one of its requests ends.
	RejectedCloseTime = 200 * time.Millisecond
	// MaxBackoffWait is how long a request waits at most while every endpoint has asked its
	// host to send nothing.
	MaxBackoffWait = 500 * time.Millisecond
	// FailuresToClose is how many failed answers in a row close an endpoint as one that
	// was lost.
	FailuresToClose = 5
	// ErrorWeight is the weight of an answer in an endpoint's part of failed ones, of
	// which half is forgotten in ErrorHalfLife, so that it is tried again.
	ErrorWeight   = 0.1
	ErrorHalfLife = 5 * time.Second
	// ErrorPenalty is what placing a request costs on an endpoint all of whose
	// answers fail.
	ErrorPenalty = 4 * time.Second
)

// Cached prefixes.
const (
	// CacheTrustWeight is the weight of an answer in the trust in an endpoint's
	// modelled cache, and MinTrust bounds that from below.
	CacheTrustWeight = 0.1
	MinCacheTrust    = 0.2
	// MinCacheSavingTokens is the number of cached tokens from which on a request waits
	// for the endpoint that has them.
	MinCacheSavingTokens = 2 * prefix.BlockTokens
	// HoldPerPrefillSaved is how long a request waits for its cached prefix, in
	// times of the prefill that it saves, and MaxHold the most.
	HoldPerPrefillSaved = 10
	MaxCacheHold        = 15 * time.Second
	// HoldSlackFraction is the part of the time left that a request may spend on waiting for
	// its prefix; in the highest tier it is TopHoldSlack, unless the request has an
	// objective, against which it waits then.
	HoldSlackFraction        = 0.5
	TopTierHoldSlackFraction = 0.15
)

// Shedding.
const (
	// WaitToleranceOverLowerTiers is how many times longer than it can wait a request's
	// expected wait has to be before lower tiers are shed for it and it itself.
	WaitToleranceOverLowerTiers = 3
	// MinRetryAfter and MaxRetryAfter bound what a refused caller is told.
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
	// MinDrainFraction is the part of the pool's capacity that a tier is taken to get
	// at least, however much arrives above it.
	MinDrainFraction = 0.1
)

// Failures and suspects.
const (
	// InitialCloseTime is how long an endpoint is closed after a failure; it doubles
	// with each further one up to LastClosed.
	InitialCloseTime = time.Second
	MaxCloseTime     = 16 * time.Second
	// CrashesToQuarantine is how many endpoints a request may have been lost
	// with.
	CrashesToQuarantine = 2
	// SuspectRetention and QuarantineMemory are how long a suspect and a
	// quarantined request are remembered after the last crash.
	SuspectRetention    = 15 * time.Minute
	QuarantineRetention = 24 * time.Hour
	// MaxSuspects bounds the suspects that a scheduler remembers.
	MaxSuspects = 1024
	// MaxProvenBodies bounds the bodies that are remembered to have run whole.
	MaxProvenBodies = 8192
)

// Suspects among requests that honest callers repeat.
const (
	// RepeatedCrashesToIsolate and RepeatedToQuarantine are how many endpoints, one after the
	// other, such a request may have been lost with before it runs alone, and before it
	// is refused. Users allow three, and three runs later.
	RepeatedCrashesToIsolate    = 2
	RepeatedCrashesToQuarantine = 4
	// FirstTrialDelay is how long it is refused before it may run once more; each further
	// time is TrialGrowth times longer. After MostTrials it is refused for good.
	FirstTrialDelay  = 20 * time.Second
	TrialDelayFactor = 8
	MaxTrials        = 2
	// MaxIsolationDrainTime is how long an endpoint is emptied for it at most, and AloneTime how long
	// others are kept away while it begins to run.
	MaxIsolationDrainTime = 2 * time.Second
	IsolationTime         = time.Second
	// BrokenRunRetention is how long a run whose connection broke is remembered, until the
	// endpoint is known to have ended, and MaxLost bounds these for one endpoint.
	BrokenRunRetention = 10 * time.Second
	MaxBrokenRuns      = 64
)

// Package rollout decides how a target moves to a new version of its endpoints: which part
// of its requests the new version gets, whether the new version is as good as the old one,
// and when the move is complete or has to be undone. It answers to versions that fail or
// slow down requests, at once, later, under load or on one route only.
//
// The decisions are a pure function of time and samples. Package pool calls them for the
// pools that a host schedules; package platformhost keeps orders and decisions in the
// platform's store.
package rollout

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// State is the state of a roll-out.
type State int

// States of a roll-out. Completed and RolledBack are final.
const (
	Running State = iota
	Completed
	RolledBack
)

// String returns the name of the state as logged.
func (s State) String() string {
	return [...]string{"running", "completed", "rolled_back"}[s]
}

// Order is an operator's order to move a target to a version.
type Order struct {
	// ID identifies the order: the version of its row in the store.
	ID      uint64
	Target  string
	Version string
	// Duration is the time limit, from the confirmation of the order.
	Duration time.Duration
	// Again is the ID that the order had before the store lost it and the operator wrote it again; 0 if
	// it didn't.
	Again uint64
}

// Bounds limits what a version gets before it has been judged.
type Bounds struct {
	// Share is the fraction of the target's requests that the version may get, and Slack
	// the number of requests that it may get beyond it, over all hosts.
	Share, Slack float64
	// Rollback is the time from the 50th bad answer until the version gets no more requests.
	Rollback time.Duration
}

// Enabled reports whether roll-outs are configured.
func (b Bounds) Enabled() bool {
	return b.Rollback > 0
}

// Status is the state of an order as the store has it.
type Status struct {
	Order Order
	State State
	// Elapsed is the time since the order was confirmed, when the status was read.
	Elapsed time.Duration
	// Known is false while this host has not read the order's rows yet, and Confirmed while
	// the store can't be reached: the share must not grow then.
	Known, Confirmed bool
}

// Verdict is a decision on an order.
type Verdict struct {
	Order Order
	// Pool is the pool whose scheduler decided.
	Pool ident.Pool
	// State is Completed or RolledBack.
	State State
	// Reason says why, and Samples sums up what it rests on.
	Reason  string
	Samples Samples
}

// Samples sums up the answers that a judgement rests on.
type Samples struct {
	// Candidate and Baseline count the answers of the new and the old version, and the Bad
	// fields those among them that failed or were slow.
	Candidate, CandidateBad int
	Baseline, BaselineBad   int
}

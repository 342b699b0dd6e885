package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/memory"
)

// MemoryAction is what was done to a caller to keep the host within its memory or descriptors.
type MemoryAction string

// Actions, as metric labels and log fields.
const (
	// ActionHeadTooLong and ActionHeadTooManyLines closed a connection because of a request's head.
	ActionHeadTooLong      MemoryAction = "head_too_long"
	ActionHeadTooManyLines MemoryAction = "head_too_many_lines"
	// ActionHeadRefused closed a connection because there was no memory for a head.
	ActionHeadRefused MemoryAction = "head_refused"
	// ActionBodyRefused refused a request because there was no memory for its body.
	ActionBodyRefused MemoryAction = "body_refused"
	// ActionConnectionRefused closed a new connection because there were too many.
	ActionConnectionRefused MemoryAction = "connection_refused"
	// ActionIdleClosed closed an idle connection in favor of a new one.
	ActionIdleClosed MemoryAction = "idle_closed"
	// ActionSenderClosed ended a request that was still received, ActionWaitingRefused one that was
	// complete and not dispatched, and ActionAnswerReset one whose answer its caller did not take.
	ActionSenderClosed   MemoryAction = "sender_closed"
	ActionWaitingRefused MemoryAction = "waiting_refused"
	ActionAnswerReset    MemoryAction = "answer_reset"
)

// ledger is the budget of the callers' connections, shared by their goroutines.
type ledger struct {
	gateway *Gateway
	mu      sync.Mutex
	budget  *memory.Budget
	logs    sync.Map // of MemoryAction to *actionLog
}

// actionLog limits the log lines of an action to one a second.
type actionLog struct {
	// last is the Unix second of the last line, and unlogged the number of actions since then.
	last, unlogged atomic.Int64
}

// open accounts for a new connection. It returns false if there are too many.
func (l *ledger) open(c *callerConn) bool {
	l.mu.Lock()
	account, yields := l.budget.Open(l.gateway.opts.Now(), c, c.progress)
	c.account = account
	l.mu.Unlock()
	if yields != nil {
		yields.Owner.(*callerConn).giveWay(yields.Phase())
	}
	return account != nil
}

// close ends the account of a connection.
func (l *ledger) close(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Close(c.account)
}

// ask requests bytes for a connection.
func (l *ledger) ask(c *callerConn, kind memory.Kind, n int64) bool {
	l.mu.Lock()
	granted, yields := l.budget.Ask(l.gateway.opts.Now(), c.account, kind, n)
	phases := make([]memory.Phase, len(yields))
	for i, a := range yields {
		phases[i] = a.Phase()
	}
	l.mu.Unlock()
	for i, a := range yields {
		a.Owner.(*callerConn).giveWay(phases[i])
	}
	return granted
}

// free returns bytes of a connection.
func (l *ledger) free(c *callerConn, kind memory.Kind, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Free(c.account, kind, n)
}

// enter records the phase of a connection. It returns false if the connection was told to give way.
func (l *ledger) enter(c *callerConn, phase memory.Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Enter(l.gateway.opts.Now(), c.account, phase)
}

// retains reports whether the body of a request that was dispatched is kept for another try.
func (l *ledger) retains() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Retain()
}

// usage returns the state of the budget.
func (l *ledger) usage() memory.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Usage()
}

// sample measures the progress of all connections.
func (l *ledger) sample() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Sample(l.gateway.opts.Now())
}

// setLimits applies new limits.
func (l *ledger) setLimits(limits memory.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetLimits(limits)
}

// act counts an action and logs it.
func (l *ledger) act(action MemoryAction, address string) {
	l.gateway.opts.OnMemory(action)
	entry, _ := l.logs.LoadOrStore(action, &actionLog{})
	log, now := entry.(*actionLog), time.Now().Unix()
	if log.last.Swap(now) == now {
		log.unlogged.Add(1)
		return
	}
	usage := l.usage()
	logs.With(l.gateway.opts.Log, logs.CallerLimited).WithField("action", string(action)).WithField("caller", address).
		WithField("unlogged", log.unlogged.Swap(0)).WithField("connections", usage.Connections).
		WithField("heads", usage.Held[memory.Heads]).WithField("bodies", usage.Held[memory.Bodies]).
		WithField("answers", usage.Held[memory.Answers]).WithField("budget", usage.Limits.Bytes).Warn()
}

// MemoryUsage returns what is held for callers.
func (g *Gateway) MemoryUsage() memory.Usage {
	return g.ledger.usage()
}

// Package memory accounts for the memory that callers' connections take on a host, and decides
// who gives way when it is used up. It has no clock, sockets or goroutines.
//
// The load that it responds to: callers that send many large heads or bodies at once, stop before
// their end, or leave answers unread, so that what is held for them exceeds the host's memory.
package memory

import "time"

// Kind is what bytes are held for.
type Kind int

// Kinds of bytes.
const (
	Heads Kind = iota
	Bodies
	// Answers are bytes of answers that were read from endpoints and not taken by callers.
	Answers
	kinds
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"heads", "bodies", "answers"}[k]
}

// Phase is what a connection does.
type Phase int

// Phases of a connection.
const (
	// Idle: no request has begun.
	Idle Phase = iota
	// Receiving: a request is being received.
	Receiving
	// Waiting: the request is complete, but was not sent to an endpoint.
	Waiting
	// Running: the request was sent to an endpoint.
	Running
)

// Limits configures a Budget.
type Limits struct {
	// Bytes bounds what is held for all callers together.
	Bytes int64
	// Connections bounds the number of callers' connections.
	Connections int
	// MinRate is the progress, in bytes per second, below which a sender counts as stalled.
	MinRate int64
}

const (
	// answerShare is the share of the budget that answers may take, and runningShare that of the
	// bodies that are kept for another try while an endpoint runs them. The rest is left to
	// requests that arrive, so that those running cannot lock them out.
	answerShare, runningShare = 0.5, 0.25
	// overdraftShare is how far the budget may be exceeded while bytes of connections that were
	// told to give way are not free yet.
	overdraftShare = 0.125
	// largerBy is how many times as much another request must hold for it to give way to one
	// that makes progress. Requests of like size do not displace each other, since none would
	// be completed then.
	largerBy = 4
	// minWindow is the shortest time over which progress is measured.
	minWindow = 500 * time.Millisecond
)

// Account is what is held for one connection.
type Account struct {
	// Owner identifies the connection to the user of the budget.
	Owner any

	held   [kinds]int64
	phase  Phase
	opened time.Duration
	// since is when the phase began, served whether a request began before.
	since  time.Duration
	served bool
	// progress counts the bytes received and taken by the caller. The owner adds to it.
	progress func() int64
	// sampled is the progress at the last sample, and stalled is set if the last window's was
	// too small.
	sampled   int64
	sampledAt time.Duration
	stalled   bool
	// leaving is set when the connection was told to give way.
	leaving bool
}

// total is what is held for the account.
func (a *Account) total() int64 {
	var sum int64
	for _, n := range a.held {
		sum += n
	}
	return sum
}

// Phase returns the account's phase.
func (a *Account) Phase() Phase { return a.phase }

// Held returns what is held of a kind.
func (a *Account) Held(k Kind) int64 { return a.held[k] }

// Budget is the ledger. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	accounts map[*Account]struct{}
	held     [kinds]int64
	// leaving is what is held for connections that were told to give way, and running what is
	// held of the bodies of running requests.
	leaving, running int64
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, accounts: map[*Account]struct{}{}}
}

// SetLimits replaces the limits. What exceeds them is not taken back.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// Usage is the state of a budget.
type Usage struct {
	Limits      Limits
	Connections int
	// Held is what is held, by kind.
	Held map[Kind]int64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	u := Usage{Limits: b.limits, Connections: len(b.accounts), Held: map[Kind]int64{}}
	for k, n := range b.held {
		u.Held[Kind(k)] = n
	}
	return u
}

// total is what is held for all accounts.
func (b *Budget) total() int64 {
	return b.held[Heads] + b.held[Bodies] + b.held[Answers]
}

// Open accounts for a new connection. If there are too many, one gives way: an idle one, those
// that never sent a request first, or else a stalled sender. Without such a one the new connection
// is refused: the account is nil. progress returns the bytes that the connection has received and
// that its peer has taken.
func (b *Budget) Open(now time.Duration, owner any, progress func() int64) (account, yields *Account) {
	if len(b.accounts) >= b.limits.Connections {
		yields = b.pick(func(a *Account) float64 {
			switch {
			case a.phase == Idle && !a.served:
				return idleFirst * idleFirst * (1 + (now - a.since).Seconds())
			case a.phase == Idle:
				return idleFirst * (1 + (now - a.since).Seconds())
			case a.phase == Receiving && a.stalled:
				return (now - a.since).Seconds()
			}
			return 0
		})
		if yields == nil {
			return nil, nil
		}
		// The connection is closed by the time that the caller goes on.
		b.Close(yields)
	}
	account = &Account{Owner: owner, opened: now, since: now, sampledAt: now, progress: progress}
	b.accounts[account] = struct{}{}
	return account, yields
}

// idleFirst puts one class of connections before another, whatever their age in seconds.
const idleFirst = 1e9

// Close ends an account and frees what is held for it.
func (b *Budget) Close(a *Account) {
	if _, ok := b.accounts[a]; !ok {
		return
	}
	for k := range kinds {
		b.Free(a, k, a.held[k])
	}
	delete(b.accounts, a)
}

// Enter records that a connection enters a phase. It returns false if the connection was told to
// give way or is closed: its request must not be dispatched.
func (b *Budget) Enter(now time.Duration, a *Account, p Phase) bool {
	if _, ok := b.accounts[a]; !ok {
		return false
	}
	if a.phase == Running {
		b.running -= a.held[Bodies]
	}
	if p == Running {
		b.running += a.held[Bodies]
	}
	if p == Receiving && a.phase == Idle {
		a.opened, a.served, a.stalled = now, true, false
		a.sampled, a.sampledAt = a.progress(), now
	}
	a.phase, a.since = p, now
	return !a.leaving
}

// Free returns bytes.
func (b *Budget) Free(a *Account, k Kind, n int64) {
	if _, ok := b.accounts[a]; !ok {
		return
	}
	n = min(n, a.held[k])
	a.held[k] -= n
	b.held[k] -= n
	if a.leaving {
		b.leaving -= n
	}
	if k == Bodies && a.phase == Running {
		b.running -= n
	}
}

// charge adds bytes.
func (b *Budget) charge(a *Account, k Kind, n int64) {
	a.held[k] += n
	b.held[k] += n
	if k == Bodies && a.phase == Running {
		b.running += n
	}
}

// Retain reports whether the bodies of running requests, to which a further one was added, leave
// enough of the budget to others, so that it may be kept for another try.
func (b *Budget) Retain() bool {
	return float64(b.running) <= runningShare*float64(b.limits.Bytes)
}

// Ask requests bytes before they are read. If they are not granted, the asker gives way. yields
// lists the other connections that have to give way. Their bytes stay accounted for until they are
// freed.
func (b *Budget) Ask(now time.Duration, a *Account, k Kind, n int64) (granted bool, yields []*Account) {
	if _, ok := b.accounts[a]; !ok || a.leaving {
		return false, nil
	}
	if k == Answers {
		return b.askAnswer(now, a, n)
	}
	for b.total()-b.leaving+n > b.limits.Bytes {
		v := b.pick(func(v *Account) float64 { return yieldScore(now, a, v, a.total()+n) })
		if v == nil {
			// What could give way is not enough, so that nothing does.
			for _, y := range yields {
				y.leaving = false
				b.leaving -= y.total()
			}
			return false, nil
		}
		yields = append(yields, b.leave(v))
	}
	if b.total()+n > b.limits.Bytes+int64(overdraftShare*float64(b.limits.Bytes)) {
		return false, yields
	}
	b.charge(a, k, n)
	return true, yields
}

// askAnswer requests bytes for an answer that its caller does not take. A request that runs gives
// way only to another one that runs, the slowest of them; those that do not run give way first.
func (b *Budget) askAnswer(now time.Duration, a *Account, n int64) (granted bool, yields []*Account) {
	exceeds := func() bool {
		return float64(b.held[Answers]+n) > answerShare*float64(b.limits.Bytes) || b.total()-b.leaving+n > b.limits.Bytes
	}
	for exceeds() && float64(b.held[Answers]+n) <= answerShare*float64(b.limits.Bytes) {
		v := b.pick(func(v *Account) float64 { return yieldScore(now, a, v, 0) })
		if v == nil {
			break
		}
		yields = append(yields, b.leave(v))
	}
	if !exceeds() {
		b.charge(a, Answers, n)
		return true, yields
	}
	v := b.pick(func(v *Account) float64 {
		if v.phase != Running {
			return 0
		}
		return float64(v.held[Answers]) * (now - v.since).Seconds()
	})
	if v == nil || v == a {
		return false, yields
	}
	// The bytes of the slowest caller's answer are dropped at once.
	yields = append(yields, b.leave(v))
	if b.Free(v, Answers, v.held[Answers]); exceeds() {
		return false, yields
	}
	b.charge(a, Answers, n)
	return true, yields
}

// leave marks an account as told to give way.
func (b *Budget) leave(a *Account) *Account {
	a.leaving = true
	b.leaving += a.total()
	return a
}

// yieldScore rates how readily one account gives way to another that would hold some bytes in
// total: by what it holds and for how long, stalled senders first, then larger requests, those that
// are still received before those that are complete. 0: it doesn't.
func yieldScore(now time.Duration, asker, v *Account, bytes int64) float64 {
	if v == asker || v.phase != Receiving && v.phase != Waiting {
		return 0
	}
	score := float64(v.total()) * (1 + (now - v.opened).Seconds())
	switch {
	case v.phase == Receiving && v.stalled && !asker.stalled:
		return idleFirst * score
	case v.total() < largerBy*bytes:
		return 0
	case v.phase == Waiting:
		return score / largerBy
	}
	return score
}

// pick returns the account with the highest score above 0, of those that were not told to give way.
func (b *Budget) pick(score func(*Account) float64) *Account {
	var best *Account
	most := 0.0
	for a := range b.accounts {
		if a.leaving {
			continue
		}
		if s := score(a); s > most {
			best, most = a, s
		}
	}
	return best
}

// Sample measures the progress of each connection since the last sample. It is called once a
// second.
func (b *Budget) Sample(now time.Duration) {
	for a := range b.accounts {
		window := now - a.sampledAt
		if window < minWindow {
			continue
		}
		progress := a.progress()
		a.stalled = float64(progress-a.sampled) < float64(b.limits.MinRate)*window.Seconds()
		a.sampled, a.sampledAt = progress, now
	}
}

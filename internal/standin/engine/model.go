// Package engine is a small stand-in for a model engine: continuous batching
// in simulated time behind an HTTP server with streams, resume, cancel, a
// lagging load report, late and gappy cache events, and orders. Switches bring
// about failures.
package engine

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

const (
	// DefaultChunkTokens bounds the prompt tokens of one iteration.
	DefaultChunkTokens = 512
	// DefaultBatchCost is how much longer each further sequence makes an
	// iteration, as a share of the time of one sequence alone.
	DefaultBatchCost = 0.03
)

// Speed says how fast a Model runs.
type Speed struct {
	// PrefillRate is the prompt tokens per second of the whole engine.
	PrefillRate float64
	// DecodeRate is the tokens per second of one sequence that runs alone.
	DecodeRate float64
	// BatchCost is the added time per further sequence, as a share of the time
	// of one sequence alone.
	BatchCost float64
	// ChunkTokens bounds the prompt tokens of one iteration.
	ChunkTokens int
	// Slots bounds the sequences in one batch.
	Slots int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
}

// Job is one sequence to run.
type Job struct {
	// ID is unique in a Model.
	ID uint64
	// Prefix holds the chained hashes of the prompt's blocks.
	Prefix []uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the length of the answer; at least 1.
	OutputTokens int
}

// Token says that a job's next token came.
type Token struct {
	Job uint64
	// Index numbers the job's tokens from 0.
	Index int
	// At is when the token came.
	At time.Duration
	// Cached is the number of prompt tokens found in the cache.
	Cached int
	// Last says that the job is finished.
	Last bool
}

// queued is a job that waits for a slot.
type queued struct {
	job Job
	at  time.Duration
}

// sequence is a job in the batch.
type sequence struct {
	job    Job
	cached int
	// pending is the number of prompt tokens still to be prefilled.
	pending int
	// planned is the number of prompt tokens of the current iteration.
	planned int
	// produced is the number of tokens that came.
	produced int
	// active says that the sequence takes part in the current iteration.
	active bool
}

// Model is an engine in simulated time. It runs iterations: each one prefills
// some prompt tokens and decodes one token of every sequence whose prompt is
// done. Its time depends on both, so that long prompts slow the others down. A
// Model has no goroutine and no clock, and is not safe for concurrent use.
type Model struct {
	speed   Speed
	slow    float64
	cache   *cache
	changes []cacheChange
	now     time.Duration
	waiting []queued
	running []*sequence
	// busy says that an iteration is under way, and end when it ends.
	busy bool
	end  time.Duration
}

// NewModel returns an idle model.
func NewModel(speed Speed) *Model {
	if speed.ChunkTokens <= 0 {
		speed.ChunkTokens = DefaultChunkTokens
	}
	return &Model{speed: speed, slow: 1, cache: newCache(speed.CacheTokens)}
}

// SetSlow makes the iterations to come longer by a factor.
func (m *Model) SetSlow(factor float64) {
	m.slow = factor
}

// Submit adds a job. A time before that of the last step or of the last job
// counts as that time.
func (m *Model) Submit(now time.Duration, job Job) {
	m.now = max(m.now, now)
	m.waiting = append(m.waiting, queued{job: job, at: m.now})
	if !m.busy {
		m.begin(m.now)
	}
}

// Cancel removes a job. It does nothing if the job is not known.
func (m *Model) Cancel(id uint64) {
	for i, waiting := range m.waiting {
		if waiting.job.ID == id {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
	for i, seq := range m.running {
		if seq.job.ID == id {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
}

// Next returns when the current iteration ends. The second result is false if
// the model is idle.
func (m *Model) Next() (time.Duration, bool) {
	return m.end, m.busy
}

// Step moves the time on and returns the tokens that came, in order of time.
func (m *Model) Step(now time.Duration) []Token {
	var tokens []Token
	for m.busy && m.end <= now {
		at := m.end
		tokens = append(tokens, m.finish(at)...)
		m.begin(at)
	}
	m.now = max(m.now, now)
	return tokens
}

// Load returns the number of jobs in the batch and of those that wait.
func (m *Model) Load() (running, waiting int) {
	return len(m.running), len(m.waiting)
}

// begin starts an iteration at a time, or as soon as there is anything to do.
func (m *Model) begin(at time.Duration) {
	if len(m.running) == 0 && len(m.waiting) > 0 {
		at = max(at, m.waiting[0].at)
	}
	m.admit(at)
	m.busy = len(m.running) > 0
	if m.busy {
		m.end = at + m.plan()
	}
}

// admit moves the jobs that came before a time into free slots, in order of
// arrival. An idle engine takes the job that comes first at once, by itself.
func (m *Model) admit(at time.Duration) {
	for len(m.waiting) > 0 && len(m.running) < m.speed.Slots {
		if len(m.running) > 0 && m.waiting[0].at >= at {
			return
		}
		job := m.waiting[0].job
		m.waiting = m.waiting[1:]
		cached := m.cache.lookup(job.Prefix) * prefix.BlockTokens
		// The last prompt token is always computed: it yields the first token.
		cached = max(0, min(cached, job.PromptTokens-1))
		m.running = append(m.running, &sequence{
			job:     job,
			cached:  cached,
			pending: max(1, job.PromptTokens-cached),
		})
	}
}

// plan shares the iteration's prompt tokens out in order of arrival and returns
// the iteration's length.
func (m *Model) plan() time.Duration {
	budget := m.speed.ChunkTokens
	prefilled, decoding := 0, 0
	for _, seq := range m.running {
		seq.active = true
		if seq.pending == 0 {
			decoding++
			continue
		}
		seq.planned = min(seq.pending, budget)
		seq.active = seq.planned > 0
		budget -= seq.planned
		prefilled += seq.planned
	}
	seconds := float64(prefilled) / m.speed.PrefillRate
	if decoding > 0 {
		seconds += (1 + float64(decoding-1)*m.speed.BatchCost) / m.speed.DecodeRate
	}
	return time.Duration(seconds * m.slow * float64(time.Second))
}

// finish ends the iteration and returns its tokens.
func (m *Model) finish(at time.Duration) []Token {
	var tokens []Token
	var left []*sequence
	for _, seq := range m.running {
		if m.advance(seq) {
			tokens = append(tokens, Token{
				Job:    seq.job.ID,
				Index:  seq.produced - 1,
				At:     at,
				Cached: seq.cached,
				Last:   seq.produced == seq.job.OutputTokens,
			})
		}
		if seq.produced < seq.job.OutputTokens {
			left = append(left, seq)
		}
	}
	m.running = left
	return tokens
}

// advance applies the iteration to one sequence and says whether it produced a
// token.
func (m *Model) advance(seq *sequence) bool {
	if !seq.active {
		return false
	}
	if seq.pending > 0 {
		seq.pending -= seq.planned
		seq.planned = 0
		if seq.pending > 0 {
			return false
		}
		m.store(seq.job.Prefix)
	}
	seq.produced++
	return true
}

// store puts the blocks of a prompt into the cache and keeps the change for
// CacheChanges.
func (m *Model) store(hashes []uint64) {
	change := m.cache.insert(hashes)
	if len(change.stored)+len(change.evicted) > 0 {
		m.changes = append(m.changes, change)
	}
}

// cacheChanges returns the changes of the cache since the last call.
func (m *Model) cacheChanges() []cacheChange {
	changes := m.changes
	m.changes = nil
	return changes
}

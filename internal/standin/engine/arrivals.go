package engine

import (
	"maps"
	"strconv"
	"sync"
)

// Arrivals counts the requests that were read, over all incarnations. A request
// that is counted twice was dispatched twice.
type Arrivals struct {
	// Requests counts by request id.
	Requests map[string]int `json:"requests"`
	// Attempts counts by "request id/attempt id".
	Attempts map[string]int `json:"attempts"`
	// Prompts counts by PromptKey.
	Prompts map[string]int `json:"prompts"`
}

// PromptKey names a prompt in Arrivals.
func PromptKey(prompt []byte) string {
	return strconv.FormatUint(Fingerprint(prompt), 16)
}

// arrivalLog collects Arrivals. It is safe for concurrent use.
type arrivalLog struct {
	mu     sync.Mutex
	counts Arrivals
}

// newArrivalLog returns an empty log.
func newArrivalLog() *arrivalLog {
	return &arrivalLog{counts: Arrivals{
		Requests: map[string]int{},
		Attempts: map[string]int{},
		Prompts:  map[string]int{},
	}}
}

// add counts one request.
func (l *arrivalLog) add(request, attempt string, prompt []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests[request]++
	l.counts.Attempts[request+"/"+attempt]++
	l.counts.Prompts[PromptKey(prompt)]++
}

// snapshot returns a copy of the counts.
func (l *arrivalLog) snapshot() Arrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Arrivals{
		Requests: maps.Clone(l.counts.Requests),
		Attempts: maps.Clone(l.counts.Attempts),
		Prompts:  maps.Clone(l.counts.Prompts),
	}
}

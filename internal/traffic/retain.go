package traffic

import (
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// answerRetention is how long the answer to a key is kept for a resend.
	answerRetention = 15 * time.Minute
	// maxKeptBytes bounds the answers kept for resends, in bytes.
	maxKeptBytes = 32 << 20
)

// kept is an answer kept for resends.
type kept struct {
	id    ident.Request
	until time.Time
	size  int
}

// retention is the queue of kept answers, the oldest first.
type retention struct {
	mu    sync.Mutex
	rows  []kept
	bytes int
}

// add keeps an ended job and returns the jobs to forget: those whose time is
// over, and the oldest where room is needed.
func (t *retention) add(now time.Time, id ident.Request, size int) []ident.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = append(t.rows, kept{id: id, until: now.Add(answerRetention), size: size})
	t.bytes += size
	var dropped []ident.Request
	for len(t.rows) > 0 && (t.bytes > maxKeptBytes || now.After(t.rows[0].until)) {
		dropped = append(dropped, t.rows[0].id)
		t.bytes -= t.rows[0].size
		t.rows = t.rows[1:]
	}
	return dropped
}

// Release ends a caller's hold on a job: an answer that a resend may ask for is
// kept for a time, any other is forgotten.
func (r *Runner) Release(j *Job) {
	if !j.Keyed {
		r.forget(j.ID)
		return
	}
	for _, id := range r.retention.add(time.Now(), j.ID, j.Answer.Size()) {
		r.forget(id)
	}
}

// forget drops a job whose answer has ended. What still waits for control's
// word on it gives up, since control has none for a job that isn't known.
func (r *Runner) forget(id ident.Request) {
	if j := r.jobs.remove(id); j != nil {
		j.cancel()
	}
}

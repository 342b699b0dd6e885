package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"sync"
	"time"
)

// sent is a request of a caller and its answer.
type sent struct {
	attempt, host, path, team string
	tokens                    int
	at, answeredAt            time.Time
	status                    int
	sealed                    bool
	note                      string
}

// record keeps what was sent, answered and run.
type record struct {
	start time.Time
	// brief writes numbers of requests and runs by second instead of each of them.
	brief bool

	mu    sync.Mutex
	sent  []*sent
	runs  []run
	notes []string
}

func newRecord() *record { return &record{start: time.Now()} }

// ran records the begin of a run.
func (r *record) ran(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

// add records a request that is sent.
func (r *record) add(x *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, x)
}

// answered records the answer of a request.
func (r *record) answered(x *sent, status int, sealed bool, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.answeredAt, x.status, x.sealed, x.note = time.Now(), status, sealed, note
}

// notef records what was done.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.notes = append(r.notes, line)
	fmt.Println(line)
}

// seconds returns a time since the start of the record.
func (r *record) seconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(r.start).Seconds()
}

// write writes the record to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := bufio.NewWriter(f)
	for _, line := range r.notes {
		_, _ = fmt.Fprintln(w, line)
	}
	if r.brief {
		r.writeCounts(w)
	} else {
		r.writeAll(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

// writeCounts writes how many requests were sent, answered and run in each second.
func (r *record) writeCounts(w io.Writer) {
	counts := map[string]int{}
	for _, x := range r.sent {
		counts[fmt.Sprintf("sent in second %3.0f to %s, status %d, sealed %t", math.Floor(r.seconds(x.at)), x.host, x.status, x.sealed)]++
	}
	for _, x := range r.runs {
		counts[fmt.Sprintf("run in second %3.0f at %s", math.Floor(r.seconds(x.at)), x.runner)]++
	}
	for _, line := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "%s: %d\n", line, counts[line])
	}
}

// writeAll writes every request and run.
func (r *record) writeAll(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nsent: second, attempt, host, path, team, tokens; answered: second, status, sealed, note")
	for _, x := range r.sent {
		_, _ = fmt.Fprintf(w, "%9.3f %s %s %s %s %d; %9.3f %d %t %s\n", r.seconds(x.at), x.attempt, x.host, x.path, x.team, x.tokens,
			r.seconds(x.answeredAt), x.status, x.sealed, x.note)
	}
	_, _ = fmt.Fprintln(w, "\nrun: second, runner, attempt")
	for _, x := range r.runs {
		_, _ = fmt.Fprintf(w, "%9.3f %s %s\n", r.seconds(x.at), x.runner, x.attempt)
	}
}

// ranOf returns the first run of each attempt.
func (r *record) ranOf() map[string]run {
	first := map[string]run{}
	for _, x := range r.runs {
		if _, known := first[x.attempt]; !known {
			first[x.attempt] = x
		}
	}
	return first
}

// worstWindow returns the most tokens of a team's requests that were both sent and began to run in one
// window, and when that window began.
func (r *record) worstWindow(team string, window time.Duration) (tokens int, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.ranOf()
	type one struct {
		sent, ran time.Time
		tokens    int
	}
	var list []one
	for _, x := range r.sent {
		if ran, ok := first[x.attempt]; ok && x.team == team {
			list = append(list, one{x.at, ran.at, x.tokens})
		}
	}
	slices.SortFunc(list, func(a, b one) int { return a.sent.Compare(b.sent) })
	for i := range list {
		sum := 0
		for _, x := range list[i:] {
			if x.ran.Sub(list[i].sent) < window {
				sum += x.tokens
			}
		}
		if sum > tokens {
			tokens, began = sum, list[i].sent
		}
	}
	return tokens, began
}

package runner

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Garbling is how a faulty endpoint spoils an answer after its run.
type Garbling int

// Kinds of garbling.
const (
	// CutEvent ends the body properly, inside the first event.
	CutEvent Garbling = iota
	// InterimStatus and LowStatus spoil the status, and NoBodyStatus makes it one without a body.
	InterimStatus
	LowStatus
	NoBodyStatus
	// CutHead ends the connection inside the head.
	CutHead
	// EndlessHead and EndlessBody write on and on, in the head and in the body's trailer.
	EndlessHead
	EndlessBody
	// Garblings is the number of kinds.
	Garblings
)

// endlessTime bounds the time for which an answer without end is written.
const endlessTime = 2 * time.Second

// statuses are the spoilt statuses.
var statuses = map[Garbling]string{InterimStatus: "100", LowStatus: "020", NoBodyStatus: "204"}

// Garble lets the answers of the next n runs be spoilt.
func (r *Runner) Garble(n int, how Garbling) {
	r.how.Store(int64(how))
	r.garble.Store(int64(n))
}

// garbled spoils an answer if one is to be, and reports whether it did.
func (r *Runner) garbled(w http.ResponseWriter, attempt string) bool {
	if r.garble.Add(-1) < 0 {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	contentType, body := "text/plain", Body(attempt)
	if r.opts.Streams {
		contentType, body = "text/event-stream", Event(attempt, 0)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\n",
		headerAttempt, attempt, headerRunner, r.opts.ID, headerSeal, r.opts.ID+"."+attempt, contentType)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	long := strings.Repeat("x", 1<<10)
	how := Garbling(r.how.Load())
	switch how {
	case CutEvent:
		if !r.opts.Streams {
			body += long // more than it declares
			break
		}
		body = body[:len(body)/2]
		length = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
		body += "\r\n0\r\n\r\n"
	case CutHead:
		head, length, body = head[:len(head)-1-int(hashOf(attempt)%uint64(len(head)-1))], "", ""
	case EndlessHead:
		length, body = "", "X: "+long
	case EndlessBody:
		// The endless part must not belong to the body, or no one could tell it from the answer.
		length = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
		body += "\r\n0\r\nX: "
	default:
		head = strings.Replace(head, "200", statuses[how], 1)
	}
	_, _ = io.WriteString(conn, head+length+body)
	if how != EndlessHead && how != EndlessBody {
		return true
	}
	for until := time.Now().Add(endlessTime); time.Now().Before(until); {
		if _, err := io.WriteString(conn, long); err != nil {
			break
		}
	}
	return true
}

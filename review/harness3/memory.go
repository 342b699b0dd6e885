package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of an entry host of Verstraeten in MiB.
	memoryMB = 134
	// clientsPerHost is the number of clients of each host, partsOfPrompt the number of prompt parts that
	// each of their requests names, and ordinaryParts that of an ordinary request.
	clientsPerHost, partsOfPrompt, ordinaryParts = 700, 2_690, 3
	// longStream is the number of events of a stream.
	longStream = 42
	// headBytes is the limit max_header_bytes of the configuration.
	headBytes = 16_384
	// crowdTime is how long the clients send.
	crowdTime = 40 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
	// endsOfFault is how often a process may end by itself in a day, and machinesOfFault on how many machines.
	endsOfFault, machinesOfFault = 3, 2
)

// anonymousMB returns the anonymous memory of a host's process in MiB, which leaves out the program's
// own pages; 0 if it doesn't run.
func (h *host) anonymousMB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}

// guard does what the platform does: it kills the process when it exceeds the machine's memory, and
// starts it again. It counts the ends and notes the most memory.
func (w *world) guard(h *host, ends *atomic.Int64, until time.Time) {
	w.callers.Go(func() {
		most := 0
		for time.Now().Before(until) {
			time.Sleep(20 * time.Millisecond)
			mb := h.anonymousMB()
			most = max(most, mb)
			if mb <= memoryMB {
				continue
			}
			ends.Add(1)
			w.record.notef("%s holds %d MiB of %d: the process ends", h.name, mb, memoryMB)
			h.signal(syscall.SIGKILL)
			h.wait()
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				w.record.notef("%s: %v", h.name, err)
				return
			}
		}
		w.record.notef("%s held %d MiB of %d at most", h.name, most, memoryMB)
	})
}

// head returns the head of a request whose prompt has a number of parts, each of one token, with IDs from
// a first one on. The last belongs to the request itself.
func head(service, attempt string, parts, first int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /"+service+"/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\n"+
		"Credential: blue-key-1\r\nModel: m\r\nToken-Usage: %d,20\r\nContent-Length: 3\r\nPrompt-Prefix: ", attempt, parts+8)
	for i := range parts - 1 {
		fmt.Fprintf(&b, "%x:1,", first+i)
	}
	fmt.Fprintf(&b, "%s:9\r\n\r\n", attempt)
	return b.String()
}

// client sends one request after the other, each on a channel of its own.
func (w *world) client(h *host, parts int, until time.Time) {
	w.callers.Go(func() {
		for time.Now().Before(until) {
			id := fmt.Sprintf("%08x", attempts.Add(1))
			s := &sent{attempt: id, host: h.name, path: "/chute-llm/1", team: "blue", tokens: parts + 28, at: time.Now()}
			w.record.add(s)
			status, sealed := exchange(h.front, head("chute-llm", id, parts, 0)+"abc")
			w.record.answered(s, status, sealed, "")
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// exchange sends a request on a channel of its own and reads the answer. The status is 0 if there is none.
func exchange(address, text string) (status int, sealed bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(11 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("Runner-Seal") != ""
}

// memoryOfPrompts lets many clients send requests of legal size with very many short prompt parts.
func memoryOfPrompts(w *world) (bool, error) {
	bounds["limits.memory_mb"] = strconv.Itoa(memoryMB)
	bounds["region"] = "be-flanders"
	w.config.Limits["max_header_bytes"] = headBytes
	w.record.brief = true
	w.quotaTeam()
	w.config.Tenants[0]["per_s"] = 0
	if err := w.service("chute-llm", "ronse-a", 9); err != nil {
		return false, err
	}
	for _, r := range w.runners {
		r.events.Store(longStream)
	}
	w.publish()
	if err := w.start("ronse-a", "ronse-a", "ronse-a", "ronse-b", "ronse-b", "ronse-b", "oudenaarde", "oudenaarde"); err != nil {
		return false, err
	}
	parts := ordinaryParts
	if w.trouble {
		parts = partsOfPrompt
	}
	size := len(head("chute-llm", "00000000", parts, 0))
	w.record.notef("all hosts are ready; %d clients a host send heads of %d bytes (limit %d) with %d prompt parts", clientsPerHost, size, headBytes, parts)
	if size > headBytes {
		return false, fmt.Errorf("the head has %d bytes, more than the limit of %d", size, headBytes)
	}
	until := time.Now().Add(crowdTime)
	ends := make([]atomic.Int64, len(w.hosts))
	for i, h := range w.hosts {
		w.guard(h, &ends[i], until)
		for range clientsPerHost {
			w.client(h, parts, until)
		}
	}
	w.callers.Wait()
	machines := 0
	for i, h := range w.hosts {
		w.record.notef("%s: the process ended by itself %d times", h.name, ends[i].Load())
		if ends[i].Load() >= endsOfFault {
			machines++
		}
	}
	return machines >= machinesOfFault, nil
}

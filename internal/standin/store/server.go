// Package store is a stand-in for the metadata store of the users' platform: rows,
// transactions and feeds over HTTP, with the failures that its pages name.
package store

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxPage bounds the rows of one answer.
const maxPage = 500

// Faults is what the store does wrong. The zero value does nothing wrong.
type Faults struct {
	// Refuse answers every call with this status; 0: none.
	Refuse int
	// RefuseFrom answers the calls of these IP addresses with status 503.
	RefuseFrom []string
	// Silent leaves calls without an answer.
	Silent bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseWrites applies writes and closes their connection without an answer;
	// LateWrites, in addition, applies them only after this time, if their
	// conditions still hold then.
	LoseWrites bool
	LateWrites time.Duration
}

// Server is the stand-in.
type Server struct {
	http *http.Server

	mu     sync.Mutex
	rows   *rows
	faults Faults
	// calls counts the calls by path.
	calls map[string]int
	late  sync.WaitGroup
	// notify is told each row that is put; nil: nobody is.
	notify func(table, key string, value []byte)
	// era counts the times that the store came back from a copy, and eraHeader holds the values of the
	// header that names it.
	era       uint64
	eraHeader []string
	conns     map[net.Conn]struct{}
}

// New returns an empty store.
func New() *Server {
	s := &Server{rows: newRows(), calls: map[string]int{}, conns: map[net.Conn]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.http = &http.Server{Handler: s.faulty(mux), ConnState: s.track}
	return s
}

// Serve answers calls on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(ln)
}

// Close ends every call and connection.
func (s *Server) Close() error {
	err := s.http.Close()
	s.late.Wait()
	return err
}

// Set replaces the faults.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Notify lets f be told each row that is put. It is called under the store's lock.
func (s *Server) Notify(f func(table, key string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = f
}

// apply applies a transaction whose conditions hold. The caller holds the lock.
func (s *Server) apply(x transaction) {
	s.rows.apply(x)
	if s.notify == nil {
		return
	}
	for _, r := range x.Puts {
		s.notify(r.Table, r.Key, r.Value)
	}
}

// Put writes a row as an operator or an endpoint does.
func (s *Server) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{Table: table, Part: part, Key: key, Value: value}}})
}

// Remove removes a row.
func (s *Server) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.apply(transaction{Removes: []row{{Table: table, Part: part, Key: key}}})
}

// Forget drops the history of changes.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.forget()
}

// Calls returns the number of calls of a path.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// faulty does what the faults say before a call.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		if f.Silent {
			<-r.Context().Done()
			return
		}
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		for _, refused := range f.RefuseFrom {
			if refused == host {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if f.Refuse != 0 {
			s.mu.Lock()
			s.setEra(w)
			s.mu.Unlock()
			w.WriteHeader(f.Refuse)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// answer writes a page.
func answer(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Content-Type", "application/json")
	for _, value := range p.era {
		w.Header().Add(headerEra, value)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// page is an answer with rows.
type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
	// era holds the values of the header that names the era.
	era []string
}

// page returns rows with the version of now. The caller holds the lock.
func (s *Server) page(list []row) page {
	more := len(list) > maxPage
	if more {
		list = list[:maxPage]
	}
	if list == nil {
		list = []row{}
	}
	return page{Rows: list, More: more, Version: s.rows.version, Now: time.Since(s.rows.started).Milliseconds(), era: s.eraHeader}
}

// transact applies a transaction.
func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var x transaction
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites > 0 {
		s.late.Add(1)
		time.AfterFunc(s.faults.LateWrites, func() { s.applyLate(x) })
	}
	if s.faults.LateWrites == 0 {
		if conflicts := s.rows.conflicts(x); len(conflicts) > 0 {
			answer(w, http.StatusPreconditionFailed, s.page(conflicts))
			return
		}
		s.apply(x)
	}
	if s.faults.LoseWrites || s.faults.LateWrites > 0 {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, s.page(nil))
}

// applyLate applies a write whose answer was lost, if its conditions still hold.
func (s *Server) applyLate(x transaction) {
	defer s.late.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rows.conflicts(x)) == 0 {
		s.apply(x)
	}
}

// get answers the rows of a partition.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, s.page(s.rows.list(q.Get("table"), q.Get("part"), q.Get("from"))))
}

// feed answers the changes of a table after a version, as soon as there are any.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		list, kept := s.rows.since(q.Get("table"), after)
		if !kept {
			s.setEra(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list) > 0 || !waiting {
			p := s.page(list)
			s.mu.Unlock()
			answer(w, http.StatusOK, p)
			return
		}
		changed := s.rows.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

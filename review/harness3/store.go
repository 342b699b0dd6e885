package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for a transaction.
const storeDelay = 6 * time.Millisecond

// row is one row of the store, or the mark that it was removed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// rowID names a row.
type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// transaction is applied whole or not at all.
type transaction struct {
	Conditions []row `json:"expected_rev"`
	Puts       []row `json:"puts"`
	Removes    []row `json:"remove"`
}

// copyOf is a copy of the store's content at one time.
type copyOf struct {
	at      time.Time
	rows    map[rowID]row
	history []row
	version uint64
}

// view is what the hosts of one failure domain see of the store: texts that are replaced in what they
// read, so that a proxy stands in the place of an address.
type view struct {
	listener net.Listener
	replace  map[string]string
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
	// era is the value of the header Store-Era.
	era int
	// copies holds the content every half second.
	copies []copyOf
	// away is set while the store doesn't answer.
	away  bool
	views []*view
	conns map[net.Conn]struct{}
}

func newStore() *store {
	s := &store{
		rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now(), era: 1, conns: map[net.Conn]struct{}{},
	}
	go func() {
		for ; ; time.Sleep(copyInterval) {
			s.mu.Lock()
			s.copies = append(s.copies, copyOf{time.Now(), maps.Clone(s.rows), slices.Clone(s.history), s.version})
			s.mu.Unlock()
		}
	}()
	return s
}

// copyInterval is the time between two copies of the store's content.
const copyInterval = 500 * time.Millisecond

// serve opens an address of the store for the hosts of one failure domain.
func (s *store) serve(ip string) (*view, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	v := &view{listener: ln, replace: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(v, w, r) })
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(v, w, r) })
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(v, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnState: s.track}
	go func() { _ = server.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, v)
	return v, nil
}

// track closes new connections while the store is away.
func (s *store) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
		if s.away {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
	}
}

// put writes a row as an operator or an endpoint does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: value}}})
	}
}

// apply applies a transaction. The caller holds the lock.
func (s *store) apply(x transaction) {
	s.version++
	for _, r := range x.Puts {
		r.Version, r.Deleted = s.version, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range x.Removes {
		delete(s.rows, r.id())
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// drill lets the store be away for a time and come back from a copy of a given age.
func (s *store) drill(away, age time.Duration) (copied time.Time) {
	s.mu.Lock()
	s.away = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	at := slices.IndexFunc(s.copies, func(c copyOf) bool { return time.Since(c.at) < age })
	c := s.copies[max(0, at-1)]
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.rows, s.history, s.version = maps.Clone(c.rows), slices.Clone(c.history), c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	return c.at
}

// answer writes a page of rows as a view shows them.
func (s *store) answer(v *view, w http.ResponseWriter, status int, list []row, more bool, version uint64, era int) {
	shown := make([]row, len(list))
	for i, r := range list {
		for from, to := range v.replace {
			r.Value = bytes.ReplaceAll(r.Value, []byte(from), []byte(to))
		}
		shown[i] = r
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": shown, "has_more": more, "ver": version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

// transact applies a transaction if its conditions hold.
func (s *store) transact(v *view, w http.ResponseWriter, r *http.Request) {
	var x transaction
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	var conflicts []row
	for _, c := range x.Conditions {
		if s.rows[c.id()].Version != c.Version {
			conflicts = append(conflicts, s.rows[c.id()])
		}
	}
	status := http.StatusOK
	if len(conflicts) > 0 {
		status = http.StatusPreconditionFailed
	} else {
		s.apply(x)
	}
	version, era := s.version, s.era
	s.mu.Unlock()
	s.answer(v, w, status, conflicts, false, version, era)
}

// pageRows is the most rows of an answer.
const pageRows = 500

// get answers the rows of a part of a table.
func (s *store) get(v *view, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var list []row
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") &&
			(q.Get("to") == "" || id.key < q.Get("to")) {
			list = append(list, x)
		}
	}
	version, era := s.version, s.era
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageRows
	s.answer(v, w, http.StatusOK, list[:min(len(list), pageRows)], more, version, era)
}

// feed answers the changes of a table after a version, as soon as there are any.
func (s *store) feed(v *view, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var list []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				list = append(list, x)
			}
		}
		version, era, changed := s.version, s.era, s.changed
		s.mu.Unlock()
		if len(list) > 0 || last {
			s.answer(v, w, http.StatusOK, list, false, version, era)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

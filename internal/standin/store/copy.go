package store

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
)

// headerEra is the header that names the store's era.
const headerEra = "Store-Era"

// Copy is the content of the store at one time.
type Copy struct {
	now                map[rowID]row
	history            []row
	version, forgotten uint64
}

// Copy returns a copy of the store's content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.rows
	return Copy{now: maps.Clone(t.now), history: slices.Clone(t.history), version: t.version, forgotten: t.forgotten}
}

// Restore replaces the store's content by that of a copy and begins the next era. What was written since
// the copy is gone, and versions are given out again. Calls that are waiting go on. If cut is set, all
// connections are closed.
func (s *Server) Restore(c Copy, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.now, s.rows.history = maps.Clone(c.now), slices.Clone(c.history)
	s.rows.version, s.rows.forgotten = c.version, c.forgotten
	s.era++
	if s.eraHeader != nil {
		s.eraHeader = []string{strconv.FormatUint(s.era, 10)}
	}
	if cut {
		for conn := range s.conns {
			_ = conn.Close()
		}
	}
}

// Value returns the value of a row, or false if there is none.
func (s *Server) Value(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows.now[rowID{table, part, key}]
	return r.Value, ok
}

// NameEra makes the store name an era in all its answers. By default it names none.
func (s *Server) NameEra(era uint64) {
	s.SetEraHeader(strconv.FormatUint(era, 10))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SetEraHeader replaces the values of the header that names the era, which may be invalid. Without
// values the store sends no header.
func (s *Server) SetEraHeader(values ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHeader = values
}

// track keeps the connections that are open.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

// setEra sets the header of an answer. The caller holds the lock.
func (s *Server) setEra(w http.ResponseWriter) {
	for _, value := range s.eraHeader {
		w.Header().Add(headerEra, value)
	}
}

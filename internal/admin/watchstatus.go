package admin

import (
	"bufio"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Kinds of status that can be watched beside resources.
const (
	StatusHost       = "host"
	StatusPool       = "pool"
	StatusQuarantine = "quarantine"
)

const (
	// eventStatus is the server-sent event of a change of status.
	eventStatus = "status"
	// statusInterval is the time between two looks at the status.
	statusInterval = time.Second
)

// StatusEvent is a change of the status of one host, pool or suspect. A watch
// tells changes of states and conditions, not of counts, speeds and ages.
type StatusEvent struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Gone says that it is no longer known.
	Gone       bool              `json:"gone,omitempty"`
	Host       *HostStatus       `json:"host,omitempty"`
	Pool       *PoolStatus       `json:"pool,omitempty"`
	Quarantine *QuarantineStatus `json:"quarantine,omitempty"`
}

// isStatus says whether a kind is one of status.
func isStatus(kind string) bool {
	return kind == StatusHost || kind == StatusPool || kind == StatusQuarantine
}

// watchStatus streams the changes of a kind of status, beginning with the
// status as it is. It has no revision to resume from: a new watch begins anew.
func (s *Server) watchStatus(c *fiber.Ctx, kind string) error {
	if c.Query(queryAfter) != "" {
		return result.New(result.BadRequest, "status has no revision to resume after")
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	c.Context().SetBodyStreamWriter(func(out *bufio.Writer) { s.streamStatus(out, kind) })
	return nil
}

// streamStatus writes changes until the caller is gone or the server stops.
func (s *Server) streamStatus(out *bufio.Writer, kind string) {
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	told := map[string]StatusEvent{}
	for {
		now := s.status(kind)
		err := tellStatus(out, told, now)
		told = now
		if err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-heartbeat.C:
			if writeComment(out) != nil {
				return
			}
		case <-s.closing:
			stop := &result.Error{Code: result.Stopping, Reason: "the host is stopping; watch at another"}
			_ = writeEvent(out, eventError, errorBody(stop))
			return
		}
	}
}

// tellStatus writes what differs between two looks.
func tellStatus(out *bufio.Writer, before, now map[string]StatusEvent) error {
	for _, name := range slices.Sorted(maps.Keys(now)) {
		event := now[name]
		if old, ok := before[name]; ok && reflect.DeepEqual(old.settled(), event.settled()) {
			continue
		}
		if err := writeEvent(out, eventStatus, event); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := now[name]; ok {
			continue
		}
		if err := writeEvent(out, eventStatus, StatusEvent{Kind: before[name].Kind, Name: name, Gone: true}); err != nil {
			return err
		}
	}
	return nil
}

// status returns the status of a kind by name.
func (s *Server) status(kind string) map[string]StatusEvent {
	events := map[string]StatusEvent{}
	add := func(event StatusEvent) { events[event.Name] = event }
	switch kind {
	case StatusHost:
		for _, host := range s.hosts() {
			add(StatusEvent{Kind: kind, Name: string(host.Host), Host: &host})
		}
	case StatusPool:
		for _, pool := range s.backend.Pools() {
			add(StatusEvent{Kind: kind, Name: pool.Target + "@" + string(pool.Domain), Pool: &pool})
		}
	case StatusQuarantine:
		for _, suspect := range s.backend.Quarantine() {
			name := fmt.Sprintf("%s.%016x.%016x", suspect.Domain, suspect.KeyHash, suspect.Fingerprint)
			add(StatusEvent{Kind: kind, Name: name, Quarantine: &suspect})
		}
	}
	return events
}

// settled returns the event without the counts, speeds and ages that always
// change.
func (e StatusEvent) settled() StatusEvent {
	if e.Host != nil {
		host := *e.Host
		host.HeartbeatAgeMillis = 0
		e.Host = &host
	}
	if e.Pool != nil {
		pool := *e.Pool
		pool.Queue = nil
		pool.Endpoints = slices.Clone(pool.Endpoints)
		for i := range pool.Endpoints {
			endpoint := &pool.Endpoints[i]
			endpoint.Window, endpoint.InFlight, endpoint.PrefillRate, endpoint.DecodeRate = 0, 0, 0, 0
		}
		e.Pool = &pool
	}
	return e
}

package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Names of the server-sent events of a watch.
const (
	eventChange = "change"
	// eventRevision says that the watch has told all changes up to a revision.
	eventRevision = "revision"
	eventError    = "error"
)

// watcher follows the resources of one kind for one caller.
type watcher struct {
	server *Server
	kind   resource.Kind
	// last is the snapshot up to which everything was told.
	last *resource.Snapshot
}

// watch streams the changes of a kind as server-sent events. For resources, with the
// parameter "after", it starts with the changes after that revision; without it
// with the changes from now on. It ends with an error event if it can't go on.
func (s *Server) watch(c *fiber.Ctx) error {
	if kind := c.Query(queryKind); isStatus(kind) {
		return s.watchStatus(c, kind)
	}
	kind := resource.Kind(c.Query(queryKind))
	if kind != "" && !slices.Contains(resource.Kinds, kind) {
		return result.New(result.NotFound, "no kind "+string(kind))
	}
	after, err := optionalRevision(c, queryAfter)
	if err != nil {
		return err
	}
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	w := &watcher{server: s, kind: kind, last: snapshot}
	var missed []WatchEvent
	if after != nil {
		if missed, err = w.resume(*after); err != nil {
			return err
		}
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	c.Context().SetBodyStreamWriter(func(out *bufio.Writer) { w.stream(out, missed) })
	return nil
}

// resume returns the changes after a revision up to the snapshot.
func (w *watcher) resume(after uint64) ([]WatchEvent, error) {
	if after == w.last.Revision {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.server.options.ApplyTimeout)
	defer cancel()
	changes, err := w.server.options.Store.ChangesAfter(ctx, after)
	if err != nil {
		return nil, err
	}
	if after > w.last.Revision {
		return nil, &result.Error{
			Code: result.NotReady, Reason: "this host is still at revision " + format(w.last.Revision), RetryAfter: time.Second,
		}
	}
	return w.events(changes), nil
}

// events returns the last change of each resource up to the snapshot.
func (w *watcher) events(changes []resource.ChangeRow) []WatchEvent {
	latest := map[string]WatchEvent{}
	for _, change := range changes {
		if change.Revision > w.last.Revision {
			break
		}
		for _, item := range change.Items {
			latest[resource.Key(item.Kind, item.Name)] = WatchEvent{Revision: change.Revision, Kind: item.Kind, Name: item.Name}
		}
	}
	events := make([]WatchEvent, 0, len(latest))
	for _, event := range latest {
		event.Resource = view(w.last, event.Kind, event.Name)
		event.Deleted = event.Resource == nil
		events = append(events, event)
	}
	sortEvents(events)
	return events
}

func sortEvents(events []WatchEvent) {
	slices.SortFunc(events, func(a, b WatchEvent) int {
		if a.Revision != b.Revision {
			if a.Revision < b.Revision {
				return -1
			}
			return 1
		}
		if resource.Key(a.Kind, a.Name) < resource.Key(b.Kind, b.Name) {
			return -1
		}
		return 1
	})
}

// stream writes events until the caller is gone or the server stops.
func (w *watcher) stream(out *bufio.Writer, events []WatchEvent) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	if w.write(out, events) != nil {
		return
	}
	for {
		var err error
		select {
		case <-tick.C:
			if events, moved := w.poll(); moved {
				err = w.write(out, events)
			}
		case <-heartbeat.C:
			err = writeComment(out)
		case <-w.server.closing:
			stop := &result.Error{Code: result.Stopping, Reason: "the host is stopping; resume at another"}
			_ = writeEvent(out, eventError, errorBody(stop))
			return
		}
		if err != nil {
			return
		}
	}
}

// poll returns the changes since the last snapshot, and whether there is a
// newer one.
func (w *watcher) poll() ([]WatchEvent, bool) {
	next := w.server.backend.Snapshot()
	if next == nil || next.Revision <= w.last.Revision {
		return nil, false
	}
	delta, err := resource.Diff(w.last, next)
	if err != nil {
		return nil, false
	}
	w.last = next
	events := make([]WatchEvent, 0, len(delta.Items))
	for _, item := range delta.Items {
		event := WatchEvent{Revision: item.Changed, Kind: item.Kind, Name: item.Name, Deleted: item.Deleted}
		if item.Deleted {
			event.Revision = next.Revision
		}
		event.Resource = view(next, item.Kind, item.Name)
		events = append(events, event)
	}
	sortEvents(events)
	return events, true
}

// write sends the events of the watch's kind and the revision reached.
func (w *watcher) write(out *bufio.Writer, events []WatchEvent) error {
	for i := range events {
		if w.kind != "" && events[i].Kind != w.kind {
			continue
		}
		if err := writeEvent(out, eventChange, events[i]); err != nil {
			return err
		}
	}
	return writeEvent(out, eventRevision, WatchEvent{Revision: w.last.Revision})
}

// writeEvent sends one server-sent event.
func writeEvent(out *bufio.Writer, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, _ = out.WriteString("event: " + name + "\ndata: ")
	_, _ = out.Write(data)
	_, _ = out.WriteString("\n\n")
	return out.Flush()
}

// writeComment sends a line that keeps the connection known to be alive.
func writeComment(out *bufio.Writer) error {
	_, _ = out.WriteString(": heartbeat\n\n")
	return out.Flush()
}

func format(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

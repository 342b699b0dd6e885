package admin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Names of query parameters.
const (
	queryFile     = "file"
	queryChangeID = "change_id"
	queryRevision = "revision"
	queryTimeout  = "timeout"
	queryFormat   = "format"
	queryKind     = "kind"
	queryAfter    = "after"
	formatINI     = "ini"
	formatText    = "text"
	formatHTML    = "html"
)

func itoa(n int) string { return strconv.Itoa(n) }

// apply makes the change that the manifest in the body asks for.
func (s *Server) apply(c *fiber.Ctx) error {
	manifest, err := resource.ParseManifest(c.Query(queryFile, "manifest"), c.Body())
	if err != nil {
		return err
	}
	change := resource.Change{ID: c.Query(queryChangeID), Items: manifest.Items}
	if change.Base, err = optionalRevision(c, queryRevision); err != nil {
		return err
	}
	applied, err := s.change(c, change)
	var invalid *resource.InvalidError
	if errors.As(err, &invalid) {
		return locate(manifest, invalid)
	}
	if err != nil {
		return err
	}
	return c.JSON(applied)
}

// change makes a change, with a new id if it has none.
func (s *Server) change(c *fiber.Ctx, change resource.Change) (resource.Applied, error) {
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), s.options.ApplyTimeout)
	defer cancel()
	return s.options.Store.Apply(ctx, change)
}

// locate returns the manifest's lines of what makes a change invalid.
func locate(manifest *resource.Manifest, invalid *resource.InvalidError) error {
	problems := make(inifile.Problems, len(invalid.Problems))
	for i, problem := range invalid.Problems {
		problems[i] = manifest.Locate(problem)
	}
	return problems
}

// optionalRevision reads a revision; nil if the parameter is missing.
func optionalRevision(c *fiber.Ctx, name string) (*uint64, error) {
	text := c.Query(name)
	if text == "" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, result.New(result.BadRequest, name+" must be a whole number")
	}
	return &revision, nil
}

// drain sets an endpoint's state to drain.
func (s *Server) drain(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(c.UserContext(), s.options.ApplyTimeout)
	defer cancel()
	snapshot, err := s.options.Store.Load(ctx)
	if err != nil {
		return err
	}
	name := c.Params("endpoint")
	endpoint, ok := snapshot.Endpoints[name]
	if !ok {
		return result.New(result.NotFound, "no endpoint "+name)
	}
	endpoint.State = resource.EndpointDrain
	item := resource.Item{Kind: resource.KindEndpoint, Name: name, Spec: endpoint}
	read := snapshot.Changed[item.Key()]
	item.Read = &read
	applied, err := s.change(c, resource.Change{ID: c.Query(queryChangeID), Items: []resource.Item{item}})
	if err != nil {
		return err
	}
	return c.JSON(applied)
}

// snapshot returns the resources in force, or an error before there are any.
func (s *Server) snapshot() (*resource.Snapshot, error) {
	snapshot := s.backend.Snapshot()
	if snapshot == nil {
		return nil, &result.Error{Code: result.NotReady, Reason: "the host has no configuration yet", RetryAfter: time.Second}
	}
	return snapshot, nil
}

// list answers the resources of a kind, or one of them.
func (s *Server) list(c *fiber.Ctx) error {
	kind := resource.Kind(c.Params("kind"))
	if !slices.Contains(resource.Kinds, kind) {
		return result.New(result.NotFound, "no kind "+string(kind))
	}
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	names := snapshot.Names(kind)
	if name := c.Params("name"); name != "" {
		if !slices.Contains(names, name) {
			return result.New(result.NotFound, "no "+string(kind)+" "+name)
		}
		names = []string{name}
	}
	if c.Query(queryFormat) == formatINI {
		c.Type("txt", "utf-8")
		return c.Send(printItems(snapshot, kind, names))
	}
	answer := ResourceList{Revision: snapshot.Revision, Resources: make([]Resource, len(names))}
	for i, name := range names {
		answer.Resources[i] = *view(snapshot, kind, name)
	}
	return c.JSON(answer)
}

// printItems returns resources as a manifest with the revisions they were
// read at, so that an edited copy conflicts with a change made meanwhile.
func printItems(snapshot *resource.Snapshot, kind resource.Kind, names []string) []byte {
	items := make([]resource.Item, len(names))
	for i, name := range names {
		spec, _ := snapshot.Get(kind, name)
		changed := snapshot.Changed[resource.Key(kind, name)]
		items[i] = resource.Item{Kind: kind, Name: name, Spec: spec, Read: &changed}
	}
	return resource.Print(items)
}

// view returns one resource of a snapshot; nil if there is none.
func view(snapshot *resource.Snapshot, kind resource.Kind, name string) *Resource {
	spec, ok := snapshot.Get(kind, name)
	if !ok {
		return nil
	}
	keys := map[string]string{}
	for _, entry := range resource.Entries(kind, spec) {
		keys[entry.Key] = entry.Value
	}
	return &Resource{Kind: kind, Name: name, Revision: snapshot.Changed[resource.Key(kind, name)], Keys: keys}
}

// explain answers what is known of a request.
func (s *Server) explain(c *fiber.Ctx) error {
	id := ident.Request(c.Params("id"))
	records := s.backend.Explain(c.UserContext(), id)
	if len(records) == 0 {
		return result.New(result.NotFound, "nothing is known of request "+string(id))
	}
	return c.JSON(records)
}

// wait answers when a revision is in force on all live hosts, or at the
// timeout with those that lag.
func (s *Server) wait(c *fiber.Ctx) error {
	revision, err := optionalRevision(c, queryRevision)
	if err != nil || revision == nil {
		return result.New(result.BadRequest, "revision must be a whole number")
	}
	timeout, err := time.ParseDuration(c.Query(queryTimeout, maxWait.String()))
	if err != nil || timeout < 0 || timeout > maxWait {
		return result.New(result.BadRequest, "timeout must be a time with its unit of at most "+maxWait.String())
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		status := s.waitStatus(*revision)
		if status.InForce {
			return c.JSON(status)
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			return c.JSON(status)
		case <-s.closing:
			return c.JSON(status)
		}
	}
}

// hosts returns the entry hosts with the condition of their revision.
func (s *Server) hosts() []HostStatus {
	own := uint64(0)
	if snapshot := s.backend.Snapshot(); snapshot != nil {
		own = snapshot.Revision
	}
	return withLag(s.backend.Hosts(), own)
}

// waitStatus says which live hosts have a revision.
func (s *Server) waitStatus(revision uint64) WaitStatus {
	status := WaitStatus{Revision: revision}
	hosts := s.backend.Hosts()
	for i := range hosts {
		if hosts[i].live() && hosts[i].Revision < revision {
			status.Lagging = append(status.Lagging, hosts[i])
		}
	}
	status.InForce = len(hosts) > 0 && len(status.Lagging) == 0
	return status
}

// reportTimeout bounds the reading of a report's counts; what isn't read by
// then is listed as missing.
const reportTimeout = 20 * time.Second

// burn answers the service-level burn report.
func (s *Server) burn(c *fiber.Ctx) error {
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	if s.options.Reports == nil {
		return result.New(result.NotFound, "this host makes no reports")
	}
	ctx, cancel := context.WithTimeout(c.UserContext(), reportTimeout)
	defer cancel()
	r := s.options.Reports.Report(ctx, time.Now(), snapshot, s.writing())
	switch c.Query(queryFormat) {
	case formatText:
		c.Type("txt", "utf-8")
		return r.WriteText(c)
	case formatHTML:
		c.Type("html", "utf-8")
		return r.WriteHTML(c)
	}
	return c.JSON(r)
}

// writing returns the hosts that write the counts of reports now.
func (s *Server) writing() []ident.Host {
	var list []ident.Host
	for _, host := range s.backend.Hosts() {
		if host.State == HostAlive || host.State == HostSuspect {
			list = append(list, host.Host)
		}
	}
	return list
}

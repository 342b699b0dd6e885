package admin_test

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// eventLimit bounds the wait for an event that must come.
const eventLimit = time.Minute

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventLimit)
	RunSpecs(t, "admin")
}

// memoryTable is a table in memory that can be down.
type memoryTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool
}

func (t *memoryTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (t *memoryTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

func (t *memoryTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range txn.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return 0, platform.ErrConflict
		}
	}
	version := t.rows[resource.RevisionKey].Version + 1
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	for _, put := range txn.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: version}
	}
	return version, nil
}

func (t *memoryTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// noObjects is an object store that is down.
type noObjects struct{}

func (noObjects) PutObject(context.Context, string, []byte) error { return platform.ErrUnavailable }

func (noObjects) GetObject(context.Context, string) ([]byte, error) {
	return nil, platform.ErrUnavailable
}

func (noObjects) ListObjects(context.Context, string) ([]string, error) {
	return nil, platform.ErrUnavailable
}

// fakeHost is a Backend whose state the test sets.
type fakeHost struct {
	mu       sync.Mutex
	snapshot *resource.Snapshot
	hosts    []admin.HostStatus
}

func (h *fakeHost) adopt(snapshot *resource.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshot = snapshot
}

func (h *fakeHost) setHosts(hosts ...admin.HostStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = hosts
}

func (h *fakeHost) Snapshot() *resource.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

func (h *fakeHost) Hosts() []admin.HostStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

func (h *fakeHost) Pools() []admin.PoolStatus { return nil }

func (h *fakeHost) Quarantine() []admin.QuarantineStatus { return nil }

func (h *fakeHost) Explain(_ context.Context, id ident.Request) []admin.Record {
	if id != "known" {
		return nil
	}
	return []admin.Record{{Host: "h1", Event: "arrived"}}
}

// serve starts a server and returns its base URL; it ends with the spec.
func serve(server *admin.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	DeferCleanup(func(ctx context.Context) {
		Expect(server.Shutdown(ctx)).To(Succeed())
		Eventually(done).Should(Receive(Succeed()))
	})
	return "http://" + listener.Addr().String()
}

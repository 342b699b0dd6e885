package follow

import (
	"slices"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// keptLists is the number of earlier lists of endpoints that differences are made from. A host
	// queries more often than a reader reads the endpoints, so it lacks few changes.
	keptLists = 6
	// maxConfigurationBytes bounds a decompressed configuration.
	maxConfigurationBytes = 16 << 20
	// compressionWindow bounds the memory of compression, which small hosts do too.
	compressionWindow = 256 << 10
)

// list is a list of endpoints with its hash.
type list struct {
	sum       uint64
	endpoints []platform.Endpoint
}

// setEndpoints replaces the endpoints and keeps the earlier list. The caller holds mu.
func (s *state) setEndpoints(endpoints []platform.Endpoint, sum uint64) {
	if s.endpoints != nil {
		s.earlier = append(s.earlier, list{s.sum, s.endpoints})
		s.earlier = s.earlier[max(0, len(s.earlier)-keptLists):]
	}
	s.endpoints, s.sum = endpoints, sum
}

// shorten reduces an answer to what the asker lacks, if the asker says that it takes that: the
// endpoints to the difference from the asker's, and the configuration to its compressed form. The
// caller holds f.state.mu.
func (f *Follower) shorten(q *peerpb.StoreAsk, m *peerpb.StoreTell) {
	if !q.GetDelta() {
		return
	}
	if len(m.GetConfiguration()) > 0 {
		m.ConfigurationZstd, m.Configuration = f.compressed.of(m.GetVersion(), m.GetConfiguration()), nil
	}
	if !m.GetHasList() {
		return
	}
	i := slices.IndexFunc(f.state.earlier, func(l list) bool { return l.sum == q.GetEndpoints() })
	if i < 0 {
		return
	}
	base := f.state.earlier[i]
	before := make(map[ident.Endpoint]platform.Endpoint, len(base.endpoints))
	for _, e := range base.endpoints {
		before[e.Name] = relevant(e)
	}
	unchanged := map[string]bool{}
	for _, e := range f.state.endpoints {
		if known, ok := before[e.Name]; ok && known == relevant(e) {
			unchanged[string(e.Name)] = true
		}
		delete(before, e.Name)
	}
	m.Base = base.sum
	m.List = slices.DeleteFunc(m.List, func(e *peerpb.StoreEndpoint) bool { return unchanged[e.GetName()] })
	for name := range before {
		m.Removed = append(m.Removed, string(name))
	}
}

// relevant returns an endpoint without what its hash leaves out.
func relevant(e platform.Endpoint) platform.Endpoint {
	e.Heartbeat, e.WarmUp = 0, 0
	return e
}

// endpointsOf returns the endpoints that an answer lists or changes. It returns false if the answer
// changes other endpoints than this host's. If the result is not the list that the sender has, the
// next query is for the whole list.
func (f *Follower) endpointsOf(m *peerpb.StoreTell) ([]platform.Endpoint, bool) {
	told := decodeEndpoints(m.GetList())
	if m.GetBase() == 0 {
		return told, true
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if m.GetBase() != f.state.sum {
		return nil, false
	}
	replaced := map[ident.Endpoint]bool{}
	for _, e := range told {
		replaced[e.Name] = true
	}
	for _, name := range m.GetRemoved() {
		replaced[ident.Endpoint(name)] = true
	}
	for _, e := range f.state.endpoints {
		if !replaced[e.Name] {
			told = append(told, e)
		}
	}
	slices.SortFunc(told, func(a, b platform.Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
	if hashEndpoints(told) != m.GetEndpoints() {
		f.state.wantsAll = true
		return nil, false
	}
	return told, true
}

// decompress restores the configuration of an answer.
func decompress(m *peerpb.StoreTell) error {
	if len(m.GetConfigurationZstd()) == 0 {
		return nil
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxConfigurationBytes))
	if err != nil {
		return errors.Wrap(err, "configuration: decompress")
	}
	defer d.Close()
	m.Configuration, err = d.DecodeAll(m.GetConfigurationZstd(), nil)
	return errors.Wrap(err, "configuration: decompress")
}

// compressed holds the compressed form of the latest configuration that was asked for.
type compressed struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// of returns the compressed form of a version of the configuration.
func (c *compressed) of(version uint64, raw []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != version || c.bytes == nil {
		// The options are valid, so there is no error.
		e, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(compressionWindow))
		c.version, c.bytes = version, e.EncodeAll(raw, nil)
		_ = e.Close()
	}
	return c.bytes
}

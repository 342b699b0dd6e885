package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// idSource generates request IDs from the host, its incarnation and a counter, so that an ID
// is unique and names the host that accepted the request.
type idSource struct {
	prefix string
	count  *atomic.Uint64
}

// idBase is the base in which the numbers of an ID are written.
const idBase = 36

// newIDSource returns the ID source of one process.
func newIDSource(host ident.Host, incarnation uint64) idSource {
	return idSource{
		prefix: string(host) + "." + strconv.FormatUint(incarnation, idBase) + ".",
		count:  &atomic.Uint64{},
	}
}

// next returns a new ID.
func (s idSource) next() ident.Request {
	return ident.Request(s.prefix + strconv.FormatUint(s.count.Add(1), idBase))
}

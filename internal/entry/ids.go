package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// idSource makes request ids: host, incarnation and a count, so that an id is
// never used twice and tells where its request was accepted.
type idSource struct {
	prefix string
	count  *atomic.Uint64
}

// idBase is the base of the numbers in an id.
const idBase = 36

// newIDSource returns the source of one process.
func newIDSource(host ident.Host, incarnation uint64) idSource {
	return idSource{
		prefix: string(host) + "." + strconv.FormatUint(incarnation, idBase) + ".",
		count:  &atomic.Uint64{},
	}
}

// next returns a new id.
func (s idSource) next() ident.Request {
	return ident.Request(s.prefix + strconv.FormatUint(s.count.Add(1), idBase))
}

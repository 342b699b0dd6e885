// Package fingerprint names requests by what their sendings have in common.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Of returns a hash over a body and what the request is known by beside it. It is the same
// in every process, and not made against forgery.
func Of(body []byte, names ...string) uint64 {
	d := xxhash.New()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

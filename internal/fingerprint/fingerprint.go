// Package fingerprint identifies repeated sends of the same request.
package fingerprint

import "github.com/cespare/xxhash/v2"

// OfPart returns a hash of a prompt part's ID and of the target that serves it. Like Of, it is the
// same in every process and does not resist deliberate collisions.
func OfPart(target, id string) uint64 {
	return Of(nil, "part", target, id)
}

// Of returns a hash of a request's body and of the names that identify it besides the body. The
// hash is the same in every process. It does not resist deliberate collisions.
func Of(body []byte, names ...string) uint64 {
	return OfChunks([][]byte{body}, names...)
}

// OfChunks is Of for a body in parts.
func OfChunks(body [][]byte, names ...string) uint64 {
	d := xxhash.New()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	for _, chunk := range body {
		_, _ = d.Write(chunk)
	}
	return d.Sum64()
}

// Package rendezvous assigns keys to hosts by rendezvous hashing (highest random
// weight). All hosts with the same view of the host set agree, and a host that
// joins or leaves moves only the keys that it gains or loses.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// candidate is a host with its weight for a key.
type candidate struct {
	host   ident.Host
	weight uint64
}

// compare orders candidates by descending weight, then by name.
func compare(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.host, b.host)
}

// Pick returns the n hosts with the highest weights for the key, highest
// first, or all hosts if there are fewer. The order of hosts doesn't matter, but
// they must be distinct.
func Pick(key string, hosts []ident.Host, n int) []ident.Host {
	if n <= 0 {
		return nil
	}
	best := make([]candidate, 0, min(n, len(hosts))+1)
	keySum := xxhash.Sum64String(key)
	for _, host := range hosts {
		c := candidate{host: host, weight: weight(keySum, host)}
		at, _ := slices.BinarySearchFunc(best, c, compare)
		if at == n {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(n, len(best))]
	}
	picked := make([]ident.Host, len(best))
	for i, c := range best {
		picked[i] = c.host
	}
	return picked
}

// First returns the host with the highest weight for the key, or "" if there are
// no hosts.
func First(key string, hosts []ident.Host) ident.Host {
	var best candidate
	keySum := xxhash.Sum64String(key)
	for _, host := range hosts {
		c := candidate{host: host, weight: weight(keySum, host)}
		if best.host == "" || compare(c, best) < 0 {
			best = c
		}
	}
	return best.host
}

// weight mixes the hashes of a key and a host with the finalizer of SplitMix64.
// Without it, the weights of two keys would differ by the same bits for every
// host.
func weight(keySum uint64, host ident.Host) uint64 {
	x := keySum ^ xxhash.Sum64String(string(host))
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

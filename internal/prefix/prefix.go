// Package prefix splits prompts into blocks and identifies every prefix by a
// chained hash, so that placement and the engines' cache events refer to the same
// blocks.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated length of a token in bytes.
	BytesPerToken = 4
	// BlockTokens is the length of a cache block in tokens.
	BlockTokens = 64

	blockBytes = BlockTokens * BytesPerToken
)

// Tokens returns the estimated number of tokens in n bytes of text, rounded up.
func Tokens(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// TokensOf returns the length in tokens of block i of a prompt with the given
// block lengths. A block without a given length has BlockTokens.
func TokensOf(lengths []int, i int) int {
	if i < len(lengths) {
		return lengths[i]
	}
	return BlockTokens
}

// Sum returns the total length in tokens of the first n blocks of a prompt with
// the given block lengths.
func Sum(lengths []int, n int) int {
	if len(lengths) == 0 {
		return n * BlockTokens
	}
	sum := 0
	for i := range n {
		sum += TokensOf(lengths, i)
	}
	return sum
}

// Hashes returns one chained hash per complete block of the prompt. Two prompts
// have the same first k blocks if and only if their first k hashes are equal,
// hash collisions aside.
func Hashes(prompt []byte) []uint64 {
	n := len(prompt) / blockBytes
	out := make([]uint64, 0, n)
	var chain [8]byte
	for i := range n {
		d := xxhash.New()
		_, _ = d.Write(chain[:])
		_, _ = d.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		h := d.Sum64()
		out = append(out, h)
		binary.BigEndian.PutUint64(chain[:], h)
	}
	return out
}

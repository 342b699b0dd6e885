package prefix

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestHashesSharePrefix checks that prompts share hashes exactly as far as
// they share whole blocks.
func TestHashesSharePrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shared := rapid.IntRange(0, 5).Draw(rt, "shared")
		head := bytes.Repeat([]byte("s"), shared*blockBytes)
		a := Hashes(append(bytes.Clone(head), bytes.Repeat([]byte("a"), blockBytes)...))
		b := Hashes(append(bytes.Clone(head), bytes.Repeat([]byte("b"), blockBytes)...))
		for i := range a {
			if (a[i] == b[i]) != (i < shared) {
				rt.Fatalf("block %d: equal=%v, want %v", i, a[i] == b[i], i < shared)
			}
		}
	})
}

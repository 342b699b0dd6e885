package engine

// KV identifies the cached blocks that PathKV exports and imports by their
// chained hashes, starting at the first block of a prompt. The path of an export
// has the hash of the last block, in decimal.
type KV struct {
	Hashes []uint64 `json:"hashes"`
}

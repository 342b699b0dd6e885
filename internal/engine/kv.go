package engine

// KV names the cached blocks that PathKV exports and imports: the chained
// hashes from the first block of a prompt on. An export is asked for by the
// hash of the last block, in decimal.
type KV struct {
	Hashes []uint64 `json:"hashes"`
}

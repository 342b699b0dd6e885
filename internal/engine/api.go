// Package engine defines the HTTP interface of endpoints: the paths, headers and
// bodies shared by the entry package, the order system and the stand-in engines.
package engine

// Paths of a model engine.
const (
	// PathChat runs a chat completion. The scheduler always requests a stream.
	PathChat = "/v1/chat/completions"
	// PathResume resumes the stream of a request's answer: GET
	// /v1/requests/{request}/stream?from=N returns the chunks from sequence
	// number N on, waits for those still to come, and ends like the original
	// stream. 404 means that the engine has not seen the request since it
	// started.
	PathResume = "/v1/requests/"
	// SuffixStream is the last part of a resume path.
	SuffixStream = "/stream"
	// PathLoad returns a Load, which lags behind the actual load.
	PathLoad = "/v1/load"
	// PathCacheEvents returns CacheEvents: GET ?after=SEQ is a long poll for the
	// events after SEQ. It waits for a limited time if there are none, and then
	// returns an empty list.
	PathCacheEvents = "/v1/cache/events"
	// PathOrders accepts an Order by POST.
	PathOrders = "/v1/orders"
	// PathState returns a State.
	PathState = "/v1/state"
	// PathKV exports (GET /v1/kv/{hash}) and imports (POST) cached blocks.
	PathKV = "/v1/kv/"
)

// Headers exchanged with endpoints.
const (
	// HeaderRequest carries the request id; the engine repeats it in every chunk.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt identifies the grant under which the request was sent.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderBoot carries the endpoint's incarnation in every response.
	HeaderBoot = "X-Engine-Boot"
)

// DoneMarker is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"

// Chunk is the data of one server-sent event of a stream.
type Chunk struct {
	// ID is the request id. A chunk with another id belongs to another answer.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Seq is the chunk's sequence number within the answer, starting at 0.
	Seq int `json:"seq"`
	// Usage is set in the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is one alternative of a chunk. Only index 0 is used.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text added by a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage is the token usage of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's report of its own load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is the age of the report in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Boot is the engine's incarnation. Sequence numbers restart with it.
	Boot string `json:"boot"`
}

// CacheEvent is one change of the prefix cache. A gap in the sequence numbers
// means that events were lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order requests a change of what an engine has loaded or of its role.
type Order struct {
	// ID identifies the order. An engine that gets a known id again returns the
	// result of the first time.
	ID string `json:"id"`
	// Fence is the fencing token of the sender's lease.
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Value  string `json:"value"`
}

// State is what an engine has loaded and the role it plays.
type State struct {
	Boot     string   `json:"boot"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// Fence is the highest fencing token seen; 0 if the engine ignores them.
	Fence uint64 `json:"fence"`
	// LastOrder is the id of the last order that took effect.
	LastOrder string `json:"last_order"`
}

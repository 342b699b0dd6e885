// Package engine holds the HTTP interface of endpoints: the paths, headers and
// bodies that the entry side, the order system and the stand-ins share.
package engine

// Paths of a model engine.
const (
	// PathChat runs a chat completion. The entry side always asks for a stream.
	PathChat = "/v1/chat/completions"
	// PathResume streams a request's answer again: GET
	// /v1/requests/{request}/stream?from=N sends the chunks from sequence N on,
	// waits for those to come, and ends as the first stream does. 404: the
	// engine has not seen the request since it started.
	PathResume = "/v1/requests/"
	// SuffixStream ends the path of a resume.
	SuffixStream = "/stream"
	// PathLoad returns Load; it lags.
	PathLoad = "/v1/load"
	// PathCacheEvents returns CacheEvents: GET ?after=SEQ waits for up to
	// CacheEventsWait and answers what there is.
	PathCacheEvents = "/v1/cache/events"
	// PathOrders takes an Order by POST.
	PathOrders = "/v1/orders"
	// PathState returns State.
	PathState = "/v1/state"
	// PathKV exports (GET /v1/kv/{hash}) and imports (POST) cached blocks.
	PathKV = "/v1/kv/"
)

// Headers between the entry side and endpoints.
const (
	// HeaderRequest names the request; the engine repeats it in every chunk.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt names the grant under which the request was sent.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderBoot tells the endpoint's incarnation in each answer.
	HeaderBoot = "X-Engine-Boot"
)

// DoneMarker is the data of the event that ends a whole stream.
const DoneMarker = "[DONE]"

// Chunk is the data of one server-sent event of a stream.
type Chunk struct {
	// ID is the request's id; a chunk with another id is not this answer's.
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Seq numbers the chunks of an answer from 0.
	Seq int `json:"seq"`
	// Usage stands in the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is one alternative of a chunk; only index 0 is used.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Load is an engine's report of its own load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is how old the report is.
	AgeMillis int64 `json:"age_ms"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Boot is the engine's incarnation; sequence numbers restart with it.
	Boot string `json:"boot"`
}

// CacheEvent is one change of the prefix cache. Sequence numbers that are
// missing were lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Order asks an engine to change what it has loaded or does.
type Order struct {
	// ID identifies the order; an engine repeats the result of a known id.
	ID string `json:"id"`
	// Fence is the fencing number of the sender's lease.
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Value  string `json:"value"`
}

// State is what an engine has loaded and does.
type State struct {
	Boot     string   `json:"boot"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// Fence is the highest fencing number seen; 0 where they are ignored.
	Fence uint64 `json:"fence"`
	// LastOrder is the id of the last order that took effect.
	LastOrder string `json:"last_order"`
}

package engine

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

// run is one request as the engine knows it. Its fields are guarded by the
// server's mutex.
type run struct {
	id          string
	job         uint64
	model       string
	created     time.Time
	fingerprint uint64
	promptSize  int
	length      int
	cached      int
	// produced is the number of tokens that came.
	produced int
	canceled bool
	// crash says that the request kills the engine.
	crash bool
	// changed is closed, and replaced, when produced or canceled changes.
	changed chan struct{}
}

// view is what a stream may send now.
type view struct {
	produced int
	ended    bool
	canceled bool
	changed  <-chan struct{}
}

// view returns the state of the run.
func (r *run) view() view {
	return view{
		produced: r.produced,
		ended:    r.canceled || r.produced == r.length,
		canceled: r.canceled,
		changed:  r.changed,
	}
}

// signal wakes the streams that wait for the run.
func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// usage counts the tokens of the whole answer.
func (r *run) usage() engine.Usage {
	return engine.Usage{
		PromptTokens:     r.promptSize,
		CompletionTokens: r.length,
		TotalTokens:      r.promptSize + r.length,
		CachedTokens:     r.cached,
	}
}

// chunk returns the chunk with a sequence number.
func (r *run) chunk(seq int) engine.Chunk {
	choice := engine.Choice{Delta: engine.Delta{Content: Word(r.fingerprint, seq)}}
	if seq == 0 {
		choice.Delta.Role = "assistant"
	}
	chunk := engine.Chunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Created: r.created.Unix(),
		Model:   r.model,
		Seq:     seq,
	}
	if seq == r.length-1 {
		reason, usage := "stop", r.usage()
		choice.FinishReason = &reason
		chunk.Usage = &usage
	}
	chunk.Choices = []engine.Choice{choice}
	return chunk
}

package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

const (
	// minOutputTokens and outputTokensSpread bound the length of an answer that
	// the caller leaves open.
	minOutputTokens    = 16
	outputTokensSpread = 112
	// wordSyllables is the number of syllables of one word of an answer.
	wordSyllables = 3
)

// syllables are what the words of answers are made of.
var syllables = [16]string{
	"ba", "de", "fi", "go", "hu", "ja", "ke", "li",
	"mo", "nu", "pa", "re", "si", "to", "vu", "za",
}

// ChatRequest is the part of a chat completion's body that the engine reads.
type ChatRequest struct {
	Model    string           `json:"model"`
	Messages []engine.Message `json:"messages"`
	Stream   bool             `json:"stream"`
	// MaxTokens bounds the answer; 0: no bound.
	MaxTokens int `json:"max_tokens"`
	// OutputTokens is the wanted length of the answer before MaxTokens; 0: the
	// length follows from the prompt.
	OutputTokens int `json:"x_output_tokens"`
}

// Prompt returns the text that prefix hashes and token counts are taken from.
func (r *ChatRequest) Prompt() []byte {
	return engine.Prompt(r.Messages)
}

// Length returns the number of tokens of the answer; at least 1.
func (r *ChatRequest) Length(prompt []byte) int {
	length := r.OutputTokens
	if length <= 0 {
		length = minOutputTokens + int(Fingerprint(prompt)%outputTokensSpread)
	}
	if r.MaxTokens > 0 {
		length = min(length, r.MaxTokens)
	}
	return length
}

// Fingerprint names a prompt.
func Fingerprint(prompt []byte) uint64 {
	return xxhash.Sum64(prompt)
}

// Word returns the token at an index of the answer to a prompt. It depends on
// nothing but the prompt's fingerprint and the index, so that an answer can be
// checked to be the one to its own prompt.
func Word(fingerprint uint64, index int) string {
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:8], fingerprint)
	binary.BigEndian.PutUint64(seed[8:], uint64(index))
	sum := xxhash.Sum64(seed[:])
	var word strings.Builder
	if index > 0 {
		word.WriteByte(' ')
	}
	for range wordSyllables {
		word.WriteString(syllables[sum%uint64(len(syllables))])
		sum /= uint64(len(syllables))
	}
	return word.String()
}

// Answer returns the whole text of the answer to a request.
func Answer(request *ChatRequest) string {
	prompt := request.Prompt()
	fingerprint := Fingerprint(prompt)
	var text strings.Builder
	for i := range request.Length(prompt) {
		text.WriteString(Word(fingerprint, i))
	}
	return text.String()
}

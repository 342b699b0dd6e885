package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

// JSON members of a chat completion request that this package reads or writes.
const (
	memberModel               = "model"
	memberMessages            = "messages"
	memberStream              = "stream"
	memberMaxTokens           = "max_tokens"
	memberMaxCompletionTokens = "max_completion_tokens"
)

// chatRequest is the body of a chat completion request. Member names are matched exactly and
// the last of duplicate members wins, so that the endpoint reads the same values that were
// checked here.
type chatRequest struct {
	// members holds all members of the caller's body, known or not.
	members             map[string]json.RawMessage
	model               string
	messages            []engine.Message
	stream              bool
	maxTokens           int
	maxCompletionTokens int
}

// parseChatRequest parses and validates the body of a chat completion request.
func parseChatRequest(body []byte) (*chatRequest, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("not UTF-8")
	}
	m := &chatRequest{}
	if err := json.Unmarshal(body, &m.members); err != nil {
		return nil, errors.Wrap(err, "JSON object")
	}
	fields := []struct {
		name string
		to   any
	}{
		{memberModel, &m.model},
		{memberMessages, &m.messages},
		{memberStream, &m.stream},
		{memberMaxTokens, &m.maxTokens},
		{memberMaxCompletionTokens, &m.maxCompletionTokens},
	}
	for _, member := range fields {
		raw, ok := m.members[member.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, member.to); err != nil {
			return nil, errors.Wrap(err, member.name)
		}
	}
	return m, m.validate()
}

// validate returns an error for a request that no endpoint can serve.
func (m *chatRequest) validate() error {
	if len(m.messages) == 0 {
		return errors.New("no message")
	}
	for _, n := range []int{m.maxTokens, m.maxCompletionTokens} {
		if n < 0 || n > maxRequestedTokens {
			return errors.Errorf("a limit of tokens is not within 0 to %d", maxRequestedTokens)
		}
	}
	return nil
}

// endpointBody returns the body to send to the endpoint, with the given limit of tokens. It
// always requests a stream.
func (m *chatRequest) endpointBody(maxTokens int) ([]byte, error) {
	m.members[memberStream] = json.RawMessage("true")
	m.members[memberMaxTokens] = json.RawMessage(strconv.Itoa(maxTokens))
	delete(m.members, memberMaxCompletionTokens)
	out, err := json.Marshal(m.members)
	return out, errors.Wrap(err, "entry: rewrite")
}

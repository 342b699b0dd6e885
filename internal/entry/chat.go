package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/engine"
)

// Members of a chat completion that the entry side reads or writes.
const (
	memberModel               = "model"
	memberMessages            = "messages"
	memberStream              = "stream"
	memberMaxTokens           = "max_tokens"
	memberMaxCompletionTokens = "max_completion_tokens"
)

// chat is a chat completion. Its members are found by their exact names, and of
// members with one name the last counts, so that the endpoint reads what was
// checked here.
type chat struct {
	// members holds everything that the caller sent.
	members             map[string]json.RawMessage
	model               string
	messages            []engine.Message
	stream              bool
	maxTokens           int
	maxCompletionTokens int
}

// readChatBody parses and checks the body of a chat completion.
func readChatBody(body []byte) (*chat, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("not UTF-8")
	}
	m := &chat{}
	if err := json.Unmarshal(body, &m.members); err != nil {
		return nil, errors.Wrap(err, "JSON object")
	}
	into := []struct {
		name string
		to   any
	}{
		{memberModel, &m.model},
		{memberMessages, &m.messages},
		{memberStream, &m.stream},
		{memberMaxTokens, &m.maxTokens},
		{memberMaxCompletionTokens, &m.maxCompletionTokens},
	}
	for _, member := range into {
		raw, ok := m.members[member.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, member.to); err != nil {
			return nil, errors.Wrap(err, member.name)
		}
	}
	return m, m.check()
}

// check refuses what no endpoint could serve.
func (m *chat) check() error {
	if len(m.messages) == 0 {
		return errors.New("no message")
	}
	for _, n := range []int{m.maxTokens, m.maxCompletionTokens} {
		if n < 0 || n > maxMaxTokens {
			return errors.Errorf("a limit of tokens is not within 0 to %d", maxMaxTokens)
		}
	}
	return nil
}

// askForStream returns the body for the endpoint. The endpoint is always asked
// for a stream.
func (m *chat) askForStream(maxTokens int) ([]byte, error) {
	m.members[memberStream] = json.RawMessage("true")
	m.members[memberMaxTokens] = json.RawMessage(strconv.Itoa(maxTokens))
	delete(m.members, memberMaxCompletionTokens)
	out, err := json.Marshal(m.members)
	return out, errors.Wrap(err, "entry: rewrite")
}

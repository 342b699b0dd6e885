package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of parts,
// of which only the text is used.
type Content string

// UnmarshalJSON decodes both forms.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "message content")
	}
	for _, part := range parts {
		*c += Content(part.Text)
	}
	return nil
}

// Prompt returns the concatenated text of all messages, without a separator.
// Prefix hashes and token counts are computed from it.
func Prompt(messages []Message) []byte {
	var prompt []byte
	for _, m := range messages {
		prompt = append(prompt, m.Content...)
	}
	return prompt
}

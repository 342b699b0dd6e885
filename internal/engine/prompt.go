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

// Content is the text of a message. In JSON it is a string, or a list of parts
// of which those with a text count.
type Content string

// UnmarshalJSON reads both forms.
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

// Prompt returns the text of all messages, one after the other without a
// separator. Prefix hashes and token counts are taken from it.
func Prompt(messages []Message) []byte {
	var prompt []byte
	for _, m := range messages {
		prompt = append(prompt, m.Content...)
	}
	return prompt
}

package entry

import (
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// completion is the answer to a chat completion that isn't streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage"`
}

// completionChoice is the one alternative of a completion.
type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// message is the generated message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plain writes the answer when it is whole.
func (e *exchange) plain(c *fiber.Ctx) error {
	parts, final := e.collect()
	defer e.close(final)
	if final.Code != result.OK {
		return answerError(c, finalError(final))
	}
	body, err := e.assemble(parts)
	if err != nil {
		return answerError(c, result.New(result.Internal, err.Error()))
	}
	setCode(c, result.OK)
	return c.JSON(body)
}

// collect waits for all parts and the end.
func (e *exchange) collect() ([][]byte, *answer.Final) {
	var parts [][]byte
	for {
		v := e.next(len(parts))
		if !v.HasPart {
			return parts, v.Final
		}
		parts = append(parts, v.Part)
	}
}

// assemble joins the chunks of a stream into one completion.
func (e *exchange) assemble(parts [][]byte) (*completion, error) {
	out := &completion{
		ID: string(e.parsed.job.ID), Object: "chat.completion", Model: e.parsed.model,
	}
	choice := completionChoice{Message: message{Role: "assistant"}}
	var text strings.Builder
	for _, part := range parts {
		var chunk engine.Chunk
		if err := json.Unmarshal(part, &chunk); err != nil {
			return nil, errors.Wrap(err, "entry: chunk")
		}
		out.Created = chunk.Created
		if chunk.Usage != nil {
			out.Usage = chunk.Usage
		}
		for _, alternative := range chunk.Choices {
			text.WriteString(alternative.Delta.Content)
			if alternative.FinishReason != nil {
				choice.FinishReason = *alternative.FinishReason
			}
		}
	}
	choice.Message.Content = text.String()
	out.Choices = []completionChoice{choice}
	return out, nil
}

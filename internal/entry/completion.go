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

// completion is the response to a chat completion request without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage"`
}

// completionChoice is the only choice of a completion.
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

// writeCompletion waits for the complete answer and writes it as one response.
func (e *exchange) writeCompletion(c *fiber.Ctx) error {
	parts, final := e.collectParts()
	defer e.close(final)
	if final.Code != result.OK {
		return writeError(c, finalError(final))
	}
	body, err := e.assembleCompletion(parts)
	if err != nil {
		return writeError(c, result.New(result.Internal, err.Error()))
	}
	setCode(c, result.OK)
	return c.JSON(body)
}

// collectParts waits for the end of the answer and returns its parts.
func (e *exchange) collectParts() ([][]byte, *answer.Final) {
	var parts [][]byte
	for {
		v := e.nextPart(len(parts))
		if !v.HasPart {
			return parts, v.Final
		}
		parts = append(parts, v.Part)
	}
}

// assembleCompletion joins the chunks of a stream into one completion.
func (e *exchange) assembleCompletion(parts [][]byte) (*completion, error) {
	out := &completion{
		ID: string(e.request.job.ID), Object: "chat.completion", Model: e.request.model,
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

package agent

import (
	"io"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"

	"sumachead"
	"sumachead/internal/strictjson"
)

// assembler is the sink that assembles a streamed text response for a caller that
// did not ask for a stream. The backend server is asked to stream so that a
// stuck response is detected by missing tokens.
type assembler struct {
	id      string
	created int64
	model   string
	role    string
	text    strings.Builder
	finish  *string
}

// deltaChoice is the part of a streamed choice that can be assembled. Any other
// member is an error, because it would be lost.
type deltaChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
	Logprobs     any     `json:"logprobs,omitzero"`
}

type delta struct {
	Role    string  `json:"role,omitzero"`
	Content *string `json:"content,omitzero"`
	Refusal any     `json:"refusal,omitzero"`
}

// chatCompletion is a chat completion that is not streamed.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created,omitzero"`
	Model   string             `json:"model,omitzero"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

func (a *assembler) chunk(m *modelResponse) error {
	a.id = m.ID
	a.created = max(a.created, m.Created)
	if m.Model != "" {
		a.model = m.Model
	}
	for _, raw := range m.Choices {
		var c deltaChoice
		if err := json.Unmarshal(raw, &c, json.RejectUnknownMembers(true)); err != nil || c.Index != 0 {
			return badResponse("the answer has parts that can't be put together")
		}
		if c.Delta.Role != "" {
			a.role = c.Delta.Role
		}
		if c.Delta.Content != nil {
			a.text.WriteString(*c.Delta.Content)
		}
		if c.FinishReason != nil {
			a.finish = c.FinishReason
		}
	}
	return nil
}

func (a *assembler) event(*http.Response, []byte) {}

// encode returns the assembled response as JSON.
func (a *assembler) encode(u *usage) ([]byte, error) {
	if a.role == "" {
		a.role = "assistant"
	}
	return strictjson.Encode(chatCompletion{
		ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model,
		Choices: []completionChoice{{Message: completionMessage{a.role, a.text.String()}, FinishReason: a.finish}},
		Usage:   completionUsage{u.Prompt, u.Completion, u.Prompt + u.Completion},
	})
}

// assemble reads a stream and relays it to the caller in one piece.
func (m *modelRelay) assemble(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	tokens, err := m.stream.relay(resp, body)
	if err != nil {
		return tokens, err
	}
	data, err := m.assembler.encode(m.stream.usage)
	if err != nil {
		return tokens, badResponse(err.Error())
	}
	m.run.setHead(http.StatusOK, "application/json")
	m.run.write(data)
	return tokens, nil
}

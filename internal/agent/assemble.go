package agent

import (
	"io"
	"net/http"
	"strings"

	"github.com/go-json-experiment/json"

	"sumachead"
	"sumachead/internal/strictjson"
)

// assembly is the sink that puts a streamed answer of text together, for a
// caller who asked for one whole. The backend server is asked to stream so that
// a stuck answer is found by missing tokens.
type assembly struct {
	id      string
	created int64
	model   string
	role    string
	text    strings.Builder
	finish  *string
}

// deltaChoice is the part of a streamed choice that makes up the whole. Any
// other member is an error: it would be lost.
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

// wholeAnswer is a chat completion in one piece.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created,omitzero"`
	Model   string        `json:"model,omitzero"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

type wholeChoice struct {
	Index        int          `json:"index"`
	Message      wholeMessage `json:"message"`
	FinishReason *string      `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

func (a *assembly) chunk(m *modelAnswer) error {
	a.id = m.ID
	a.created = max(a.created, m.Created)
	if m.Model != "" {
		a.model = m.Model
	}
	for _, raw := range m.Choices {
		var c deltaChoice
		if err := json.Unmarshal(raw, &c, json.RejectUnknownMembers(true)); err != nil || c.Index != 0 {
			return badAnswer("the answer has parts that can't be put together")
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

func (a *assembly) event(*http.Response, []byte) {}

// encode returns the answer in one piece.
func (a *assembly) encode(u *usage) ([]byte, error) {
	if a.role == "" {
		a.role = "assistant"
	}
	return strictjson.Encode(wholeAnswer{
		ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model,
		Choices: []wholeChoice{{Message: wholeMessage{a.role, a.text.String()}, FinishReason: a.finish}},
		Usage:   wholeUsage{u.Prompt, u.Completion, u.Prompt + u.Completion},
	})
}

// assemble takes a stream in and passes it on as one whole.
func (m *modelRelay) assemble(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	tokens, err := m.stream.relay(resp, body)
	if err != nil {
		return tokens, err
	}
	data, err := m.whole.encode(m.stream.usage)
	if err != nil {
		return tokens, badAnswer(err.Error())
	}
	m.run.begin(http.StatusOK, "application/json")
	m.run.write(data)
	return tokens, nil
}

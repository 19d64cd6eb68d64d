package agent

import (
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// usage is the token usage that a model response reports.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// modelResponse holds the members of a response, or of a chunk of one, that the
// agent reads.
type modelResponse struct {
	ID      string           `json:"id"`
	Created int64            `json:"created,omitzero"`
	Model   string           `json:"model,omitzero"`
	Usage   *usage           `json:"usage"`
	Choices []jsontext.Value `json:"choices"`
}

func (u *usage) tokens() sumachead.Tokens {
	if u == nil {
		return 0
	}
	return sumachead.Tokens(u.Prompt + u.Completion)
}

// respondsInOnePiece reports whether the response arrives in one piece. Such a
// request can't be detected as stuck and may take as long as its deadline allows.
func respondsInOnePiece(r *wire.RunRequest, pool *settings.ResolvedPool) bool {
	return pool.Kind == settings.ModelPool && !r.GetStream() && !r.GetAssemble()
}

// modelRelay relays one model response, over one exchange or, if a stream was
// interrupted and resumed, over two.
type modelRelay struct {
	run       *run
	request   *wire.RunRequest
	stream    *streamParser
	assembler *assembler
}

func newModelRelay(x *run, r *wire.RunRequest) *modelRelay {
	m := &modelRelay{run: x, request: r, assembler: &assembler{}}
	m.stream = &streamParser{sink: &forwarder{run: x}}
	if r.GetAssemble() {
		m.stream.sink = m.assembler
	}
	return m
}

// handleResponse handles the response of one exchange.
func (m *modelRelay) handleResponse(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	x, r := m.run, m.request
	if err := checkEcho(resp, r); err != nil {
		return 0, err
	}
	if err := serverRefusal(resp); err != nil {
		return 0, err
	}
	if resp.StatusCode/100 == 4 {
		return relayRejected(x, resp, body)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerFailed, "the backend server answered "+resp.Status, time.Now().Add(shortRetryDelay))
	}
	switch {
	case r.GetAssemble():
		return m.assemble(resp, body)
	case r.GetStream():
		return m.stream.relay(resp, body)
	}
	return relayUnstreamed(x, resp, body)
}

// relayRejected relays the response of an engine that rejects the request as
// invalid: a complete response that used no tokens.
func relayRejected(x *run, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	data, err := readBody(resp, body)
	if err != nil {
		return 0, err
	}
	x.setHead(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return 0, nil
}

func relayUnstreamed(x *run, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var m modelResponse
	if err := json.Unmarshal(data, &m); err != nil {
		return 0, badResponse("the answer is not whole JSON")
	}
	if m.Usage == nil {
		return 0, badResponse("the answer has no usage")
	}
	x.setHead(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return m.Usage.tokens(), nil
}

// tokens returns the number of tokens known to have been used.
func (s *streamParser) tokens() sumachead.Tokens {
	if s.usage != nil {
		return s.usage.tokens()
	}
	return sumachead.Tokens(s.chunks)
}

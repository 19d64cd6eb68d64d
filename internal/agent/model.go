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

// usage is the part of a model answer that counts.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

// modelAnswer is what the agent looks at in an answer or a chunk of one.
type modelAnswer struct {
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

// silentUntilDone reports whether an answer comes in one piece, so that nothing
// shows whether it is stuck: it may take as long as the deadline allows.
func silentUntilDone(r *wire.RunRequest, pool *settings.ResolvedPool) bool {
	return pool.Kind == settings.ModelPool && !r.GetStream() && !r.GetAssemble()
}

// modelRelay takes one model answer in, over one exchange or, when a stream
// broke off and is resumed, over two.
type modelRelay struct {
	run     *run
	request *wire.RunRequest
	stream  *streamCheck
	whole   *assembly
}

func newModelRelay(x *run, r *wire.RunRequest) *modelRelay {
	m := &modelRelay{run: x, request: r, whole: &assembly{}}
	m.stream = &streamCheck{sink: &passOn{run: x}}
	if r.GetAssemble() {
		m.stream.sink = m.whole
	}
	return m
}

// take takes in what one exchange brings.
func (m *modelRelay) take(resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	x, r := m.run, m.request
	if err := refusedByServer(resp); err != nil {
		return 0, err
	}
	if err := checkEcho(resp, r); err != nil {
		return 0, err
	}
	if resp.StatusCode/100 == 4 {
		return relayRejected(x, resp, body)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, sumachead.Refuse(sumachead.MayHaveRun, sumachead.ReasonServerFailed, "the backend server answered "+resp.Status, time.Now().Add(retrySoon))
	}
	switch {
	case r.GetAssemble():
		return m.assemble(resp, body)
	case r.GetStream():
		return m.stream.relay(resp, body)
	}
	return relayWhole(x, resp, body)
}

// relayRejected passes on that the engine finds fault with the request: a
// whole answer that used no tokens.
func relayRejected(x *run, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	x.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return 0, nil
}

func relayWhole(x *run, resp *http.Response, body io.Reader) (sumachead.Tokens, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var m modelAnswer
	if err := json.Unmarshal(data, &m); err != nil || len(data) > maxAnswerBytes {
		return 0, badAnswer("the answer is not whole JSON of a fair size")
	}
	if m.Usage == nil {
		return 0, badAnswer("the answer has no usage")
	}
	x.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	x.write(data)
	return m.Usage.tokens(), nil
}

// tokens returns what is known to have been used.
func (s *streamCheck) tokens() sumachead.Tokens {
	if s.usage != nil {
		return s.usage.tokens()
	}
	return sumachead.Tokens(s.chunks)
}

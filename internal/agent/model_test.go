package agent

import (
	"net/http"
	"strings"
	"testing"

	"sumachead"
	"sumachead/api/wire"
)

// Guards against a rejection of another request that is taken for the proof that this one did not run.
func TestRejectionOfAnotherRequestIsNoProof(t *testing.T) {
	r := &wire.RunRequest{Workspace: "w", Key: "k", Attempt: 1}
	m := &modelRelay{run: newRun(runKey{}, r), request: r}
	for _, tt := range []struct {
		echo string
		want sumachead.Verdict
	}{{requestID(r), sumachead.NotRun}, {"", sumachead.NotRun}, {"another", sumachead.MayHaveRun}} {
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}}
		if tt.echo != "" {
			resp.Header.Set(headerRequestID, tt.echo)
		}
		_, err := m.handleResponse(resp, strings.NewReader(""))
		if f := sumachead.AsRefusal(err); f.Verdict != tt.want {
			t.Errorf("echo %q: got %v, want %v", tt.echo, f, tt.want)
		}
	}
}

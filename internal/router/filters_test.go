package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"sumachead"
)

// Guards against a caller's key that no message to a keeper can carry.
func TestInvalidKeyIsRefused(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	r.Header.Set(HeaderKey, "\xff\xfe")
	x := &exchange{r: r, w: httptest.NewRecorder()}
	err := (&Router{}).requestIDFilter(func(*exchange) error { return nil })(x)
	if f := sumachead.AsRefusal(err); err == nil || f.Reason != sumachead.ReasonBadRequest {
		t.Errorf("got %v", err)
	}
}

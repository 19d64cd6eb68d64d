package quarantine

import (
	"net/http"
	"testing"

	"sumachead"
)

func TestFingerprint(t *testing.T) {
	key := NewKey()
	of := func(change func(*sumachead.CallerRequest)) sumachead.Fingerprint {
		r := &sumachead.CallerRequest{ID: "1", Method: http.MethodPost, Host: "h", Path: "/r/x", Query: "a=b", Body: []byte("body")}
		change(r)
		return Fingerprint(key, "clerks", r)
	}
	first := of(func(*sumachead.CallerRequest) {})
	tests := []struct {
		name   string
		change func(*sumachead.CallerRequest)
		same   bool
	}{
		{"a retry", func(r *sumachead.CallerRequest) { r.ID = "2" }, true},
		{"a resumed stream", func(r *sumachead.CallerRequest) { r.LastEvent = "7" }, true},
		{"another idempotency key", func(r *sumachead.CallerRequest) { r.Key = "other" }, true},
		{"another body", func(r *sumachead.CallerRequest) { r.Body = []byte("bodY") }, false},
		{"another path", func(r *sumachead.CallerRequest) { r.Path = "/r/y" }, false},
		{"another method", func(r *sumachead.CallerRequest) { r.Method = http.MethodPut }, false},
		{"bytes moved from one part to the next", func(r *sumachead.CallerRequest) { r.Path, r.Query = "/r/xa", "=b" }, false},
	}
	for _, tt := range tests {
		if got := of(tt.change) == first; got != tt.same {
			t.Errorf("%s: same fingerprint: %t, want %t", tt.name, got, tt.same)
		}
	}
	r := &sumachead.CallerRequest{}
	if Fingerprint(key, "clerks", r) == Fingerprint(key, "nurses", r) {
		t.Error("two workspaces have the same fingerprint")
	}
	if Fingerprint(key, "clerks", r) == Fingerprint(NewKey(), "clerks", r) {
		t.Error("two keys give the same fingerprint")
	}
}

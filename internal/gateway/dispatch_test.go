package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// Once another incarnation responds at a server's address, nothing more is sent to the server.
func TestReplacedServerGetsNoMoreRequests(t *testing.T) {
	replaced := &backend{id: "over"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"over": replaced.listen(t, respondWith(421, "", ""))})
	tests := []struct {
		name string
		want sumachead.Reason
	}{
		{"the first request", sumachead.ReasonFenced},
		{"the next request", sumachead.ReasonNoServer},
	}
	for _, tt := range tests {
		_, _, err := sendRequest(g, tt.name, nil)
		if diff := cmp.Diff(tt.want, refusalOf(t, err).Reason); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	if diff := cmp.Diff(int32(1), replaced.runs.Load()); diff != "" {
		t.Errorf("requests at the server (-want +got):\n%s", diff)
	}
}

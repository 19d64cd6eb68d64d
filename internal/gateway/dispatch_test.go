package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
)

// A server's life that another one answers for is over: nothing more goes there.
func TestLifeThatIsOverIsAskedOnce(t *testing.T) {
	over := &backend{id: "over"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"over": over.listen(t, answerWith(421, "", ""))})
	tests := []struct {
		name string
		want sumachead.Reason
	}{
		{"the first request", sumachead.ReasonFenced},
		{"the next one", sumachead.ReasonNoServer},
	}
	for _, tt := range tests {
		_, _, err := ask(g, tt.name, nil)
		if diff := cmp.Diff(tt.want, refusalOf(t, err).Reason); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
	if diff := cmp.Diff(int32(1), over.runs.Load()); diff != "" {
		t.Errorf("requests at the server (-want +got):\n%s", diff)
	}
}

package explain

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"
)

const testLog = `   1.2000 router-1 {"@level":"info","@message":"Declaration in force.","@module":"router-1.gateway.follow","@timestamp":"2026-01-01T10:00:01Z","number":7}
noise without an object
{"@level":"info","@message":"Found the leading keeper.","@module":"router-1.gateway.follow","@timestamp":"2026-01-01T10:00:02Z","address":"10.0.0.1:1","relay":""}
{"@level":"info","@message":"Backend server is leaving.","@module":"core-1.keeper","@timestamp":"2026-01-01T10:00:03Z","server":"i-1"}
{"@level":"info","@message":"Backend server is leaving.","@module":"core-1.keeper","@timestamp":"2026-01-01T10:00:03Z","server":"i-2"}
{"@level":"info","@message":"Retrying request.","@module":"router-1.gateway","@timestamp":"2026-01-01T10:00:05Z","request":"q1","server":"i-1","after":1500000}
{"@level":"info","@message":"Request served.","@module":"router-1.gateway","@timestamp":"2026-01-01T10:00:06Z","request":"q2","server":"i-3"}
`

func TestWriteTimeline(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := WriteTimeline(&got, lines, "q1"); err != nil {
		t.Fatal(err)
	}
	want := `       4.000s before, router-1: Declaration in force. number=7
       3.000s before, router-1: Found the leading keeper. address=10.0.0.1:1 relay=
       2.000s before, core-1: Backend server is leaving. server=i-1
2026-01-01T10:00:05Z router-1: Retrying request. after=1.5ms request=q1 server=i-1
`
	if d := cmp.Diff(want, got.String()); d != "" {
		t.Fatalf("(-want +got):\n%s", d)
	}
	if err := WriteTimeline(&got, lines, "none"); !trace.IsNotFound(err) {
		t.Fatalf("error %v for a request without lines, want not found", err)
	}
}

package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/catalog"
	"sumachead/internal/place"
	"sumachead/internal/telemetry"
)

// servedExchange returns an exchange in the state in which it is logged.
func servedExchange() *exchange {
	now := time.Now()
	return &exchange{
		request: &sumachead.CallerRequest{ID: "9c41d07be2a35f68", PromptTokens: 17000}, route: &wire.Route{Name: "r-2yhvz3p"},
		view: &catalog.View{Number: 7}, access: &wire.WorkspaceAccess{Name: "clerks"}, arrived: now, firstByteAt: now, attempts: 1, events: 40,
		placement: &place.Placement{Record: &wire.ServerRecord{Id: "i-7f3a91c2"}},
	}
}

type countingWriter struct{ n int64 }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += int64(len(p))
	return len(p), nil
}

// BenchmarkServedLine writes the log line of a served request: under usual load every one is
// written, at ten times that most are left out.
func BenchmarkServedLine(b *testing.B) {
	loads := []struct {
		name  string
		bound int
	}{{"usual", 1 << 30}, {"left_out", 1}}
	for _, load := range loads {
		b.Run(load.name, func(b *testing.B) {
			w := &countingWriter{}
			out := telemetry.NewQueuedWriter(io.Discard)
			defer out.Close()
			log := hclog.New(&hclog.LoggerOptions{Name: "router-1", Output: io.MultiWriter(w, out), JSONFormat: true})
			g := &Gateway{Log: log, servedLog: &telemetry.LogLimiter{PerSecond: load.bound}}
			x := servedExchange()
			for b.Loop() {
				g.logServed(x)
			}
			b.ReportMetric(float64(w.n)/float64(b.N), "bytes/line")
		})
	}
}

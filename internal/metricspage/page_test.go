// Package metricspage checks that docs/METRICS.md lists the metrics that the
// code exports. It contains tests only.
package metricspage

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"sumachead/api/wire"
	"sumachead/internal/fleet"
	"sumachead/internal/gateway"
	"sumachead/internal/rpc"
	"sumachead/internal/telemetry"
)

var update = flag.Bool("update", false, "write docs/METRICS.md")

const pagePath = "../../docs/METRICS.md"

const pageHeader = `# Metrics

Generated from the code by ` + "`go test ./internal/metricspage -update`" + ` and checked by the
tests. Names follow the conventions of Prometheus; all times are in seconds.
Refusals and retries have a counter for each reason, which is exported from the start
([OPERATIONS.md](OPERATIONS.md) says how to respond to them).

`

// rows returns a table row for each metric of a registry.
func rows(t *testing.T, r *prometheus.Registry) []string {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, f := range families {
		labels := ""
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels += l.GetName() + " "
		}
		kind := strings.ToLower(f.GetType().String())
		out = append(out, fmt.Sprintf("| `%s` | %s | %s | %s |", f.GetName(), kind, strings.TrimSpace(labels), f.GetHelp()))
	}
	slices.Sort(out)
	return out
}

func section(title string, rows []string) string {
	return "## " + title + "\n\n| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n" + strings.Join(rows, "\n") + "\n"
}

// sendUnansweredCall sends one RPC, so that the counters by method have a row.
func sendUnansweredCall(ctx context.Context, t *testing.T) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, _ = rpc.Call[wire.Empty](ctx, &rpc.Client{Address: lis.Addr().String()}, "Nobody.Answers", &wire.Empty{}) // counted when sent
}

func TestPageMatchesMetrics(t *testing.T) {
	out := telemetry.NewQueuedWriter(os.Stderr)
	g := &gateway.Gateway{Log: hclog.NewNullLogger(), Seeds: func() []string { return nil }}
	g.Init()
	g.Metrics().Registry.MustRegister(out.DroppedLinesCounter())
	k := &fleet.Keeper{
		Node: "core-1", Address: "127.0.0.1:1", DataDir: t.TempDir(), Founders: []string{"127.0.0.1:1"}, Heartbeat: time.Second,
		RPC: &rpc.Server{}, Pool: &rpc.Pool{}, Log: hclog.NewNullLogger(), Collectors: []prometheus.Collector{out.DroppedLinesCounter()},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := k.Prepare(ctx); err != nil {
		t.Fatal(err)
	}
	sendUnansweredCall(ctx, t)
	want := pageHeader + section("Routers", rows(t, g.Metrics().Registry)) + "\n" + section("Keepers", rows(t, k.Metrics()))
	if *update {
		if err := os.WriteFile(pagePath, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, string(got)); d != "" {
		t.Fatalf("docs/METRICS.md differs from the exported metrics; run with -update (-want +got):\n%s", d)
	}
}

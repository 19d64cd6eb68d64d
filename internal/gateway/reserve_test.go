package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/fleet"
	"sumachead/internal/loop"
	"sumachead/internal/retrybudget"
	"sumachead/internal/rpc"
	"sumachead/internal/tool"
)

const (
	// reserveTotal is the budget of the test's workspace.
	reserveTotal = 20_000
	// urgentBound and otherBound are the costs of its requests, which are billed in full.
	urgentBound, otherBound sumachead.Tokens = 100, 1000
	// eventTokens is what one event of a response carries.
	eventTokens = 3
)

// reserveDeclaration declares an urgent route and another one that share a budget.
func reserveDeclaration(number uint64, total int64) *wire.Declaration {
	c := &wire.Catalog{
		KeysNeeded: true,
		Services:   []*wire.Service{{Name: "pool", MaxConns: 100, HealthPath: "/health", Engine: &wire.EngineLimits{Slots: 4, EventTokens: eventTokens}}},
		Workspaces: []*wire.WorkspaceAccess{{Name: "nurses", Keys: []string{"n"}, Prepaid: proto.Int64(total)}},
	}
	for priority, name := range []string{"urgent", "other"} {
		c.Routes = append(c.Routes, &wire.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: wire.RouteKind_ROUTE_KIND_STREAM, TimeoutMillis: 2000, ObjectiveMillis: 800,
			Priority: uint32(priority), MaxAttempts: 2, Shares: []*wire.ServiceShare{{Service: "pool", Weight: 1}},
		})
	}
	return &wire.Declaration{Number: number, Source: []byte{byte(number)}, Catalog: c}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// runUntilCleanup runs f until the test ends.
func runUntilCleanup(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// newReserveFleet returns a router that follows one keeper with a priority reserve, and an engine
// that both know.
func newReserveFleet(t *testing.T) (*Gateway, *fleet.Keeper) {
	t.Helper()
	const heartbeat = time.Minute // the engine sends only one
	pool := &rpc.Pool{}
	t.Cleanup(pool.Close)
	address := freeAddress(t)
	seeds := func() []string { return []string{address} }
	k := &fleet.Keeper{
		Node: "core-1", Address: address, DataDir: t.TempDir(), Seeds: seeds, Founders: seeds(), Heartbeat: heartbeat,
		RPC: &rpc.Server{Address: address}, Pool: pool, Log: hclog.NewNullLogger(), PriorityReserve: true,
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := k.Prepare(ctx); err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, k.Run)
	g := &Gateway{
		Node: "router-1", Hall: "hall-1", Seeds: seeds, Heartbeat: heartbeat, Retries: retrybudget.Limit{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		Dialect: testDialect{}, Pool: pool, Log: hclog.NewNullLogger(),
	}
	g.Init()
	runUntilCleanup(t, g.Run)
	const last = int((urgentBound - 1) / eventTokens)
	a := &backend{id: "a"}
	record := &wire.ServerRecord{
		Id: "a", Service: "pool", Hall: "hall-1", Slots: 4, Sequence: 1, Address: a.listen(t, events(1, last, true)),
	}
	untilDone(t, "the engine is registered", func(ctx context.Context) error { return k.HandleHeartbeat(ctx, record) })
	declareBudget(t, g, k, 1, reserveTotal)
	untilDone(t, "the router knows the engine", func(context.Context) error {
		if len(g.servers.Servers("pool", nil)) == 0 {
			return errors.New("unknown")
		}
		return nil
	})
	return g, k
}

// untilDone repeats f until it succeeds.
func untilDone(t *testing.T, what string, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := errors.New("not tried")
	if !loop.Until(ctx, 10*time.Millisecond, func() bool {
		once, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		err = f(once)
		return err == nil
	}) {
		t.Fatalf("%s: %v", what, err)
	}
}

// declareBudget declares a budget and waits until the router has the declaration.
func declareBudget(t *testing.T, g *Gateway, k *fleet.Keeper, number uint64, total int64) {
	t.Helper()
	untilDone(t, "the declaration is accepted", func(ctx context.Context) error { return k.Declare(ctx, reserveDeclaration(number, total)) })
	untilDone(t, "the router has the declaration", func(context.Context) error {
		if v := g.client.View(); v == nil || v.Number != number {
			return errors.New("not yet")
		}
		return nil
	})
}

// Guards against a budget whose last tokens go to requests that are not urgent: driven from the
// caller's request through the router's wallet, the keeper's decision and its answer.
func TestRestOfBudgetServesUrgentRequests(t *testing.T) {
	g, k := newReserveFleet(t)
	sent := 0
	send := func(route string, bound sumachead.Tokens) error {
		sent++
		_, _, err := sendRequest(g, fmt.Sprint(sent), func(r *sumachead.CallerRequest) {
			// Every response has the same events, so the prompt makes the difference.
			const output = (urgentBound - 1) / eventTokens * eventTokens
			r.Key, r.Path, r.PromptTokens, r.MaxOutputTokens = "n", "/"+route+"/x", bound-output, output
		})
		return err
	}
	urgent := func() error { return send("urgent", urgentBound) }
	other := func() error { return send("other", otherBound) }
	// A reserve takes at most a quarter of the budget; these rounds use up three fifths.
	const rounds = 10
	served := 0
	for i := range rounds {
		if err := errors.Join(urgent(), urgent(), other()); err != nil {
			t.Fatalf("round %d, while the budget is ample: %v", i, err)
		}
		served++
	}

	// The rest is reserved while it still holds requests of both kinds.
	var refusal error
	for range 5 * reserveTotal / int(otherBound) {
		if refusal = other(); refusal != nil {
			break
		}
		served++
		time.Sleep(100 * time.Millisecond)
	}
	want := &sumachead.Refusal{Verdict: sumachead.NotRun, Reason: sumachead.ReasonBudgetReserved}
	if diff := cmp.Diff(want, refusalOf(t, refusal), cmpopts.IgnoreFields(sumachead.Refusal{}, "Detail")); diff != "" {
		t.Fatalf("after %d other requests (-want +got):\n%s", served, diff)
	}
	if status := refusalOf(t, refusal).Reason.HTTPStatus(); status != http.StatusTooManyRequests {
		t.Errorf("status %d", status)
	}
	if spent := 2*rounds*urgentBound + sumachead.Tokens(served)*otherBound; spent+otherBound > reserveTotal {
		t.Errorf("%d of %d tokens were spent, so that the refused request did not fit anyway", spent, reserveTotal)
	}
	var out, errOut strings.Builder
	if code := tool.Run([]string{"budgets", "--keeper", k.Address}, &out, &errOut); code != tool.ExitOK || !strings.Contains(out.String(), "for urgent requests since") {
		t.Errorf("the operator's command: code %d, %s%s", code, out.String(), errOut.String())
	}
	for i := range 8 {
		if err := urgent(); err != nil {
			t.Fatalf("urgent request %d of the reserve: %v", i, err)
		}
		begun := time.Now()
		if f := refusalOf(t, other()); f.Reason != sumachead.ReasonBudgetReserved && f.Reason != sumachead.ReasonBudgetExhausted {
			t.Errorf("another request beside the reserve: %v", f)
		}
		if took := time.Since(begun); took > 100*time.Millisecond { // an eighth of its objective
			t.Errorf("another request was refused after %v", took)
		}
	}

	declareBudget(t, g, k, 2, 2*reserveTotal)
	begun := time.Now()
	untilDone(t, "other requests are served again", func(context.Context) error { return other() })
	// The wallet asks again within a second while it refuses; the rest is for the keeper's commit.
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("other requests were refused for %v after the top-up", took)
	}
	if err := urgent(); err != nil {
		t.Errorf("an urgent request after the top-up: %v", err)
	}
}

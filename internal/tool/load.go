package tool

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/load"
)

type loadCommand struct {
	app           *app
	roots         *x509.CertPool
	URLs          []string      `long:"url" required:"true" description:"URL of a router, as in http://host:port; may be repeated"`
	Key           string        `long:"key" required:"true" description:"bearer key of the workspace"`
	Budget        string        `long:"budget" description:"budget of the workspace, to report overspend and false refusals"`
	Direct        string        `long:"direct" description:"base URL of a backend server: runs the same load against it first, to report the added latency"`
	Model         string        `long:"model" default:"assistant" description:"model to request"`
	Service       string        `long:"service" description:"pool of a plain service, to call instead of a model"`
	Callers       int           `long:"callers" default:"16" description:"concurrent callers"`
	Duration      time.Duration `long:"duration" default:"10s" description:"duration of the load"`
	PromptBytes   int           `long:"prompt" default:"400" description:"prompt size in bytes"`
	Prompts       int           `long:"prompts" description:"number of distinct prompts; 0 makes every prompt unique"`
	MaxTokens     int           `long:"max-tokens" default:"16" description:"output tokens of each response"`
	Rate          float64       `long:"rate" description:"requests per second; 0 for as many as the callers can send"`
	Priority      string        `long:"priority" description:"urgent, normal or batch"`
	NoStream      bool          `long:"no-stream" description:"request responses without streaming"`
	NotRepeatable bool          `long:"not-repeatable" description:"mark the requests as not idempotent"`
	CA            string        `long:"ca" description:"PEM file of the certificate authority of the routers"`
}

// loadResult is the output of the command.
type loadResult struct {
	Load   *load.Report `json:"load"`
	Direct *load.Report `json:"direct,omitempty"`
	// Added is the latency that the system adds to the first token, in
	// milliseconds.
	Added  *load.Quantiles `json:"added_to_first_token,omitempty"`
	Budget *budgetCheck    `json:"money,omitempty"`
}

// budgetCheck compares a budget before and after the load.
type budgetCheck struct {
	Total          int64 `json:"total"`
	Spent          int64 `json:"spent"`
	Overspend      int64 `json:"overspend"`
	Available      int64 `json:"available"`
	FalseRefusals  int64 `json:"false_refusals"`
	BilledInLoad   int64 `json:"billed_in_load"`
	AnsweredTokens int64 `json:"answered_tokens"`
}

// Execute implements flags.Commander.
func (l *loadCommand) Execute([]string) error {
	if err := l.readCA(); err != nil {
		return err
	}
	result := &loadResult{}
	if l.Direct != "" {
		result.Direct = l.run([]string{l.Direct})
	}
	before, err := l.fetchBudget()
	if err != nil {
		return err
	}
	result.Load = l.run(l.URLs)
	if result.Direct != nil {
		a, b := result.Load.FirstToken, result.Direct.FirstToken
		result.Added = &load.Quantiles{Median: a.Median - b.Median, P95: a.P95 - b.P95, P99: a.P99 - b.P99, Max: a.Max - b.Max}
	}
	if before != nil {
		if result.Budget, err = l.checkBudget(before, result.Load); err != nil {
			return err
		}
	}
	if err := l.print(result); err != nil {
		return err
	}
	if result.Budget != nil && result.Budget.Overspend > 0 {
		return exitErrorf(ExitOverspend, "overspend")
	}
	return nil
}

// readCA reads the file of the certificate authority, if one is given.
func (l *loadCommand) readCA() error {
	if l.CA == "" {
		return nil
	}
	pem, err := os.ReadFile(l.CA)
	if err != nil {
		return exitErrorf(ExitUsage, "--ca: %w", err)
	}
	l.roots = x509.NewCertPool()
	if !l.roots.AppendCertsFromPEM(pem) {
		return exitErrorf(ExitUsage, "--ca: no certificate found in %s", l.CA)
	}
	return nil
}

func (l *loadCommand) run(urls []string) *load.Report {
	t := &http.Transport{MaxIdleConnsPerHost: l.Callers, TLSClientConfig: &tls.Config{RootCAs: l.roots}}
	return load.Run(context.Background(), &load.Plan{
		URLs: urls, Key: l.Key, Model: l.Model, Service: l.Service, Callers: l.Callers,
		PromptBytes: l.PromptBytes, SharedPrompts: l.Prompts, MaxTokens: l.MaxTokens, Rate: l.Rate, Priority: l.Priority,
		Stream: !l.NoStream, NonIdempotent: l.NotRepeatable,
		Until: time.Now().Add(l.Duration), Client: &http.Client{Transport: t},
	})
}

func (l *loadCommand) fetchBudget() (*wire.BudgetState, error) {
	if l.Budget == "" {
		return nil, nil
	}
	var state *wire.BudgetState
	err := l.app.withClient(func(ctx context.Context, c *keeperclient.Client) error {
		reply, err := lookupLedger(ctx, c, &wire.LookupRequest{Budget: l.Budget})
		if err != nil {
			return err
		}
		if len(reply.GetBudgets()) != 1 {
			return exitErrorf(ExitUsage, "no budget %q", l.Budget)
		}
		state = reply.GetBudgets()[0]
		return nil
	})
	return state, err
}

// checkBudget waits until all reservations are settled and compares the budget
// with its state before the load. Refusals count as false if the remaining
// budget would have covered the request.
func (l *loadCommand) checkBudget(before *wire.BudgetState, r *load.Report) (*budgetCheck, error) {
	const settleTimeout = 5 * time.Second
	deadline := time.Now().Add(settleTimeout)
	after, err := l.fetchBudget()
	for err == nil && after.GetReserved() > 0 && time.Now().Before(deadline) {
		const pollInterval = 50 * time.Millisecond
		time.Sleep(pollInterval)
		after, err = l.fetchBudget()
	}
	if err != nil {
		return nil, err
	}
	m := &budgetCheck{
		Total: after.GetTotal(), Spent: after.GetSpent(),
		Overspend:    max(0, after.GetSpent()+after.GetReserved()+after.GetAllotted()-after.GetTotal()),
		Available:    after.GetTotal() - after.GetSpent() - after.GetReserved() - after.GetAllotted(),
		BilledInLoad: after.GetSpent() - before.GetSpent(), AnsweredTokens: r.Tokens,
	}
	if m.Available >= int64(l.PromptBytes+l.MaxTokens)*2 {
		for name, n := range r.Outcomes {
			if name != "answer" {
				m.FalseRefusals += n
			}
		}
	}
	return m, nil
}

func (l *loadCommand) print(r *loadResult) error {
	if l.app.JSON {
		return l.app.printValue(r)
	}
	l.printReport("load", r.Load)
	if r.Direct != nil {
		l.printReport("direct", r.Direct)
		l.app.printf("added latency of the first token: median %.2f ms, 99th percentile %.2f ms\n", r.Added.Median, r.Added.P99)
	}
	if m := r.Budget; m != nil {
		l.app.printf("budget: total %d, spent %d, overspend %d; billed in this load %d, tokens in responses %d; false refusals %d\n",
			m.Total, m.Spent, m.Overspend, m.BilledInLoad, m.AnsweredTokens, m.FalseRefusals)
	}
	return nil
}

func (l *loadCommand) printReport(name string, r *load.Report) {
	l.app.printf("%s: %d requests, %d responses, %.1f responses/s, %d tokens\n", name, r.Requests, r.Responses, r.PerSecond, r.Tokens)
	l.app.printf("  first token: median %.2f ms, p95 %.2f, p99 %.2f, max %.2f\n", r.FirstToken.Median, r.FirstToken.P95, r.FirstToken.P99, r.FirstToken.Max)
	l.app.printf("  complete response: median %.2f ms, p95 %.2f, p99 %.2f, max %.2f\n", r.Complete.Median, r.Complete.P95, r.Complete.P99, r.Complete.Max)
	for _, k := range slices.Sorted(maps.Keys(r.Outcomes)) {
		l.app.printf("  %-32s %d\n", k, r.Outcomes[k])
	}
}

package settings

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
)

// RootBranch is the branch that every tree has and that has no parent.
const RootBranch = "root"

// Duration is a span of time written as in "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	if v < 0 {
		return trace.BadParameter("%q is negative", b)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Limits are what a branch or a workspace may set; what is left out is
// inherited.
type Limits struct {
	MaxBodyBytes        *int64    `json:"max_body_bytes,omitempty" doc:"Largest request body in bytes."`
	MaxOutputTokens     *int64    `json:"max_output_tokens,omitempty" doc:"Most tokens that one answer may have; a larger wish is cut to it."`
	DefaultOutputTokens *int64    `json:"default_output_tokens,omitempty" doc:"Most tokens of an answer whose caller names no number."`
	MaxTime             *Duration `json:"max_time,omitempty" doc:"Longest time from arrival to the deadline; a later deadline is cut to it."`
	MaxConcurrent       *int64    `json:"max_concurrent,omitempty" doc:"Most requests of one workspace that one router has open at once."`
	RetryPercent        *int64    `json:"retry_percent,omitempty" doc:"Retries that one router may add to a workspace's requests, in percent of them."`
}

// Branch is a node that others inherit from.
type Branch struct {
	Parent string             `json:"parent,omitempty" doc:"Branch to inherit from; only the branch named root has none."`
	Budget sumachead.BudgetID `json:"budget,omitempty" doc:"Budget that pays; inherited when left out."`
	Pools  []sumachead.PoolID `json:"pools,omitempty" doc:"Pools that may be used; inherited when left out."`
	Limits Limits             `json:"limits,omitzero" doc:"Limits; each is inherited when left out."`
}

// Workspace is one customer of the system.
type Workspace struct {
	Branch    string             `json:"branch" doc:"Branch to inherit from."`
	KeySHA256 []string           `json:"key_sha256" doc:"SHA-256, in hexadecimal, of each bearer key that opens the workspace."`
	Budget    sumachead.BudgetID `json:"budget,omitempty" doc:"Budget that pays; inherited when left out."`
	Pools     []sumachead.PoolID `json:"pools,omitempty" doc:"Pools that may be used; inherited when left out."`
	Limits    Limits             `json:"limits,omitzero" doc:"Limits; each is inherited when left out."`
}

// Budget is a prepaid budget. Its total is the sum of its top-ups.
type Budget struct {
	Note string `json:"note,omitempty" doc:"Free text."`
}

// Topup adds tokens to a budget. Its id makes a repeated top-up harmless.
type Topup struct {
	Tokens sumachead.Tokens `json:"tokens" doc:"Tokens bought; at least 1."`
	Hall   sumachead.HallID `json:"hall,omitempty" doc:"Data hall that took the top-up while cut off; set by the system."`
}

// PoolKind says what stands behind a pool.
type PoolKind string

// The kinds of pools.
const (
	ModelPool   PoolKind = "model"
	ServicePool PoolKind = "service"
)

// CutOffPolicy says what a data hall does that is cut off from the keepers'
// quorum.
type CutOffPolicy string

// The policies.
const (
	// CutOffRefuse stops new work when the settings can't be proved current.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffServe goes on with the newest settings known in the hall; while a
	// hall is out of contact, no change is accepted.
	CutOffServe CutOffPolicy = "serve"
)

// Pool is a set of backend servers that serve the same work.
type Pool struct {
	Kind     PoolKind         `json:"kind" doc:"model or service."`
	Models   []string         `json:"models,omitempty" doc:"Names that callers may give as model (kind model)."`
	CallCost sumachead.Tokens `json:"call_cost,omitempty" doc:"Tokens that one call costs (kind service)."`
	CutOff   CutOffPolicy     `json:"cut_off,omitempty" doc:"serve (when left out) or refuse: what a data hall does that is wholly cut off from the keepers' quorum."`
	Resume   bool             `json:"resume,omitempty" doc:"The engines resume a stream that broke off: the request comes again with X-Resume-From, the number of chunks that arrived."`
	// StuckAfter is how long a started answer may bring nothing.
	StuckAfter Duration `json:"stuck_after,omitzero" doc:"An answer that brings nothing for this long is given up; 10s when left out."`
}

// ServerState says whether a backend server takes new work.
type ServerState string

// The states.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server and the agent beside it.
type Server struct {
	Pool         sumachead.PoolID `json:"pool" doc:"Pool that it belongs to."`
	Hall         sumachead.HallID `json:"hall" doc:"Data hall that it stands in."`
	Agent        string           `json:"agent" doc:"Address of its agent, host:port."`
	Slots        int64            `json:"slots" doc:"Requests that it runs at once; at least 1."`
	State        ServerState      `json:"state,omitempty" doc:"active (when left out) or leaving: no new work, what runs is finished."`
	Epoch        sumachead.Epoch  `json:"epoch,omitempty" doc:"Fencing epoch of our ownership; the agent refuses work under a lower one."`
	ChecksOrders bool             `json:"checks_orders,omitempty" doc:"The backend server itself refuses orders with an old epoch; otherwise its agent does so for it."`
}

// Objects is a whole tree as operators write it in a file.
type Objects struct {
	Branches   map[string]Branch           `json:"branches" doc:"Branches by id; root must be there."`
	Workspaces map[string]Workspace        `json:"workspaces,omitempty" doc:"Workspaces by id."`
	Budgets    map[string]Budget           `json:"budgets,omitempty" doc:"Budgets by id."`
	Topups     map[string]map[string]Topup `json:"topups,omitempty" doc:"Top-ups by budget and id."`
	Pools      map[string]Pool             `json:"pools,omitempty" doc:"Pools by id."`
	Servers    map[string]Server           `json:"servers,omitempty" doc:"Backend servers by id."`
}

// The first elements of the paths.
const (
	KindBranches   = "branches"
	KindWorkspaces = "workspaces"
	KindBudgets    = "budgets"
	KindTopups     = "topups"
	KindPools      = "pools"
	KindServers    = "servers"
)

// Kind returns the first element of a path.
func Kind(path string) string {
	kind, _, _ := strings.Cut(path, "/")
	return kind
}

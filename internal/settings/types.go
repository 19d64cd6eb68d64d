package settings

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
)

// RootBranch is the required branch at the root of the inheritance tree.
const RootBranch = "root"

// Duration is a time.Duration encoded as text, such as "1.5s".
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

// Limits are the limits that a branch or a workspace sets; nil values are
// inherited.
type Limits struct {
	MaxBodyBytes        *int64    `json:"max_body_bytes,omitempty" doc:"Maximum request body size in bytes."`
	MaxOutputTokens     *int64    `json:"max_output_tokens,omitempty" doc:"Maximum output tokens of one response; a request for more is capped."`
	DefaultOutputTokens *int64    `json:"default_output_tokens,omitempty" doc:"Maximum output tokens if the caller sets none."`
	MaxTime             *Duration `json:"max_time,omitempty" doc:"Maximum time from arrival to the deadline; a later deadline is capped."`
	MaxConcurrent       *int64    `json:"max_concurrent,omitempty" doc:"Maximum concurrent requests of one workspace at one router."`
	RetryPercent        *int64    `json:"retry_percent,omitempty" doc:"Retry budget: retries that one router may send, in percent of the workspace's requests."`
}

// Branch is a node from which other branches and workspaces inherit.
type Branch struct {
	Parent string             `json:"parent,omitempty" doc:"Branch to inherit from; only the branch named root has none."`
	Budget sumachead.BudgetID `json:"budget,omitempty" doc:"Budget to charge; inherited if omitted."`
	Pools  []sumachead.PoolID `json:"pools,omitempty" doc:"Pools that may be used; inherited if omitted."`
	Limits Limits             `json:"limits,omitzero" doc:"Limits; each is inherited if omitted."`
}

// Workspace is one customer of the system.
type Workspace struct {
	Branch    string             `json:"branch" doc:"Branch to inherit from."`
	KeySHA256 []string           `json:"key_sha256" doc:"SHA-256 in hexadecimal of each bearer key of the workspace."`
	Budget    sumachead.BudgetID `json:"budget,omitempty" doc:"Budget to charge; inherited if omitted."`
	Pools     []sumachead.PoolID `json:"pools,omitempty" doc:"Pools that may be used; inherited if omitted."`
	Limits    Limits             `json:"limits,omitzero" doc:"Limits; each is inherited if omitted."`
}

// Budget is a prepaid budget. Its total is the sum of its top-ups.
type Budget struct {
	Note string `json:"note,omitempty" doc:"Free text."`
}

// Topup adds tokens to a budget. Its id makes top-ups idempotent.
type Topup struct {
	Tokens sumachead.Tokens `json:"tokens" doc:"Tokens bought; at least 1."`
	Hall   sumachead.HallID `json:"hall,omitempty" doc:"Data hall that accepted the top-up while cut off; set by the system."`
}

// PoolKind is the kind of backend servers in a pool.
type PoolKind string

// The kinds of pools.
const (
	ModelPool   PoolKind = "model"
	ServicePool PoolKind = "service"
)

// CutOffPolicy is the behavior of a data hall that a network partition cuts
// off from the keepers' quorum.
type CutOffPolicy string

// The policies for a data hall that is cut off.
const (
	// CutOffRefuse rejects new work if the settings can't be proved current.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffServe continues with the newest settings known in the hall; no
	// change is accepted while a hall is unreachable.
	CutOffServe CutOffPolicy = "serve"
)

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Kind     PoolKind         `json:"kind" doc:"model or service."`
	Models   []string         `json:"models,omitempty" doc:"Model names that callers may request (kind model)."`
	CallCost sumachead.Tokens `json:"call_cost,omitempty" doc:"Cost of one call in tokens (kind service)."`
	CutOff   CutOffPolicy     `json:"cut_off,omitempty" doc:"serve (default) or refuse: behavior of a data hall that is fully cut off from the keepers' quorum."`
	Resume   bool             `json:"resume,omitempty" doc:"The engines can resume an interrupted stream: the request is retried with X-Resume-From, the number of chunks received."`
	// StuckAfter is the idle timeout of a started response.
	StuckAfter Duration `json:"stuck_after,omitzero" doc:"Idle timeout of a response: it is aborted if no data arrives for this long; 10s if omitted."`
}

// ServerState says whether a backend server accepts new work.
type ServerState string

// The states of a backend server.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server and its agent.
type Server struct {
	Pool         sumachead.PoolID `json:"pool" doc:"Pool of the backend server."`
	Hall         sumachead.HallID `json:"hall" doc:"Data hall of the backend server."`
	Agent        string           `json:"agent" doc:"Address of its agent, host:port."`
	Slots        int64            `json:"slots" doc:"Maximum concurrent requests; at least 1."`
	State        ServerState      `json:"state,omitempty" doc:"active (default) or leaving: drains, that is, finishes running requests and gets no new ones."`
	Epoch        sumachead.Epoch  `json:"epoch,omitempty" doc:"Fencing epoch of the ownership; the agent rejects work with a lower one."`
	ChecksOrders bool             `json:"checks_orders,omitempty" doc:"The backend server itself rejects orders with an old epoch; otherwise its agent does."`
}

// Objects is a complete tree as operators write it in a file.
type Objects struct {
	Branches   map[string]Branch           `json:"branches" doc:"Branches by id; root is required."`
	Workspaces map[string]Workspace        `json:"workspaces,omitempty" doc:"Workspaces by id."`
	Budgets    map[string]Budget           `json:"budgets,omitempty" doc:"Budgets by id."`
	Topups     map[string]map[string]Topup `json:"topups,omitempty" doc:"Top-ups by budget and id."`
	Pools      map[string]Pool             `json:"pools,omitempty" doc:"Pools by id."`
	Servers    map[string]Server           `json:"servers,omitempty" doc:"Backend servers by id."`
}

// The kinds of objects, which are the first elements of their paths.
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

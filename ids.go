package sumachead

import (
	"encoding/hex"
	"strconv"
)

type (
	// WorkspaceID identifies a workspace: one customer of the system.
	WorkspaceID string
	// BudgetID identifies a prepaid budget.
	BudgetID string
	// PoolID identifies a pool of interchangeable backend servers.
	PoolID string
	// ServerID identifies one backend server.
	ServerID string
	// HallID identifies a data hall.
	HallID string
	// RegionID identifies a region: a group of data halls near each other.
	RegionID string
	// NodeID identifies one process of the system.
	NodeID string
	// BootID identifies one incarnation of a process; it changes with each restart.
	BootID string
	// RequestKey identifies a request within its workspace (Idempotency-Key).
	RequestKey string
	// GroupID identifies a replicated group of keepers.
	GroupID string
	// SessionID identifies an unbroken history of settings revisions.
	SessionID string
)

// Fingerprint identifies requests by their content and origin: the workspace, the path and the
// body. All retries of a request have the same fingerprint.
type Fingerprint [16]byte

// String returns the hexadecimal form used in log lines and in operators' calls.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Tokens is an amount of budget. One model token costs one; a call of a plain service costs
// what its pool specifies.
type Tokens int64

// Revision numbers the states of the settings tree. It only increases.
type Revision uint64

// AttemptNumber numbers the attempts to run one request. It only increases.
type AttemptNumber uint32

// RequestRate is a rate in requests per second.
type RequestRate float64

// Epoch is the fencing token of orders to a backend server; an order with a lower epoch is
// refused.
type Epoch uint64

// Priority orders waiting requests; those with a higher value are first.
type Priority uint8

// The priorities that callers may request.
const (
	PriorityBatch  Priority = 1
	PriorityNormal Priority = 2
	PriorityUrgent Priority = 3
)

// ParsePriority parses the value of the priority header. An empty value means [PriorityNormal];
// ok is false for an unknown value.
func ParsePriority(s string) (p Priority, ok bool) {
	switch s {
	case "urgent":
		return PriorityUrgent, true
	case "", "normal":
		return PriorityNormal, true
	case "batch":
		return PriorityBatch, true
	}
	return 0, false
}

// String returns the name that callers use.
func (p Priority) String() string {
	switch p {
	case PriorityBatch:
		return "batch"
	case PriorityNormal:
		return "normal"
	case PriorityUrgent:
		return "urgent"
	}
	return strconv.Itoa(int(p))
}

package sumachead

import (
	"encoding/hex"
	"strconv"
)

type (
	// WorkspaceID names a workspace: one customer of the system.
	WorkspaceID string
	// BudgetID names a prepaid budget.
	BudgetID string
	// PoolID names a pool of backend servers that serve the same work.
	PoolID string
	// ServerID names one backend server.
	ServerID string
	// HallID names a data hall.
	HallID string
	// RegionID names a region: data halls that are near each other.
	RegionID string
	// NodeID names one process of the system.
	NodeID string
	// BootID names one life of a process; a restart draws a new one.
	BootID string
	// RequestKey names a request within its workspace (Idempotency-Key).
	RequestKey string
	// GroupID names a replicated group of keepers.
	GroupID string
	// SessionID names an unbroken history of settings revisions.
	SessionID string
)

// Fingerprint tells requests apart by what they ask for and who asks: the workspace, the
// path and the body. All tries of one request have the same.
type Fingerprint [16]byte

// String returns the form that lines and operators' calls have.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Tokens is an amount of budget. One model token costs one; a plain service's
// call costs what its pool says.
type Tokens int64

// Revision numbers the states of the settings tree. It only grows.
type Revision uint64

// AttemptNumber numbers the attempts to run one request. It only grows.
type AttemptNumber uint32

// RequestRate is in requests a second.
type RequestRate float64

// Epoch fences orders to a backend server: a lower one is refused.
type Epoch uint64

// Priority orders waiting work; a higher value goes first.
type Priority uint8

// The priorities that callers may ask for.
const (
	PriorityBatch  Priority = 1
	PriorityNormal Priority = 2
	PriorityUrgent Priority = 3
)

// ParsePriority reads the value of the priority header. An empty value means
// [PriorityNormal]; ok is false for an unknown one.
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

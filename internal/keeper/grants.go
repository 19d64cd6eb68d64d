package keeper

import (
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/raft"
)

// grantsMost is for how long a reservation asks the ledger for more: as long as it waits for
// room, after which its caller asks again.
const grantsMost = roomWait

// reserveWithGrants reserves from a hall's account, and asks the ledger for more while the
// account is short. Only the ledger knows that a budget is used up: between a grant and the
// reservation a recall may take what the account holds. Refusing after one grant refused 4 of
// 200 requests of a budget that held a hundred times as much, with recalls of all that a hall
// holds (scenario keeper_restarts, one of six runs). An error says that the caller is to try
// again.
func reserveWithGrants(reserve func() (*wire.LedgerReply, error), ask func() (granted bool, err error), until time.Time) (*wire.LedgerReply, error) {
	for more := true; ; {
		got, err := reserve()
		if err != nil || !more || got.GetCode() != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
			return got, err
		}
		if more, err = ask(); err != nil {
			return got, err
		}
		if more && time.Now().After(until) {
			return got, keeperclient.EncodeError(&raft.NotLeaderError{})
		}
	}
}

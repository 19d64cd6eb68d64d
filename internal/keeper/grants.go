package keeper

import (
	"time"

	"sumachead/api/wire"
	"sumachead/internal/keeperclient"
	"sumachead/internal/raft"
)

// maxGrantWait bounds how long a reservation keeps requesting grants from the ledger: as long
// as it waits for free tokens, after which its caller retries.
const maxGrantWait = maxTokenWait

// reserveWithGrants reserves from the account of a hall and requests grants from the ledger
// while the account is short. Only the ledger knows whether a budget is exhausted: a recall may
// empty the account between a grant and the reservation. Giving up after one grant refused 4 of
// 200 requests although the budget held 100 times as much (scenario keeper_restarts with recalls
// of everything a hall holds, in one of six runs). An error means that the caller should retry.
func reserveWithGrants(reserve func() (*wire.LedgerReply, error), requestGrant func() (granted bool, err error), deadline time.Time) (*wire.LedgerReply, error) {
	for mayGrant := true; ; {
		got, err := reserve()
		if err != nil || !mayGrant || got.GetCode() != wire.LedgerCode_LEDGER_CODE_BUDGET_EXHAUSTED {
			return got, err
		}
		if mayGrant, err = requestGrant(); err != nil {
			return got, err
		}
		if mayGrant && time.Now().After(deadline) {
			return got, keeperclient.EncodeError(&raft.NotLeaderError{})
		}
	}
}

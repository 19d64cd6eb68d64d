package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
	"sumachead/internal/loop"
)

const (
	mergeInterval = 50 * time.Millisecond
	maxMergeBatch = 1000
	mergeTimeout  = 2 * time.Second
)

// mergeLoop merges the journal's records into the ledger while the ledger has a
// leader.
func (k *Keeper) mergeLoop(ctx context.Context) error {
	if k.identity.GetJoined() {
		if err := k.journal.Register(); err != nil {
			return trace.Wrap(err)
		}
	}
	return loop.Every(ctx, mergeInterval, func() {
		if k.ledgerGroup.node.Status().GetLeader() == "" {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, mergeTimeout)
		defer cancel()
		if err := k.mergeOnce(callCtx); err != nil && ctx.Err() == nil {
			k.Log.Debug("Merging the journal failed.", "error", err)
		}
	})
}

// mergeOnce sends all synced records to the ledger.
func (k *Keeper) mergeOnce(ctx context.Context) error {
	k.mergeMu.Lock()
	defer k.mergeMu.Unlock()
	for {
		h := k.ledger.Hall(k.Config.Hall)
		if h.GetKeeperIncarnation() == k.identity.GetIncarnation() {
			k.journal.MarkMerged(h.GetMergedSeq())
			k.mergedSeq = max(k.mergedSeq, h.GetMergedSeq())
		}
		records := k.journal.Unmerged(k.mergedSeq, maxMergeBatch)
		if len(records) == 0 {
			return nil
		}
		err := k.clients.Merge(ctx, &wire.MergeRequest{
			Hall: string(k.Config.Hall), KeeperIncarnation: k.identity.GetIncarnation(), Records: records,
		})
		if err != nil {
			return err
		}
		k.mergedSeq = records[len(records)-1].GetSeq()
	}
}

// Merge replicates the journal records of a hall.
func (s *ledgerService) Merge(r *wire.MergeRequest, _ *wire.Empty) error {
	_, err := s.keeper.propose(context.Background(), &wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: r}})
	return err
}

// WriteOff counts the escrow of a lost journal as spent.
func (s *ledgerService) WriteOff(w *wire.WriteOff, _ *wire.Empty) error {
	_, err := s.keeper.propose(context.Background(), &wire.LedgerCommand{Command: &wire.LedgerCommand_WriteOff{WriteOff: w}})
	return err
}

package escrow

import (
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// Wallet holds one node's escrow and admits requests from it without a call. It
// is safe for concurrent use. Set the exported fields before the first call.
type Wallet struct {
	Node sumachead.NodeID
	// Kick asks for a report soon; it must not block.
	Kick func()
	// Prospect returns that of money which a report may ask for from a time on, and which
	// requests have lacked since another; nil where nothing is known of the ledger.
	Prospect func(asked, since time.Time) sumachead.Prospect

	mu sync.Mutex // guards the fields below, and what purses hold
	// boot is the holder's life; the ledger may close it.
	boot   sumachead.BootID
	purses map[sumachead.WorkspaceID]*purse
	// changed is closed, and replaced, when a request that waits should look
	// again: an answer came, a bill freed something, or the life has ended.
	changed chan struct{}
}

// Open starts a life of the holder.
func (w *Wallet) Open(boot sumachead.BootID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset(boot)
}

// reset empties the wallet for a life of the holder. The caller holds mu.
func (w *Wallet) reset(boot sumachead.BootID) {
	w.boot = boot
	w.purses = make(map[sumachead.WorkspaceID]*purse)
	w.notify()
}

// notify wakes up all requests that wait. The caller holds mu.
func (w *Wallet) notify() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// purse returns a workspace's purse, making it if need be. A new one is dirty, so
// that the next report tells of it. The caller holds mu.
func (w *Wallet) purse(id sumachead.WorkspaceID) *purse {
	p := w.purses[id]
	if p == nil {
		p = &purse{dirty: true}
		w.purses[id] = p
	}
	return p
}

// Report returns what is to be told to the ledger; nil when there is nothing new.
func (w *Wallet) Report(now time.Time, closing bool) *wire.EscrowReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &wire.EscrowReport{Node: string(w.Node), Boot: string(w.boot), Closing: closing}
	for id, p := range w.purses {
		if !p.dirty && !closing {
			continue
		}
		r.Positions = append(r.Positions, p.position(id, now, closing))
	}
	if len(r.Positions) == 0 && !closing {
		return nil
	}
	return r
}

// Touch puts workspaces into the next report if there is money of theirs at hand
// to give back; it reports whether there is.
func (w *Wallet) Touch(ids []sumachead.WorkspaceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := false
	for _, id := range ids {
		if p := w.purses[id]; p != nil && p.atHand() > 0 {
			p.dirty = true
			found = true
		}
	}
	return found
}

// Unsent marks a report's positions as not told, after a call that failed.
func (w *Wallet) Unsent(r *wire.EscrowReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range r.GetPositions() {
		w.purse(sumachead.WorkspaceID(p.GetWorkspace())).dirty = true
	}
}

// Take puts a reply in force. It reports whether the ledger has closed this life:
// the wallet is then empty and under a new one.
func (w *Wallet) Take(reply *wire.EscrowReply, boot, next sumachead.BootID, now time.Time) (closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != boot {
		return false
	}
	if reply.GetClosed() {
		w.reset(next)
		return true
	}
	again := now.Add(time.Duration(reply.GetAgainMillis()) * time.Millisecond)
	for _, a := range reply.GetAnswers() {
		w.takeOne(a, again, now)
	}
	w.notify()
	return false
}

// takeOne puts the answer on one workspace in force; what it lacks may be asked for again at a
// time. The caller holds mu.
func (w *Wallet) takeOne(a *wire.EscrowAnswer, again, now time.Time) {
	p := w.purse(sumachead.WorkspaceID(a.GetWorkspace()))
	more := sumachead.Tokens(a.GetGranted()) > p.granted
	p.granted = max(p.granted, sumachead.Tokens(a.GetGranted()))
	const lowShare = 2 // a report is due once half of this is gone
	p.low = p.atHand() / lowShare
	p.heldTo = time.Time{}
	if p.asking && p.atHand() < p.asked {
		p.heldTo = again
	}
	switch {
	case a.GetExhausted():
		p.ends.note(p.asked, now)
	case more || p.asking:
		p.ends = ends{}
	}
	if keep := sumachead.Tokens(a.GetKeep()); keep >= 0 && p.atHand() > keep {
		p.returned += p.atHand() - keep
		p.dirty = true
		w.Kick()
	}
}

// ask asks for a report that tells what requests of a workspace lack: soon, or once the ledger
// may have more. The caller holds mu.
func (w *Wallet) ask(p *purse, now time.Time) {
	held := p.heldTo.Sub(now)
	if held <= 0 {
		w.Kick()
		return
	}
	if p.toAsk {
		return
	}
	p.toAsk = true
	time.AfterFunc(held, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		p.toAsk = false
		if len(p.waiting) > 0 || len(p.left) > 0 {
			w.Kick()
		}
	})
}

// AtHand returns what could be reserved now.
func (w *Wallet) AtHand(id sumachead.WorkspaceID) sumachead.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.purses[id]; p != nil {
		return p.atHand()
	}
	return 0
}

// Sum is a wallet's money of all workspaces, by state.
type Sum struct{ AtHand, Reserved, Spent, Returned sumachead.Tokens }

// Sum adds up all workspaces.
func (w *Wallet) Sum() Sum {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s Sum
	for _, p := range w.purses {
		s.AtHand += p.atHand()
		s.Reserved += p.reserved
		s.Spent += p.spent
		s.Returned += p.returned
	}
	return s
}

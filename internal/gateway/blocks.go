package gateway

import (
	"errors"
	"slices"
	"sync"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/place"
	"sumachead/internal/quarantine"
)

// A block of a prompt may crash each server that begins to respond to it, whatever else the prompt has.
// Routers report which blocks servers may just have begun to respond to when they crash, and which have
// survived, and hold requests with suspected and barred blocks back as they do with suspected and barred
// requests, by the software version of the server.

// errBlockBarred is the cancellation cause of requests with a block that has just been barred.
var errBlockBarred = errors.New("a block of the prompt crashes servers")

// sharedBlocks returns the blocks of the prompt but the last, which is the request's or its session's
// own.
func (x *exchange) sharedBlocks() []sumachead.PromptPart {
	return x.request.Parts[:max(len(x.request.Parts)-1, 0)]
}

// blockIDs returns the IDs of the shared blocks.
func (x *exchange) blockIDs() (ids []string) {
	for _, b := range x.sharedBlocks() {
		ids = append(ids, b.ID)
	}
	return ids
}

// blockFingerprint returns the fingerprint of a block at a software version.
func (x *exchange) blockFingerprint(software, id string) sumachead.Fingerprint {
	return quarantine.BlockFingerprint(&wire.PromptBlock{Service: x.service.GetName(), Software: software, Id: id})
}

// blockStandings returns the fingerprints of the suspected blocks of the prompt at a software version, and
// whether another one is barred.
func (d *dispatch) blockStandings(software string) (suspected [][]byte, barred bool) {
	if !d.suspects.hasAny() {
		return nil, false
	}
	for _, b := range d.x.sharedBlocks() {
		f := d.x.blockFingerprint(software, b.ID)
		switch d.suspects.standing(f) {
		case wire.Standing_STANDING_SUSPECTED:
			suspected = append(suspected, f[:])
		case wire.Standing_STANDING_BARRED:
			barred = true
		}
	}
	return suspected, barred
}

// withoutBarred returns the servers at whose versions no block of the prompt is barred.
func (d *dispatch) withoutBarred(servers []*wire.ServerRecord) []*wire.ServerRecord {
	if !d.suspects.hasAny() || len(d.x.sharedBlocks()) == 0 {
		return servers
	}
	barred := make(map[string]bool)
	for _, r := range servers {
		if _, ok := barred[r.GetSoftware()]; !ok {
			_, barred[r.GetSoftware()] = d.blockStandings(r.GetSoftware())
		}
	}
	if !slices.ContainsFunc(servers, func(r *wire.ServerRecord) bool { return barred[r.GetSoftware()] }) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(r *wire.ServerRecord) bool { return barred[r.GetSoftware()] })
}

// checkBarredBlocks returns the final error of a request whose prompt has a barred block at the versions
// of all servers.
func (d *dispatch) checkBarredBlocks() error {
	if all := d.allowedServers(); len(all) > 0 && len(d.withoutBarred(all)) == 0 {
		return d.refuseBarredBlock()
	}
	return nil
}

// refuseBarredBlock returns the final error of a request whose prompt has a barred block.
func (d *dispatch) refuseBarredBlock() error {
	v := sumachead.NotRun
	if d.mayHaveRun || d.x.attempts > 0 {
		v = sumachead.MayHaveRun
	}
	return sumachead.Refuse(v, sumachead.ReasonEndsServers, "servers crash when they respond to a block of this prompt", time.Time{})
}

// allowsBlocks reports whether a request may be placed without a trial, as far as its blocks are
// concerned.
func (d *dispatch) allowsBlocks(l *place.Placement) bool {
	suspected, barred := d.blockStandings(l.Record.GetSoftware())
	return len(suspected) == 0 && !barred
}

// crashBlocks returns the blocks that the server of the last attempt may just have begun to respond to.
func (d *dispatch) crashBlocks(now time.Time) (out []*wire.CrashBlock) {
	if d.stream == nil || !d.stream.firstEventAt.IsZero() && now.Sub(d.stream.firstEventAt) > quarantine.SurvivalTime {
		return nil
	}
	r := d.x.placement.Record
	for _, b := range d.x.sharedBlocks() {
		out = append(out, &wire.CrashBlock{Id: b.ID, Survived: d.suspects.survived.Contains(r.GetService(), r.GetSoftware(), b.ID, now)})
	}
	return out
}

// recordSurvival records that the server of the last attempt has responded to the prompt without a
// crash, and reports that if its blocks are suspected.
func (d *dispatch) recordSurvival(now time.Time) {
	r := d.x.placement.Record
	var survived [][]byte
	for _, b := range d.x.sharedBlocks() {
		d.suspects.survived.Add(r.GetService(), r.GetSoftware(), b.ID, now)
		if !d.suspects.hasAny() {
			continue
		}
		if f := d.x.blockFingerprint(r.GetSoftware(), b.ID); d.suspects.isSuspect(f) {
			survived = append(survived, f[:])
		}
	}
	if len(survived) > 0 {
		d.suspects.enqueue(crashBatch{succeeded: survived})
	}
}

// applySuspects reacts to changed standings of blocks: suspected ones that have survived here are
// reported, and requests in flight with barred ones are canceled.
func (g *Gateway) applySuspects(changed []*wire.Suspect) {
	var recalled [][]byte
	for _, x := range changed {
		b := x.GetBlock()
		switch {
		case b == nil:
		case x.GetStanding() == wire.Standing_STANDING_BARRED:
			only, ok := g.servers.OnlyVersion(b.GetService())
			g.blockRequests.cancel(b, ok && only == b.GetSoftware())
		case x.GetStanding() == wire.Standing_STANDING_SUSPECTED && g.suspects.survived.Contains(b.GetService(), b.GetSoftware(), b.GetId(), time.Now()):
			recalled = append(recalled, x.GetFingerprint())
		}
	}
	if len(recalled) > 0 {
		g.suspects.enqueue(crashBatch{recalled: recalled})
	}
}

// blockRequests holds the requests in flight whose prompts share blocks. The zero value is ready to use.
type blockRequests struct {
	mu sync.Mutex // guards requests
	// requests are the software versions of the servers that the requests were sent to; empty while a
	// request waits, and for servers that name none.
	requests map[*dispatch]string
}

// add adds a request.
func (b *blockRequests) add(d *dispatch) {
	if len(d.x.sharedBlocks()) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests == nil {
		b.requests = make(map[*dispatch]string)
	}
	b.requests[d] = ""
}

// remove removes a request.
func (b *blockRequests) remove(d *dispatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.requests, d)
}

// setSoftware records the software version of the server that a request is sent to; empty if its attempt
// has ended.
func (b *blockRequests) setSoftware(d *dispatch, software string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.requests[d]; ok {
		b.requests[d] = software
	}
}

// cancel cancels the requests that were sent to a version at which a block of their prompts is barred,
// and those that wait, if there is no other version.
func (b *blockRequests) cancel(barred *wire.PromptBlock, onlyVersion bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for d, software := range b.requests {
		affected := software == barred.GetSoftware() || software == "" && onlyVersion
		if affected && d.x.service.GetName() == barred.GetService() && slices.Contains(d.x.blockIDs(), barred.GetId()) {
			d.cancel(errBlockBarred)
		}
	}
}

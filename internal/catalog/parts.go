package catalog

import (
	"sync"

	"sumachead/api/wire"
)

// MaxPartBytes bounds the part of a declaration in one reply: a small link carries it within a fraction of a
// second. A declaration that a link does not carry within one call would otherwise never arrive.
const MaxPartBytes = 256 << 10

// ForFollower returns what a follower needs of a declaration that is new to it: the part that it lacks, or all of it,
// with a size of 0, for one of an earlier version.
func ForFollower(p *wire.PackedDeclaration, r *wire.FollowRequest) (part *wire.PackedDeclaration, at, total uint64) {
	if !r.GetTakesParts() {
		return &wire.PackedDeclaration{Number: p.GetNumber(), Catalog: p.GetCatalog(), FingerprintKey: p.GetFingerprintKey()}, 0, 0
	}
	if r.GetPartialNumber() != p.GetNumber() {
		return Part(p, 0)
	}
	return Part(p, r.GetPartialBytes())
}

// Part returns the part of a packed declaration that follows the first offset bytes of its catalog, without the
// document, and the size of the whole catalog. The offset is that of the part: 0 if the given one is too large.
func Part(p *wire.PackedDeclaration, offset uint64) (part *wire.PackedDeclaration, at, total uint64) {
	data := p.GetCatalog()
	total = uint64(len(data))
	if offset < total {
		at = offset
	}
	part = &wire.PackedDeclaration{Number: p.GetNumber(), FingerprintKey: p.GetFingerprintKey()}
	part.Catalog = data[at:min(at+MaxPartBytes, total)]
	return part, at, total
}

// Assembler assembles declarations that arrive in parts.
type Assembler struct {
	mu sync.Mutex // guards the fields below
	// number is that of the declaration of which data are the first bytes.
	number uint64
	data   []byte
}

// Position returns the number of the declaration that is being assembled, and how many bytes of it there are.
func (a *Assembler) Position() (number, bytes uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.number, uint64(len(a.data))
}

// Add adds a part of a declaration, and returns the declaration once it is whole, or else nil. A total of 0 means
// that the part is the whole. A part that does not follow what there is changes nothing.
func (a *Assembler) Add(part *wire.PackedDeclaration, at, total uint64) *wire.PackedDeclaration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at == 0 && uint64(len(part.GetCatalog())) >= total {
		return part
	}
	if part.GetNumber() < a.number {
		return nil // a late reply
	}
	if at == 0 && (part.GetNumber() > a.number || len(a.data) == 0) {
		a.number, a.data = part.GetNumber(), nil
	}
	if part.GetNumber() != a.number || at != uint64(len(a.data)) {
		return nil
	}
	a.data = append(a.data, part.GetCatalog()...)
	if uint64(len(a.data)) < total {
		return nil
	}
	whole := &wire.PackedDeclaration{Number: part.GetNumber(), Catalog: a.data, FingerprintKey: part.GetFingerprintKey()}
	a.data = nil
	return whole
}

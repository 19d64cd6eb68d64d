package fleet

import (
	"path/filepath"
	"slices"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
	"sumachead/internal/wal"
)

const (
	// identityFile is the file in a keeper's folder that says whose it is.
	identityFile = "identity"
	// foundingIncarnation is that of members that start with the system, which
	// need not ask each other for one.
	foundingIncarnation = "founding"
)

// openIdentity reads the identity or writes a new one to an empty folder. A
// folder that is empty although the system exists has lost what it held: it gets
// a new incarnation and joins, and its old self's vote is not used again.
func (k *Keeper) openIdentity() error {
	path := filepath.Join(k.Data, identityFile)
	id := &wire.Identity{}
	data, err := wal.ReadFile(path)
	switch {
	case err == nil:
		err = proto.Unmarshal(data, id)
	case trace.IsNotFound(err):
		k.fillIdentity(id)
		if data, err = proto.Marshal(id); err == nil {
			err = wal.WriteFile(path, data)
		}
	}
	if err != nil {
		return trace.Wrap(err, "identity of the keeper")
	}
	if id.GetKeeper() != k.Address {
		return trace.BadParameter("%s belongs to keeper %q, not to %q", path, id.GetKeeper(), k.Address)
	}
	k.identity = id
	return nil
}

// fillIdentity draws the identity of an empty folder: a founder's, or that of a
// keeper that joins.
func (k *Keeper) fillIdentity(id *wire.Identity) {
	id.Keeper = k.Address
	if !slices.Contains(k.Founders, k.Address) {
		id.Incarnation, id.Joined = uuid.NewString(), true
		return
	}
	id.Incarnation = foundingIncarnation
	id.Founders = &wire.Members{}
	for _, a := range k.Founders {
		id.Founders.Members = append(id.Founders.Members, &wire.Member{Id: a, Address: a, Incarnation: foundingIncarnation})
	}
}

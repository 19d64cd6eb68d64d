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
	// identityFile is the file in the data directory that holds the keeper's identity.
	identityFile = "identity"
	// foundingIncarnation is the incarnation of the founders, so that they need not exchange
	// random ones when the cluster is bootstrapped.
	foundingIncarnation = "founding"
)

// openIdentity reads the identity, or writes a new one to an empty directory. If the directory is
// empty although the cluster exists, its data has been lost: the keeper gets a new incarnation and
// joins as a new member, so that the vote of the lost one is never used again.
func (k *Keeper) openIdentity() error {
	path := filepath.Join(k.DataDir, identityFile)
	id := &wire.Identity{}
	data, err := wal.ReadFile(path)
	switch {
	case err == nil:
		err = proto.Unmarshal(data, id)
	case trace.IsNotFound(err):
		k.initIdentity(id)
		if data, err = proto.Marshal(id); err == nil {
			err = wal.WriteFile(path, data)
		}
	}
	if err != nil {
		return trace.Wrap(err, "opening the keeper's identity")
	}
	if id.GetKeeper() != k.Address {
		return trace.BadParameter("%s belongs to keeper %q, not to %q", path, id.GetKeeper(), k.Address)
	}
	k.identity = id
	return nil
}

// initIdentity creates the identity for an empty directory: that of a founder, or of a keeper that
// joins.
func (k *Keeper) initIdentity(id *wire.Identity) {
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

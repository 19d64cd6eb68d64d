package fleet

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"

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
	// groupDirectory is the directory of the group in the data directory. Those of keepers that joined in
	// place of a corrupt one have a suffix.
	groupDirectory = "group"
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
		err = k.writeIdentity(id)
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

// groupDir returns the directory of the group.
func (k *Keeper) groupDir() string {
	return filepath.Join(k.DataDir, cmp.Or(k.identity.GetDirectory(), groupDirectory))
}

// canRejoin reports whether other keepers may exist from which this one can get the replicated state.
func (k *Keeper) canRejoin() bool {
	return slices.ContainsFunc(k.Seeds(), func(a string) bool { return a != k.Address })
}

// replaceIdentity gives the keeper a new incarnation with an empty group directory, as if its disk had been lost.
// The corrupt files stay, for an operator; those that were replaced earlier are removed.
func (k *Keeper) replaceIdentity() error {
	if k.identity != nil { // else it is not known which directory is the last one
		if err := k.removeOtherGroupDirs(); err != nil {
			return err
		}
	}
	incarnation := uuid.NewString()
	suffix, _, _ := strings.Cut(incarnation, "-")
	return k.writeIdentity(&wire.Identity{
		Keeper: k.Address, Incarnation: incarnation, Joined: true, Directory: groupDirectory + "-" + suffix,
	})
}

// removeOtherGroupDirs removes all directories of groups but the one in use.
func (k *Keeper) removeOtherGroupDirs() error {
	names, err := filepath.Glob(filepath.Join(k.DataDir, groupDirectory+"*"))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, n := range names {
		if n == k.groupDir() {
			continue
		}
		if err := os.RemoveAll(n); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// writeIdentity replaces the identity file.
func (k *Keeper) writeIdentity(id *wire.Identity) error {
	data, err := proto.Marshal(id)
	if err != nil {
		return trace.Wrap(err)
	}
	return wal.WriteFile(filepath.Join(k.DataDir, identityFile), data)
}

package place

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"sumachead"
)

// score ranks a server for a prompt prefix.
func score(prefix uint64, s sumachead.ServerID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	return xxhash.Sum64(append(b[:], s...))
}

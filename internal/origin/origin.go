// Package origin keeps which software version began each event stream, so that a stream that breaks
// off is resumed only by servers of that version, whichever router its caller comes back to.
//
// The router that passes on the first event of a stream records its [Origin] with a few processes
// beside model engines ([Directory.Record]); a router that is asked to resume the stream asks them
// ([Directory.Find]). Which processes these are follows from the stream's [Key], so that no list of
// streams is shared. A missing record never mixes versions: the stream is then not resumed.
package origin

import (
	"crypto/sha256"

	"sumachead"
)

// Origin is the service and the software version of the server that sent the first event of a
// stream.
type Origin struct {
	Service  string
	Software string
}

// keyBytes is the size of a key: large enough that callers who choose their request ids cannot make
// two streams collide.
const keyBytes = 16

// Key identifies a stream by a hash of the workspace and of the request that received its first
// event.
type Key [keyBytes]byte

// KeyOf returns the key of the stream that a request of a workspace began.
func KeyOf(w sumachead.WorkspaceID, id sumachead.RequestID) Key {
	h := sha256.New()
	_, _ = h.Write([]byte(w)) // a hash does not fail
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return Key(h.Sum(nil)[:keyBytes])
}

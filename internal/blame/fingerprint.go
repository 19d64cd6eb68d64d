// Package blame decides which requests end the backend servers that run them.
//
// A caller that sends such a request again draws another id, so that what tells it from
// others is what it asks for and who asks: its [Fingerprint].
package blame

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"sumachead"
)

// keySize is the size of a key in bytes: as many as a fingerprint has.
const keySize = 16

// NewKey draws a key for fingerprints. All routers of a fleet need the same one.
func NewKey() []byte {
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // it never fails: the process ends where there is no randomness
	return key
}

// Fingerprint returns that of a workspace's request under a key. The key keeps those who
// read logs from trying out which body a fingerprint is of.
func Fingerprint(key []byte, w sumachead.WorkspaceID, r *sumachead.CallerRequest) sumachead.Fingerprint {
	h := hmac.New(sha256.New, key)
	for _, part := range []string{string(w), r.Method, r.Host, r.Path, r.Query} {
		writePart(h, []byte(part))
	}
	writePart(h, r.Body)
	return sumachead.Fingerprint(h.Sum(nil)[:len(sumachead.Fingerprint{})])
}

// writePart adds a part with its length, so that no two lists of parts are the same bytes.
func writePart(h hash.Hash, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = h.Write(size[:]) // a hash takes everything
	_, _ = h.Write(part)
}

// Package quarantine detects requests, and blocks of prompts, that crash the backend servers that run
// them.
//
// A caller that retries such a request may use another request ID. So requests are identified by
// their workspace and content: their [Fingerprint]. Requests that share nothing but a prompt block that
// crashes servers have different contents, so evidence is also kept by block ([BlockFingerprint]).
package quarantine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"sumachead"
	"sumachead/api/wire"
)

// keySize is the size of a key in bytes, the same as that of a fingerprint.
const keySize = 16

// NewKey returns a random key for fingerprints. All routers of a fleet need the same one.
func NewKey() []byte {
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // never returns an error: the process exits if there is no randomness
	return key
}

// Fingerprint returns the fingerprint of a workspace's request under a key. The key prevents readers
// of logs from guessing the body of a request by hashing candidates.
func Fingerprint(key []byte, w sumachead.WorkspaceID, r *sumachead.CallerRequest) sumachead.Fingerprint {
	h := hmac.New(sha256.New, key)
	for _, part := range []string{string(w), r.Method, r.Host, r.Path, r.Query} {
		writePart(h, []byte(part))
	}
	writePart(h, r.Body)
	return sumachead.Fingerprint(h.Sum(nil)[:len(sumachead.Fingerprint{})])
}

// BlockFingerprint returns the fingerprint of a prompt block at one software version of a service:
// another version may respond to it.
func BlockFingerprint(b *wire.PromptBlock) sumachead.Fingerprint {
	h := sha256.New()
	for _, part := range []string{"block", b.GetService(), b.GetSoftware(), b.GetId()} {
		writePart(h, []byte(part))
	}
	return sumachead.Fingerprint(h.Sum(nil)[:len(sumachead.Fingerprint{})])
}

// writePart writes a part prefixed with its length, so that different lists of parts never yield
// the same bytes.
func writePart(h hash.Hash, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = h.Write(size[:]) // a hash never returns an error
	_, _ = h.Write(part)
}

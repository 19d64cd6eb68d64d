package catalog

import (
	"testing"

	"github.com/gravitational/trace"

	"sumachead/api/wire"
)

// Guards against a small declaration that fills the memory once it is decompressed.
func TestDecompressionIsBounded(t *testing.T) {
	zeros := make([]byte, maxInflatedBytes+1)
	packed, err := deflate(zeros)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []*wire.PackedDeclaration{{Catalog: packed}, {Source: packed}} {
		if err := CheckPacked(p); err == nil {
			t.Error("a declaration of over the largest size was accepted")
		}
	}
	if _, err := inflate(packed); !trace.IsLimitExceeded(err) {
		t.Errorf("got %v", err)
	}
}

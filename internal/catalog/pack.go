package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// compressionLevel trades CPU time of a keeper, spent at most a few times a minute, for fewer
// bytes sent to every node.
const compressionLevel = 5

// Pack returns a declaration in the form in which it is stored and sent.
func Pack(d *wire.Declaration) (*wire.PackedDeclaration, error) {
	data, err := proto.Marshal(d.GetCatalog())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &wire.PackedDeclaration{Number: d.GetNumber()}
	if p.Catalog, err = deflate(data); err != nil {
		return nil, err
	}
	p.Source, err = deflate(d.GetSource())
	return p, err
}

// Unpack returns a packed declaration without its source document.
func Unpack(p *wire.PackedDeclaration) (*wire.Declaration, error) {
	data, err := inflate(p.GetCatalog())
	if err != nil {
		return nil, err
	}
	d := &wire.Declaration{Number: p.GetNumber(), Catalog: &wire.Catalog{}, FingerprintKey: p.GetFingerprintKey()}
	return d, trace.Wrap(proto.Unmarshal(data, d.GetCatalog()), "decoding declaration %d", p.GetNumber())
}

// CheckPacked returns an error if a packed declaration cannot be unpacked.
func CheckPacked(p *wire.PackedDeclaration) error {
	if _, err := Unpack(p); err != nil {
		return trace.BadParameter("declaration %d: %v", p.GetNumber(), err)
	}
	_, err := Source(p)
	return err
}

// Source returns the document of a declaration as the operator sent it.
func Source(p *wire.PackedDeclaration) ([]byte, error) { return inflate(p.GetSource()) }

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, compressionLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}

// maxInflatedBytes bounds a decompressed declaration: more than twice the largest document.
const maxInflatedBytes = 40 << 20

// inflate decompresses data; empty data results in nil.
func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflatedBytes+1))
	if len(out) > maxInflatedBytes {
		return nil, trace.LimitExceeded("a declaration of over %d bytes", maxInflatedBytes)
	}
	return out, trace.Wrap(err, "inflating a declaration")
}

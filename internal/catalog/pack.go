package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// packLevel trades a keeper's processor time, a few times a minute at most,
// against bytes that go to every node.
const packLevel = 5

// Pack returns a declaration as it is stored and sent.
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

// Unpack returns the declaration without its document.
func Unpack(p *wire.PackedDeclaration) (*wire.Declaration, error) {
	data, err := inflate(p.GetCatalog())
	if err != nil {
		return nil, err
	}
	d := &wire.Declaration{Number: p.GetNumber(), Catalog: &wire.Catalog{}, FingerprintKey: p.GetFingerprintKey()}
	return d, trace.Wrap(proto.Unmarshal(data, d.GetCatalog()), "decoding declaration %d", p.GetNumber())
}

// Source returns the document of a declaration as the operator sent it.
func Source(p *wire.PackedDeclaration) ([]byte, error) { return inflate(p.GetSource()) }

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, packLevel)
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

// inflate returns what was deflated; nothing for nothing.
func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	return out, trace.Wrap(err, "inflating a declaration")
}

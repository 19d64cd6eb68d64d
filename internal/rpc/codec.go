// Package rpc implements calls between the processes of sumachead. It uses net/rpc with
// a codec of length-delimited protobuf messages.
//
// [Server] accepts connections and serves registered receivers. [Client] keeps
// one connection to an address, dials again after a failure, and ends a call
// when its context is done. A [Pool] shares clients by address. A [Relay] forwards
// connections between processes that cannot reach each other directly.
// [TrafficCollector] exports the number of bytes sent by method.
package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sumachead/api/wire"
)

// Maximum sizes of a header, of the body of a call or reply, and of one that may hold the snapshot of a
// group. A message that is larger is not sent: its receiver would give up the connection.
const (
	maxHeaderBytes   = 64 << 10
	maxBodyBytes     = 64 << 20
	maxSnapshotBytes = 1 << 30
)

// maxErrorBytes bounds the text of an error in a reply; errors may quote what others have sent.
const maxErrorBytes = 4 << 10

const (
	// writeTimeout is how long a write of maxWriteBytes may block before its connection fails. A large message
	// over a slow link takes longer as a whole.
	writeTimeout  = 3 * time.Second
	maxWriteBytes = 64 << 10
)

// framedConn is a connection with the message framing that client and server share.
type framedConn struct {
	conn net.Conn
	r    *bufio.Reader
	// unreadable is set once the beginning of the next message cannot be found.
	unreadable bool

	mu sync.Mutex // guards w
	w  *bufio.Writer
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// encodingError means that a message was not written because it cannot be encoded or is too large. The
// connection is as before.
type encodingError struct{ error }

// Unwrap returns the cause.
func (e encodingError) Unwrap() error { return e.error }

// maxBytes returns the maximum size of a body.
func maxBytes(body proto.Message) int {
	if _, ok := body.(*wire.RaftBatch); ok {
		return maxSnapshotBytes
	}
	return maxBodyBytes
}

// encode returns a header and a body in the framing of a connection. List elements that cannot be encoded
// are left out; any other error is an [encodingError].
func encode(method string, header proto.Message, body any) ([]byte, error) {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	message, err := marshal(header, m)
	if err == nil && (len(message) <= maxBytes(m) || proto.Size(m) <= maxBytes(m)) {
		return message, nil
	}
	countInvalid(method)
	if err == nil {
		return nil, encodingError{trace.LimitExceeded("a message of %d bytes, %d are allowed", proto.Size(m), maxBytes(m))}
	}
	if message, err = marshal(header, withoutInvalidElements(m)); err != nil {
		return nil, encodingError{trace.Wrap(err)}
	}
	return message, nil
}

// marshal returns messages in the framing of a connection.
func marshal(ms ...proto.Message) ([]byte, error) {
	var b bytes.Buffer
	for _, m := range ms {
		if _, err := protodelim.MarshalTo(&b, m); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

// withoutInvalidElements returns a copy of a message without the elements of its lists of messages, and of
// those in messages that it contains, that cannot be encoded.
func withoutInvalidElements(m proto.Message) proto.Message {
	out := m.ProtoReflect().New()
	m.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil || f.IsMap():
			out.Set(f, v)
			return true
		case !f.IsList():
			out.Set(f, protoreflect.ValueOfMessage(withoutInvalidElements(v.Message().Interface()).ProtoReflect()))
			return true
		}
		valid := out.NewField(f).List()
		for i := range v.List().Len() {
			if e := v.List().Get(i); isEncodable(e.Message().Interface()) {
				valid.Append(e)
			}
		}
		out.Set(f, protoreflect.ValueOfList(valid))
		return true
	})
	return out.Interface()
}

func isEncodable(m proto.Message) bool {
	_, err := proto.Marshal(m)
	return err == nil
}

// send writes an encoded header and body without interleaving other messages.
func (s *framedConn) send(method string, message []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range slices.Chunk(message, maxWriteBytes) {
		if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return trace.Wrap(err)
		}
		if _, err := s.w.Write(part); err != nil {
			return trace.Wrap(err)
		}
	}
	countSent(method, len(message))
	return trace.Wrap(s.w.Flush())
}

// readBody reads the message that follows a header; a nil body skips it.
func (s *framedConn) readBody(body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	err := readMessage(s.r, m, uint64(maxBytes(m)))
	var invalid decodingError
	s.unreadable = err != nil && !errors.As(err, &invalid)
	return err
}

// readMessage reads a message of up to limit bytes. The memory for it grows as its bytes arrive, whatever
// size the peer announces.
func readMessage(r *bufio.Reader, m proto.Message, limit uint64) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > limit {
		return trace.LimitExceeded("a message of %d bytes, %d are allowed", size, limit)
	}
	if size <= uint64(r.Size()) {
		data, err := r.Peek(int(size))
		if err != nil {
			return unexpectedEOF(err)
		}
		err = proto.Unmarshal(data, m)
		if _, discardErr := r.Discard(int(size)); discardErr != nil {
			return discardErr
		}
		return decodingErrorOf(err)
	}
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r, int64(size)); err != nil {
		return unexpectedEOF(err)
	}
	return decodingErrorOf(proto.Unmarshal(data.Bytes(), m))
}

// decodingError means that a message was read but cannot be decoded. The next one can be read.
type decodingError struct{ error }

func decodingErrorOf(err error) error {
	if err == nil {
		return nil
	}
	return decodingError{err}
}

// unexpectedEOF returns the error of a connection that ends within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *framedConn) Close() error { return s.conn.Close() }

type serverCodec struct{ *framedConn }

// ReadRequestHeader implements net/rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.unreadable {
		return io.EOF // net/rpc goes on after a body that could not be read
	}
	var h wire.CallHeader
	if err := readMessage(c.r, &h, maxHeaderBytes); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSeq()
	return nil
}

// ReadRequestBody implements net/rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements net/rpc.ServerCodec. A reply that cannot be encoded becomes an error. A reply that
// cannot be written ends the connection: net/rpc drops it without telling its caller.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	h := &wire.ReplyHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: errorText(r.Error)}
	message, err := encode(r.ServiceMethod, h, body)
	if err != nil {
		h.Error = errorText("the reply cannot be encoded: " + err.Error())
		if message, err = marshal(h, &wire.Empty{}); err != nil {
			return err
		}
	}
	if err := c.send(r.ServiceMethod, message); err != nil {
		_ = c.Close() // the first error is returned
		return err
	}
	return nil
}

// errorText returns the text of an error as it is sent.
func errorText(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxErrorBytes)], "\uFFFD")
}

type clientCodec struct{ *framedConn }

// WriteRequest implements net/rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	message, err := encode(r.ServiceMethod, &wire.CallHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
	if err != nil {
		return err
	}
	return c.send(r.ServiceMethod, message)
}

// ReadResponseHeader implements net/rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if c.unreadable {
		return io.ErrUnexpectedEOF // net/rpc goes on after a body that could not be read
	}
	var h wire.ReplyHeader
	if err := readMessage(c.r, &h, maxHeaderBytes); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSeq()
	r.Error = h.GetError()
	return nil
}

// ReadResponseBody implements net/rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

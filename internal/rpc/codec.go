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
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sumachead/api/wire"
)

// maxMessageBytes is the maximum size of one message; a snapshot of a group must fit.
const maxMessageBytes = 1 << 30

// writeTimeout is how long a write may block before its connection fails.
const writeTimeout = 3 * time.Second

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

// framedConn is a connection with the message framing that client and server share.
type framedConn struct {
	conn net.Conn
	r    *bufio.Reader

	mu sync.Mutex // guards w
	w  *bufio.Writer
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// encodingError means that a message was not written because it cannot be encoded. The connection is
// as before.
type encodingError struct{ error }

// Unwrap returns the cause.
func (e encodingError) Unwrap() error { return e.error }

// encode returns a header and a body in the framing of a connection. List elements that cannot be encoded
// are left out; any other error is an [encodingError].
func encode(method string, header proto.Message, body any) ([]byte, error) {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	message, err := marshal(header, m)
	if err == nil {
		return message, nil
	}
	countInvalid(method)
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

// withoutInvalidElements returns a shallow copy of a message without the elements of its lists of
// messages that cannot be encoded.
func withoutInvalidElements(m proto.Message) proto.Message {
	out := m.ProtoReflect().New()
	m.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !f.IsList() || f.Message() == nil {
			out.Set(f, v)
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
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := s.w.Write(message); err != nil {
		return trace.Wrap(err)
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
	return unmarshal.UnmarshalFrom(s.r, m)
}

func (s *framedConn) Close() error { return s.conn.Close() }

type serverCodec struct{ *framedConn }

// ReadRequestHeader implements net/rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h wire.CallHeader
	if err := unmarshal.UnmarshalFrom(c.r, &h); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSeq()
	return nil
}

// ReadRequestBody implements net/rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements net/rpc.ServerCodec. A reply that cannot be encoded becomes an error.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	h := &wire.ReplyHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: strings.ToValidUTF8(r.Error, "\uFFFD")}
	message, err := encode(r.ServiceMethod, h, body)
	if err != nil {
		h.Error = "the reply cannot be encoded: " + strings.ToValidUTF8(err.Error(), "\uFFFD")
		if message, err = marshal(h, &wire.Empty{}); err != nil {
			return err
		}
	}
	return c.send(r.ServiceMethod, message)
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
	var h wire.ReplyHeader
	if err := unmarshal.UnmarshalFrom(c.r, &h); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSeq()
	r.Error = h.GetError()
	return nil
}

// ReadResponseBody implements net/rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

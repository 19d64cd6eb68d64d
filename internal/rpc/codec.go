// Package rpc carries calls between the processes of sumachead: net/rpc with
// a thin codec of length-delimited protobuf messages.
//
// [Server] accepts connections and serves registered receivers. [Client] keeps
// one connection to an address, dials again after a failure, and ends a call
// when its context does. A [Pool] shares clients by address. A [Relay] passes
// connections on between processes that can't reach each other. [Traffic] counts
// what is sent, by method.
package rpc

import (
	"bufio"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sumachead/api/wire"
)

// maxMessageBytes bounds one message; a snapshot of a group must fit.
const maxMessageBytes = 1 << 30

// writeTimeout ends a connection whose other end takes nothing in.
const writeTimeout = 3 * time.Second

var unmarshal = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

// stream is the framing that both ends share.
type stream struct {
	conn net.Conn
	r    *bufio.Reader

	mu sync.Mutex // guards w
	w  *bufio.Writer
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// send writes a header and a body as one unit.
func (s *stream) send(method string, header proto.Message, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	head, err := protodelim.MarshalTo(s.w, header)
	if err != nil {
		return trace.Wrap(err)
	}
	n, err := protodelim.MarshalTo(s.w, m)
	if err != nil {
		return trace.Wrap(err)
	}
	noteSent(method, head+n)
	return trace.Wrap(s.w.Flush())
}

// body reads the message that follows a header; a nil one is skipped.
func (s *stream) body(body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	return unmarshal.UnmarshalFrom(s.r, m)
}

func (s *stream) Close() error { return s.conn.Close() }

type serverCodec struct{ *stream }

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
func (c *serverCodec) ReadRequestBody(body any) error { return c.body(body) }

// WriteResponse implements net/rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.send(r.ServiceMethod, &wire.ReplyHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

type clientCodec struct{ *stream }

// WriteRequest implements net/rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.send(r.ServiceMethod, &wire.CallHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
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
func (c *clientCodec) ReadResponseBody(body any) error { return c.body(body) }

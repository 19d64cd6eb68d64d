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
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

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

// send writes a header and a body without interleaving other messages.
func (s *framedConn) send(method string, header proto.Message, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	h, err := protodelim.MarshalTo(s.w, header)
	if err != nil {
		return trace.Wrap(err)
	}
	n, err := protodelim.MarshalTo(s.w, m)
	if err != nil {
		return trace.Wrap(err)
	}
	countSent(method, h+n)
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

// WriteResponse implements net/rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.send(r.ServiceMethod, &wire.ReplyHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

type clientCodec struct{ *framedConn }

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
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

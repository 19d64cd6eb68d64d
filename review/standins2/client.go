package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client that is kept for several requests.
type client struct {
	fleet *fleet
	name  string
	conn  net.Conn
	br    *bufio.Reader
}

// dial opens a connection to a router.
func (f *fleet) dial(name, address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{f, name, c, bufio.NewReader(c)}, nil
}

// send writes a request without a body.
func (c *client) send(method, path, id string, headers ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: %s\r\n", method, path, id)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if method != http.MethodGet {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	c.fleet.log("client  %s sends %s %s %s %s", c.name, method, path, id, strings.Join(headers, "; "))
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// head reads the head of an answer.
func (c *client) head() (*http.Response, error) {
	return http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
}

// close closes the connection.
func (c *client) close() { _ = c.conn.Close() }

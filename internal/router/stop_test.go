package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sumachead/internal/config"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

// Guards against requests that a stopping router reads and drops.
func TestStoppingRouterAnswersWhatItReads(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	r := &Router{Config: &config.Config{Node: "router-1", HTTP: address}, Log: hclog.NewNullLogger(), Pool: &rpc.Pool{}}
	r.prepare()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.server().Run(ctx) }()
	var conn net.Conn
	if !loop.Until(t.Context(), 10*time.Millisecond, func() bool {
		conn, err = net.Dial("tcp", address)
		return err == nil
	}) {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	stop()
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(conn, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the server does not end")
	}
}

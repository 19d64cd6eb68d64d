package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// Guards against responses that are bounded one by one, and exceed the memory of the process together.
func TestEndlessResponsesAreBoundedTogether(t *testing.T) {
	const requests, most = 64, 7 << 20
	service, model := &settings.ResolvedPool{}, &settings.ResolvedPool{}
	for p, kind := range map[*settings.ResolvedPool]settings.PoolKind{service: settings.ServicePool, model: settings.ModelPool} {
		p.Kind, p.StuckAfter.Duration = kind, time.Minute
	}
	tests := []struct {
		name         string
		pool         *settings.ResolvedPool
		status       int
		stream       bool
		header, part string
	}{
		{"plain body", service, 200, false, "", "x"},
		{"model's body", model, 200, false, "", "x"},
		{"rejection", model, 400, false, "", "x"},
		{"events", model, 200, true, "Content-Type: text/event-stream\r\n", "data: {\"choices\":[{}]}\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = lis.Close() })
			part := []byte(strings.Repeat(tt.part, (64<<10)/len(tt.part)))
			var served atomic.Int32
			serve := func(c net.Conn) {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				served.Add(1)
				_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s\r\n", tt.status, tt.header)
				for sent := 0; err == nil && sent < most; sent += len(part) {
					_, err = c.Write(part)
				}
				_, _ = c.Read(make([]byte, 1))
			}
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go serve(c)
				}
			}()
			b := newBackend("http://"+lis.Addr().String(), &health{})
			begun, last, grown := liveHeap(), int64(0), int64(0)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					r := &wire.RunRequest{Method: http.MethodPost, Path: "/x", Stream: tt.stream, Workspace: "w", Key: fmt.Sprint(i)}
					_, err := b.do(ctx, newRun(runKey{}, r), r, tt.pool)
					if err == nil {
						t.Error("the response passed for complete")
					} else if f := sumachead.AsRefusal(err); f.Verdict != sumachead.MayHaveRun {
						t.Errorf("got %v", err)
					}
				})
			}
			for ctx.Err() == nil {
				now := liveHeap() - begun // what is allocated during a collection counts as live
				grown, last = max(grown, min(last, now)), now
				time.Sleep(25 * time.Millisecond)
			}
			all.Wait()
			t.Logf("%d KiB at most, %d requests", grown>>10, served.Load())
			const maxGrown = 2 * maxResponsesBytes
			if n := b.memory.Reserved(); n != 0 {
				t.Errorf("%d bytes stay reserved", n)
			}
			if grown > maxGrown {
				t.Errorf("%d MiB are held, %d allowed", grown>>20, maxGrown>>20)
			}
		})
	}
}

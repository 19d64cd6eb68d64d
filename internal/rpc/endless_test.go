package rpc

import (
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"sumachead/api/wire"
)

// Guards against a peer that announces a large message, or sends one without end, and fills the memory.
func TestOversizedMessagesAreBounded(t *testing.T) {
	tests := []struct {
		name string
		// sizes are the announced sizes of a header and a body.
		sizes []uint64
		// sent is how many bytes follow.
		sent int
	}{
		{"header announced", []uint64{1 << 30}, 0},
		{"header sent", []uint64{1 << 30}, 64 << 20},
		{"body announced", []uint64{0, 1 << 30}, 0},
		{"body sent", []uint64{0, 1 << 30}, 512 << 20},
		{"size beyond any", []uint64{1 << 62}, 0},
	}
	address, stop := serveEcho(t, "")
	defer stop()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			message, err := marshal(&wire.CallHeader{Method: "Echo.Answer", Seq: 1})
			if err != nil {
				t.Fatal(err)
			}
			if len(tt.sizes) == 1 {
				message = nil
			}
			message = binary.AppendUvarint(message, tt.sizes[len(tt.sizes)-1])
			_, err = c.Write(message)
			part := make([]byte, 1<<20)
			for n := 0; err == nil && n < tt.sent; n += len(part) {
				_, err = c.Write(part)
			}
			const settleTime = 50 * time.Millisecond
			time.Sleep(settleTime)
			runtime.ReadMemStats(&after)
			const maxGrown = 96 << 20
			if grown := int64(after.Sys) - int64(before.Sys); grown > maxGrown {
				t.Errorf("the process has grown by %d MB", grown>>20)
			}
		})
	}
}

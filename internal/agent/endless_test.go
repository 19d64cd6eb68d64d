package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// Guards against responses without an end, or that end for their size and pass for one that broke off.
func TestEndlessResponseIsABadAnswer(t *testing.T) {
	service, model := &settings.ResolvedPool{}, &settings.ResolvedPool{}
	for p, kind := range map[*settings.ResolvedPool]settings.PoolKind{service: settings.ServicePool, model: settings.ModelPool} {
		p.Kind, p.StuckAfter.Duration = kind, time.Minute
	}
	const events = "Content-Type: text/event-stream\r\n"
	tests := []struct {
		name                string
		pool                *settings.ResolvedPool
		stream              bool
		header, start, part string
	}{
		{"head", service, false, "X-Long: ", "", "x"},
		{"plain body", service, false, "", "", "x"},
		{"model's body", model, false, "", "", "x"},
		{"rejection", model, false, "", "", "x"},
		{"event", model, true, events, "data: ", "x"},
		{"event of many lines", model, true, events, "", "data: {}\n"},
		{"events", model, true, events, "", "data: {\"choices\":[{}]}\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = lis.Close() })
			sent := 0
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				status := http.StatusOK
				if tt.name == "rejection" {
					status = http.StatusBadRequest
				}
				data := fmt.Sprintf("HTTP/1.1 %d x\r\n%s", status, tt.header)
				if tt.name != "head" {
					data += "\r\n"
				}
				part := strings.Repeat(tt.part, 1+(64<<10)/len(tt.part))
				for data += tt.start; ; data = part {
					n, err := io.WriteString(c, data)
					sent += n
					if err != nil {
						return
					}
				}
			}()
			r := &wire.RunRequest{Method: http.MethodPost, Path: "/x", Stream: tt.stream, Workspace: "w", Key: "k"}
			b := newBackend("http://"+lis.Addr().String(), &health{})
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, err = b.do(ctx, newRun(runKey{}, r), r, tt.pool)
			if err == nil {
				t.Fatal("the response passed for complete")
			}
			if f := sumachead.AsRefusal(err); f.Verdict != sumachead.MayHaveRun || f.Reason != sumachead.ReasonBadAnswer {
				t.Errorf("got %v", err)
			}
			if ctx.Err() != nil {
				t.Error("held until the deadline")
			}
			_ = lis.Close()
			<-done
			const maxSent = 24 << 20
			if sent > maxSent {
				t.Errorf("the server could send %d bytes", sent)
			}
		})
	}
}

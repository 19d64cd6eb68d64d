package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/settings"
)

// Guards against the part of a response that a server has sent before it gave up on an upload, and that passed
// for complete.
func TestResponseCutDuringUploadIsNotComplete(t *testing.T) {
	const (
		uploadSize, uploadPart = 8 << 20, 64 << 10

		resets       = "resets"
		closes       = "closes with unread bytes"
		ends         = "ends its direction and reads no more"
		endsAndReads = "ends its direction and reads the rest"
		readsAll     = "reads the rest and closes"
	)
	service, model := &settings.ResolvedPool{}, &settings.ResolvedPool{}
	for p, kind := range map[*settings.ResolvedPool]settings.PoolKind{service: settings.ServicePool, model: settings.ModelPool} {
		p.Kind, p.StuckAfter.Duration = kind, time.Minute
	}
	tests := []struct {
		pool     *settings.ResolvedPool
		status   int
		header   string
		end      string
		runs     int
		complete bool
	}{
		{service, 200, "", resets, 300, false},
		{service, 200, "", closes, 300, false},
		{service, 200, "", ends, 3, false},
		{service, 200, "", endsAndReads, 10, true},
		{service, 200, "", readsAll, 10, true},
		{service, 200, "Content-Length: 6\r\n", readsAll, 10, true},
		{model, 400, "", resets, 300, false},
		{model, 400, "", ends, 3, false},
		{model, 400, "", readsAll, 10, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s %d %q, the server %s", tt.pool.Kind, tt.status, tt.header, tt.end), func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = lis.Close() })
			serve := func(c *net.TCPConn) {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r.Body, uploadPart)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s\r\nbooked", tt.status, tt.header)
				switch tt.end {
				case resets:
					_ = c.SetLinger(0)
				case ends:
					_ = c.CloseWrite()
					<-t.Context().Done()
				case endsAndReads:
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, r.Body)
				case readsAll:
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go serve(c.(*net.TCPConn))
				}
			}()
			b := newBackend("http://"+lis.Addr().String(), &health{})
			wrong := 0
			for range tt.runs {
				r := &wire.RunRequest{Method: http.MethodPost, Path: "/x", Workspace: "w", Key: "k", Body: make([]byte, uploadSize)}
				_, err := b.do(t.Context(), newRun(runKey{}, r), r, tt.pool)
				if (err == nil) != tt.complete {
					wrong++
					t.Logf("complete %t, want %t (error %v)", err == nil, tt.complete, err)
				}
				if err != nil && sumachead.AsRefusal(err).Verdict != sumachead.MayHaveRun {
					t.Errorf("verdict of %v, want %s", err, sumachead.MayHaveRun)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses had the wrong outcome", wrong, tt.runs)
			}
		})
	}
}

package intake

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
)

// Guards against uploads that a stopping process waits for, though it takes no more requests.
func TestUploadsEndWhenNoMoreRequestsAreAccepted(t *testing.T) {
	accepting, end := context.WithCancel(context.Background())
	defer end()
	m := &BodyMemory{Accepting: accepting}
	reasons := make(chan sumachead.Reason, 1)
	s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reason := sumachead.Reason("")
		b, err := m.Read(w, r, Limits{})
		if err != nil {
			f := sumachead.AsRefusal(err)
			reason = f.Reason
			w.Header().Set("Connection", "close")
			w.WriteHeader(f.Reason.HTTPStatus())
		} else {
			b.Release()
		}
		if r.Method == http.MethodPost {
			reasons <- reason
		}
	})}
	startServer(t, s)
	upload := func(body string) (status int) {
		t.Helper()
		conn := dial(t, s)
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"+body); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(50*time.Millisecond, end)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	upload("0123456789")
	if diff := cmp.Diff(sumachead.Reason(""), <-reasons); diff != "" {
		t.Errorf("whole body (-want +got):\n%s", diff)
	}
	begun := time.Now()
	status := upload("01234")
	if diff := cmp.Diff(sumachead.ReasonStopping, <-reasons); diff != "" {
		t.Errorf("half of a body (-want +got):\n%s", diff)
	}
	if status != http.StatusServiceUnavailable || time.Since(begun) > time.Second {
		t.Errorf("status %d after %v", status, time.Since(begun))
	}
	if n := m.reserved.Load(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// Guards against requests that are taken and then ended as if their callers had gone.
func TestRequestsAcceptedLastAreNotEnded(t *testing.T) {
	const callers = 300
	accepting, end := context.WithCancel(context.Background())
	defer end()
	m := &BodyMemory{Accepting: accepting}
	var taken, refused, interrupted atomic.Int64
	s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := m.Read(w, r, Limits{})
		if err != nil {
			refused.Add(1)
			return
		}
		defer b.Release()
		select {
		case <-r.Context().Done():
			interrupted.Add(1)
		case <-time.After(20 * time.Millisecond):
			taken.Add(1)
		}
	})}
	startServer(t, s)
	taken.Store(0)
	var done sync.WaitGroup
	begun := time.Now().Add(200 * time.Millisecond)
	for i := range callers {
		conn := dial(t, s)
		done.Go(func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234")
			time.Sleep(time.Until(begun.Add(time.Duration(i-callers/2) * 20 * time.Microsecond)))
			_, _ = io.WriteString(conn, "56789")
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("no answer: %v", err)
			} else {
				_ = resp.Body.Close()
			}
		})
	}
	time.Sleep(time.Until(begun))
	end()
	done.Wait()
	if n := interrupted.Load(); n != 0 {
		t.Errorf("%d requests were ended", n)
	}
	if taken.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d requests were taken and %d refused: the end did not come between them", taken.Load(), refused.Load())
	}
}

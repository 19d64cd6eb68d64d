package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func TestLogLimiterLimitsEachMessage(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	l := &LogLimiter{PerSecond: 3}
	at := time.Unix(100, 0)
	written := 0
	for range 50 {
		if _, ok := l.allow("served", at); ok {
			written++
		}
	}
	if _, ok := l.allow("refused", at); !ok || written != 3 {
		t.Fatalf("%d lines with the same message, another message written: %t", written, ok)
	}
	suppressed, ok := l.allow("served", at.Add(time.Second))
	if !ok || suppressed != 47 {
		t.Fatalf("written %t, %d suppressed", ok, suppressed)
	}
	l.Info(log, "other", "field", 1)
	if !strings.Contains(out.String(), "other") {
		t.Fatalf("got %q", out.String())
	}
}

// blockedWriter is an output that nobody reads until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedReaderDoesNotBlockWrites(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	q := NewQueuedWriter(s)
	start := time.Now()
	for range 10 * maxQueuedLines {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(start); d > time.Second {
		t.Fatalf("writing took %v", d)
	}
	// All but the lines in the queue and in the batch that is being written.
	if minDropped := int64(9*maxQueuedLines - targetBatchBytes/len("line\n") - 1); q.total.Load() < minDropped {
		t.Fatalf("%d lines dropped, want at least %d", q.total.Load(), minDropped)
	}
	close(s.release)
	q.Close()
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	s := &blockedWriter{release: make(chan struct{})}
	q := NewQueuedWriter(writerFunc(func(p []byte) (int, error) {
		<-s.release
		return out.Write(p)
	}))
	for range 2 * maxQueuedLines {
		_, _ = q.Write([]byte("line\n"))
	}
	close(s.release)
	q.Close()
	if !strings.Contains(out.String(), "Log lines were dropped.") {
		t.Fatal("dropped lines are not reported")
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestWritingAfterTheEndIsHarmless(t *testing.T) {
	var out bytes.Buffer
	q := NewQueuedWriter(&out)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				_, _ = q.Write([]byte("line\n"))
			}
		})
	}
	q.Close()
	writers.Wait()
	if _, err := q.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
}

package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func TestLinesAreBoundedByKind(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	l := &Lines{PerSecond: 3}
	at := time.Unix(100, 0)
	written := 0
	for range 50 {
		if _, ok := l.take("served", at); ok {
			written++
		}
	}
	if _, ok := l.take("refused", at); !ok || written != 3 {
		t.Fatalf("%d lines of a kind, another kind written: %t", written, ok)
	}
	left, ok := l.take("served", at.Add(time.Second))
	if !ok || left != 47 {
		t.Fatalf("written %t, %d left out", ok, left)
	}
	l.Info(log, "other", "field", 1)
	if !strings.Contains(out.String(), "other") {
		t.Fatalf("got %q", out.String())
	}
}

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStoppedReaderHoldsNothingUp(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	q := NewQueuedWriter(s)
	begun := time.Now()
	for range 10 * queuedLines {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(begun); d > time.Second {
		t.Fatalf("writing took %v", d)
	}
	// All but what waits in the queue and in the batch that is being written.
	if least := int64(9*queuedLines - batchBytes/len("line\n") - 1); q.total.Load() < least {
		t.Fatalf("%d lines dropped, want %d at least", q.total.Load(), least)
	}
	close(s.release)
	q.Close()
}

func TestDroppedLinesAreTold(t *testing.T) {
	var out bytes.Buffer
	s := &stuck{release: make(chan struct{})}
	q := NewQueuedWriter(writerFunc(func(p []byte) (int, error) {
		<-s.release
		return out.Write(p)
	}))
	for range 2 * queuedLines {
		_, _ = q.Write([]byte("line\n"))
	}
	close(s.release)
	q.Close()
	if !strings.Contains(out.String(), "Log lines were dropped.") {
		t.Fatal("nothing tells that lines were dropped")
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

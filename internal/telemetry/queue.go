package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// queuedLines is how many lines may wait for a slow reader.
	queuedLines = 2048
	// batchBytes is from how many bytes on a write takes no further lines.
	batchBytes = 8 << 10
	// flushTimeout bounds the wait for a reader at the end of a process.
	flushTimeout = 300 * time.Millisecond
)

// QueuedWriter passes lines on without ever holding its caller up: what a slow
// reader does not take in is dropped and counted. It implements io.Writer.
type QueuedWriter struct {
	lines chan []byte
	// dropped counts lines since the last one that told of it, total all.
	dropped atomic.Int64
	total   atomic.Int64
	// stop is closed by Close, done when the last line has been passed on.
	stop  chan struct{}
	done  chan struct{}
	close sync.Once
}

// NewQueuedWriter returns a writer in front of w.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer; a call is one line.
func (q *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// run passes lines on until the writer is closed and nothing waits.
func (q *QueuedWriter) run(w io.Writer) {
	defer close(q.done)
	for {
		line, ok := q.next()
		if !ok {
			return
		}
		for len(line) < batchBytes && len(q.lines) > 0 {
			line = append(line, <-q.lines...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"@message\":\"Log lines were dropped.\",\"lines\":%d}\n", n)
		}
		if _, err := w.Write(line); err != nil {
			return // nobody reads; later lines are dropped by a full queue
		}
	}
}

// next waits for a line; ok is false once the writer is closed and none waits.
func (q *QueuedWriter) next() (line []byte, ok bool) {
	select {
	case line := <-q.lines:
		return line, true
	case <-q.stop:
	}
	select {
	case line := <-q.lines:
		return line, true
	default:
		return nil, false
	}
}

// Dropped tells to Prometheus how many lines a slow reader has cost.
func (q *QueuedWriter) Dropped() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sumachead_log_lines_dropped_total", Help: "Log lines that were dropped because the reader of the output was slow.",
	}, func() float64 { return float64(q.total.Load()) })
}

// Close passes on what waits, within a short time. What goroutines that still run
// write afterwards is dropped.
func (q *QueuedWriter) Close() {
	q.close.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

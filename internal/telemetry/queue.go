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
	// maxQueuedLines limits the lines that wait for a slow reader.
	maxQueuedLines = 2048
	// targetBatchBytes is the size from which no further lines are added to a write.
	targetBatchBytes = 8 << 10
	// flushTimeout limits the wait for the reader when the process ends.
	flushTimeout = 300 * time.Millisecond
)

// QueuedWriter writes lines asynchronously and never blocks its caller: lines that
// exceed the queue of a slow reader are dropped and counted. It implements io.Writer.
type QueuedWriter struct {
	lines chan []byte
	// dropped counts the dropped lines that are not yet reported, total all of them.
	dropped atomic.Int64
	total   atomic.Int64
	// stop is closed by Close, done when the last line has been written.
	stop  chan struct{}
	done  chan struct{}
	close sync.Once
}

// NewQueuedWriter returns a writer that queues lines for w.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer; each call must write one line.
func (q *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the writer is closed and the queue is empty.
func (q *QueuedWriter) run(w io.Writer) {
	defer close(q.done)
	for {
		line, ok := q.next()
		if !ok {
			return
		}
		for len(line) < targetBatchBytes && len(q.lines) > 0 {
			line = append(line, <-q.lines...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"@message\":\"Log lines were dropped.\",\"lines\":%d}\n", n)
		}
		if _, err := w.Write(line); err != nil {
			return // the reader is gone; the queue fills up and later lines are dropped
		}
	}
}

// next waits for a line; ok is false once the writer is closed and the queue is empty.
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

// DroppedLinesCounter returns the Prometheus counter of dropped lines.
func (q *QueuedWriter) DroppedLinesCounter() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sumachead_log_lines_dropped_total", Help: "Log lines that were dropped because the reader of the output was slow.",
	}, func() float64 { return float64(q.total.Load()) })
}

// Close flushes the queue, but waits for at most flushTimeout. Lines that goroutines
// write afterwards are dropped.
func (q *QueuedWriter) Close() {
	q.close.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

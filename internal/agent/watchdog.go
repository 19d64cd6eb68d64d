package agent

import (
	"io"
	"sync"
	"time"
)

// watchdog is a watchdog timer: it calls a function unless it is reset within the
// timeout.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	return &watchdog{timeout: timeout, timer: time.AfterFunc(timeout, onTimeout)}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()  { w.timer.Stop() }

// watchedReader is a reader that resets a watchdog when data arrives and reports the
// first byte.
type watchedReader struct {
	io.Reader
	watchdog    *watchdog
	health      *health
	onFirstByte func()
	once        sync.Once
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.once.Do(r.onFirstByte)
		r.watchdog.reset()
		r.health.dataReceived(time.Now())
	}
	return n, err
}

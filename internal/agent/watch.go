package agent

import (
	"io"
	"sync"
	"time"
)

// watch calls give when nothing has come for a while.
type watch struct {
	after time.Duration
	timer *time.Timer
}

func newWatch(after time.Duration, give func()) *watch {
	return &watch{after: after, timer: time.AfterFunc(after, give)}
}

func (w *watch) fed()  { w.timer.Reset(w.after) }
func (w *watch) stop() { w.timer.Stop() }

// watched is a reader that feeds a watch and notes the first byte.
type watched struct {
	io.Reader
	watch  *watch
	health *health
	first  func()
	once   sync.Once
}

// Read implements io.Reader.
func (r *watched) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.once.Do(r.first)
		r.watch.fed()
		r.health.heard(time.Now())
	}
	return n, err
}

package telemetry

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// linesASecond is how many lines of one kind a process writes in a second: more
// than it does at its usual load, and cheap to write.
const linesASecond = 20

// Lines bounds the lines of a part by kind: above a rate, lines of a kind are
// left out, and the next one that is written tells how many were. A kind is the
// message. It is safe for concurrent use.
type Lines struct {
	// PerSecond is the bound for each kind; 0 for the usual one.
	PerSecond int

	mu    sync.Mutex // guards kinds
	kinds map[string]*lineCount
}

// lineCount counts lines of one kind.
type lineCount struct {
	// second is the Unix second that written is about.
	second  int64
	written int
	// left is how many were left out since the last that was written.
	left int
}

// take reports whether a line of a kind may be written now, and how many were
// left out since the last.
func (l *Lines) take(kind string, now time.Time) (left int, ok bool) {
	most := l.PerSecond
	if most == 0 {
		most = linesASecond
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = make(map[string]*lineCount)
	}
	c := l.kinds[kind]
	if c == nil {
		c = &lineCount{}
		l.kinds[kind] = c
	}
	if s := now.Unix(); s != c.second {
		c.second, c.written = s, 0
	}
	if c.written >= most {
		c.left++
		return 0, false
	}
	c.written++
	left, c.left = c.left, 0
	return left, true
}

// Info writes a line unless there were too many of its kind.
func (l *Lines) Info(log hclog.Logger, message string, fields ...any) {
	left, ok := l.take(message, time.Now())
	if !ok {
		return
	}
	if left > 0 {
		fields = append(fields, "left_out", left)
	}
	log.Info(message, fields...)
}

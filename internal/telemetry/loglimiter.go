package telemetry

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// defaultLinesPerSecond is the default limit for each message. It is more than a process
// writes at its usual load, and cheap to write.
const defaultLinesPerSecond = 20

// LogLimiter limits the rate of log lines with the same message: lines above the rate
// are suppressed, and the next line written has the number of them in its field
// left_out. It is safe for concurrent use.
type LogLimiter struct {
	// PerSecond is the limit for each message; 0 for the default.
	PerSecond int

	mu     sync.Mutex // guards counts
	counts map[string]*lineCount
}

// lineCount counts the lines with one message.
type lineCount struct {
	// second is the Unix second that written refers to.
	second  int64
	written int
	// suppressed counts the lines suppressed since the last one written.
	suppressed int
}

// allow reports whether a line with this message may be written now, and how many were
// suppressed since the last one written.
func (l *LogLimiter) allow(message string, now time.Time) (suppressed int, ok bool) {
	limit := l.PerSecond
	if limit == 0 {
		limit = defaultLinesPerSecond
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]*lineCount)
	}
	c := l.counts[message]
	if c == nil {
		c = &lineCount{}
		l.counts[message] = c
	}
	if s := now.Unix(); s != c.second {
		c.second, c.written = s, 0
	}
	if c.written >= limit {
		c.suppressed++
		return 0, false
	}
	c.written++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

// Info logs a line unless its message is over the limit.
func (l *LogLimiter) Info(log hclog.Logger, message string, fields ...any) {
	suppressed, ok := l.allow(message, time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, "left_out", suppressed)
	}
	log.Info(message, fields...)
}

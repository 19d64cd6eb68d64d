package escrow

import (
	"time"

	"sumachead/internal/timeutil"
)

const (
	// liveTimeout is how long a holder counts as live after its last report, by the time of
	// reportClock: idleReportInterval, and the time in which a report that is lost is repeated. A
	// caller that is refused for a holder that is wrongly counted as gone does not retry, whereas
	// one that comes before a holder counts as gone is told to.
	liveTimeout = 6 * time.Second
	// maxReportGap is how much a time without any report counts at most, so that outages in short
	// succession do not make holders gone, whereas in a fleet with sparse traffic a holder that is
	// gone times out after a few reports of others.
	maxReportGap = time.Second
)

// reportClock measures the time in which holders could report: a time without any report, which
// may be an outage, counts as maxReportGap at most.
type reportClock struct {
	// startedAt is when the first report came, and reportedAt is when the last one came.
	startedAt, reportedAt time.Time
	// reading is startedAt and the time that has counted since.
	reading time.Time
}

// advance advances the clock to a report. It reports whether the time since the last report may
// have been an outage.
func (c *reportClock) advance(now time.Time) (outage bool) {
	if c.startedAt.IsZero() {
		c.startedAt, c.reportedAt, c.reading = now, now, now
		return false
	}
	gap := max(now.Sub(c.reportedAt), 0)
	c.reading = c.reading.Add(min(gap, maxReportGap))
	c.reportedAt = timeutil.Later(c.reportedAt, now)
	return gap >= idleReportInterval
}

// warmedUp reports whether all holders had the time to report.
func (c *reportClock) warmedUp() bool { return c.reading.Sub(c.startedAt) >= forecastWarmUp }

// advanceClock advances the clock to a report. After what may have been an outage, holders have
// liveTimeout again to report, but only once after a report of their own: with sparse traffic, any
// time without reports looks like an outage. The caller holds mu.
func (s *Allocator) advanceClock(now time.Time) {
	if !s.clock.advance(now) {
		return
	}
	for _, d := range s.holders {
		if !d.extended {
			d.lastReport, d.extended = s.clock.reading, true
		}
	}
}

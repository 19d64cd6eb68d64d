package boottime

import (
	"testing"
	"time"
)

// The clock goes on as the steady one does while the host is not suspended.
func TestClockGoesOn(t *testing.T) {
	var c Clock
	begun, from := time.Now(), c.Now()
	const lasts = 50 * time.Millisecond
	time.Sleep(lasts)
	took := c.Now().Sub(from)
	if most := time.Since(begun); took < lasts || took > most+lasts {
		t.Errorf("%v passed by it, between %v and %v did", took, lasts, most)
	}
}

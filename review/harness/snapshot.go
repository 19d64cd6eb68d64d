package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// changesWhileDown is how many configurations are sent while a core machine is down, and
	// downGap the time between them: 3.2 s in all.
	changesWhileDown = 40
	downGap          = 80 * time.Millisecond
	// entriesPerSnapshot is how many log entries a keeper replaces by a snapshot. A core machine goes
	// down changesBeforeSnapshot configurations before its leader does that, so that it needs the
	// snapshot to catch up; some entries of the log are no configurations.
	entriesPerSnapshot    = 400
	changesBeforeSnapshot = 25
	// maxRounds is how often the disruption of one machine is tried.
	maxRounds = 2
	// restartDelay is the delay after which a process that has ended is started again.
	restartDelay = time.Second
)

// runSnapshot: a core machine that was down for some seconds is killed once more while it catches up,
// and later stopped and started as planned; then the same happens to another one. What was
// acknowledged must outlast the loss of a third one.
func runSnapshot(ctx context.Context, r *record, trouble bool) error {
	d, err := newDeployment(r, 5, 1)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return err
	}
	o := &changes{d: d}
	if err := o.send(ctx, 1, 0); err != nil {
		return err
	}
	sleep(ctx, catchUpTime)
	cores := d.class(classCore)
	victims, other := cores[2:4], cores[1]
	for _, h := range victims {
		if err := o.disrupt(ctx, h, trouble); err != nil {
			return err
		}
	}
	for range 10 {
		for _, h := range victims {
			if err := d.startIfEnded(h); err != nil {
				return err
			}
		}
		sleep(ctx, restartDelay)
	}
	d.kill(other)
	r.printf("killed %s, the one machine whose loss is to be borne", other.name)
	sleep(ctx, catchUpTime)
	return d.readBack(ctx)
}

// disrupt plays rounds with a core machine until its process ends by itself.
func (o *changes) disrupt(ctx context.Context, h *host, trouble bool) error {
	for range maxRounds {
		before := entriesPerSnapshot - changesBeforeSnapshot - int(o.version%entriesPerSnapshot)
		if err := o.send(ctx, (before+entriesPerSnapshot)%entriesPerSnapshot, 0); err != nil {
			return err
		}
		if err := o.playRound(ctx, h, trouble); err != nil || !h.running() {
			return err
		}
	}
	return nil
}

// changes sends configurations with rising versions.
type changes struct {
	d       *deployment
	version uint64
}

// send sends n configurations, each until it is acknowledged, with a gap before each.
func (o *changes) send(ctx context.Context, n int, gap time.Duration) error {
	for range n {
		sleep(ctx, gap)
		o.version++
		if _, err := o.d.put(ctx, newConfiguration(o.version, newRoute("seats", "safe")), 0, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// playRound kills a core machine, starts it again after some changes, kills it while it catches up,
// and, once it has caught up, stops and starts it as planned.
func (o *changes) playRound(ctx context.Context, h *host, trouble bool) error {
	o.d.kill(h)
	o.d.r.printf("killed %s", h.name)
	if err := o.send(ctx, changesWhileDown, downGap); err != nil {
		return err
	}
	if err := o.d.startAndKill(ctx, h, trouble); err != nil {
		return err
	}
	if err := o.d.awaitConfiguration(ctx, h); err != nil {
		return err
	}
	if err := o.send(ctx, 5, 0); err != nil {
		return err
	}
	sleep(ctx, catchUpTime)
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-h.done
	o.d.r.printf("stopped %s with SIGTERM: %v", h.name, h.cmd.ProcessState)
	if err := o.d.start(h, false); err != nil {
		return err
	}
	sleep(ctx, restartDelay)
	return nil
}

// startAndKill starts a machine. With trouble, it kills the machine as soon as it has replaced its
// snapshot, and starts it again.
func (d *deployment) startAndKill(ctx context.Context, h *host, trouble bool) error {
	path := filepath.Join(h.dataDir(), "group", "snapshot")
	before, _ := os.Stat(path) // nil if there is none
	if err := d.start(h, false); err != nil {
		return err
	}
	d.r.printf("started %s", h.name)
	if !trouble {
		return nil
	}
	for begun := time.Now(); time.Since(begun) < 5*time.Second && ctx.Err() == nil; {
		now, err := os.Stat(path)
		if err != nil || before != nil && os.SameFile(before, now) {
			continue
		}
		d.kill(h)
		d.r.printf("killed %s %v after its start", h.name, time.Since(begun))
		return d.start(h, false)
	}
	return errors.New("the machine received no snapshot")
}

// awaitConfiguration waits until a machine answers with a configuration.
func (d *deployment) awaitConfiguration(ctx context.Context, h *host) error {
	for range 100 {
		if status, _ := d.order(ctx, http.MethodGet, h, "/v1/Config.Get", nil); status == http.StatusOK {
			d.r.printf("GET /v1/Config.Get at %s: %d", h.name, status)
			return nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			break
		}
	}
	return errors.New("the machine does not answer")
}

// startIfEnded starts a process that has ended by itself.
func (d *deployment) startIfEnded(h *host) error {
	if h.running() {
		return nil
	}
	d.r.printf("%s has ended by itself: %v", h.name, h.cmd.ProcessState)
	return d.start(h, false)
}

// readBack reads the configuration back from all core machines for three times the time within which
// orders are acknowledged.
func (d *deployment) readBack(ctx context.Context) error {
	for end := time.Now().Add(3 * ackTime); time.Now().Before(end); {
		for _, h := range d.class(classCore) {
			status, answer := d.order(ctx, http.MethodGet, h, "/v1/Config.Get", nil)
			d.r.printf("GET /v1/Config.Get at %s: %d, %d bytes", h.name, status, len(answer))
			if status == http.StatusOK {
				return nil
			}
		}
		sleep(ctx, 500*time.Millisecond)
	}
	return broken("no machine answers with the configuration for %v, although only one core machine of five is lost", 3*ackTime)
}

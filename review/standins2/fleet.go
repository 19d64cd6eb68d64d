package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone          = "brescia-a"
	zoneRegion    = "lombardia"
	heartbeatTime = 1200 * time.Millisecond
	// contactTime and recoverTime are bounds.contact_ms and bounds.recover_s of the settings.
	contactTime = 4 * time.Second
	recoverTime = 15 * time.Second
	// startTimeout limits how long the fleet may take to start.
	startTimeout = 30 * time.Second
	// maxPlayTime limits how long a case may take.
	maxPlayTime = 118 * time.Second
)

// nodeProgram is what deploy/system.toml runs for each of its roles.
const nodeProgram = "target/sumachead-node"

// errSetUp wraps errors because of which a case could not run.
var errSetUp = errors.New("the case could not run")

// recorder writes record.txt.
type recorder struct {
	outMu sync.Mutex // guards out
	out   io.Writer
	start time.Time
}

// log writes a line with the time since the start.
func (r *recorder) log(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ports are the ports that all machines of a fleet share.
type ports struct{ front, ready, control, internal int }

// fleet is a small deployment on loopback addresses, one for each machine.
type fleet struct {
	*recorder
	dir     string
	network string
	ports   ports
	keepers int
	routers int
	// bootstrapped is set once all processes have been started for the first time.
	bootstrapped bool

	mu sync.Mutex // guards processes
	// processes are the running processes by machine name.
	processes map[string]*process
}

// process is one process of the fleet.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newFleet returns a fleet that has not been started, with files in a temporary folder.
func newFleet(r *recorder, keepers, routers int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-fleet-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		recorder: r, dir: dir, keepers: keepers, routers: routers, processes: make(map[string]*process),
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	if f.ports, err = f.freePorts(); err != nil {
		return nil, err
	}
	// A case that hangs, or is told to stop, must leave no process behind.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxPlayTime):
		}
		f.log("verdict not played: out of time, or told to stop")
		f.stop()
		os.Exit(exitUnplayed)
	}()
	return f, nil
}

// freePorts returns ports that are free on the first machine; the others' addresses are as unused.
func (f *fleet) freePorts() (p ports, err error) {
	numbers := make([]int, 4)
	for i := range numbers {
		l, err := net.Listen("tcp", f.network+"1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		numbers[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{numbers[0], numbers[1], numbers[2], numbers[3]}, nil
}

// keeperIP and routerIP return the addresses of the machines, counted from 0.
func (f *fleet) keeperIP(i int) string { return fmt.Sprintf("%s%d", f.network, 1+i) }
func (f *fleet) routerIP(i int) string { return fmt.Sprintf("%s%d", f.network, 21+i) }

// replicaIP returns the address of a replica's machine.
func (f *fleet) replicaIP(i int) string { return fmt.Sprintf("%s%d", f.network, 41+i) }

// front returns where a router accepts clients.
func (f *fleet) front(i int) string { return fmt.Sprintf("%s:%d", f.routerIP(i), f.ports.front) }

// control returns the control addresses of the keepers.
func (f *fleet) control() (out []string) {
	for i := range f.keepers {
		out = append(out, fmt.Sprintf("%s:%d", f.keeperIP(i), f.ports.control))
	}
	return out
}

// settings returns the settings file of a machine; extra are the lines of its class.
func (f *fleet) settings(name, class, serves, ip string, extra ...string) string {
	seeds := f.control()
	lines := append([]string{
		"node_name=" + name, "role=" + class, "machine_class=" + class, "serves=" + serves, "ip=" + ip,
		"zone=" + zone, "region=" + zoneRegion, "zones." + zone + "=" + zoneRegion,
		fmt.Sprintf("port_range=%d,%d", f.ports.internal, f.ports.internal+15),
		"seeds=" + strings.Join(seeds[:min(len(seeds), 3)], ","),
		fmt.Sprintf("bootstrap=%t", !f.bootstrapped), "in_fault_budget=" + fmt.Sprint(class == "core"),
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=184", "limits.max_fds=4096", "limits.link_mbps=1000.0",
		"discovery=registration", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_delay_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=6",
		"bounds.drain_ms=2500", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2500",
		"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=6000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=96", "bounds.recover_s=15",
		"bounds.pass_ms=200", "bounds.again_s=10", "bounds.settle_ms=1500", "config_mode=highest",
	}, extra...)
	return strings.Join(lines, "\n") + "\n"
}

// start starts all keepers and routers, and waits until the routers are ready after a configuration has
// been accepted.
func (f *fleet) start(configuration map[string]any) error {
	for i := range f.keepers {
		if err := f.startKeeper(i); err != nil {
			return err
		}
	}
	for i := range f.routers {
		if err := f.startRouter(i); err != nil {
			return err
		}
	}
	f.bootstrapped = true
	if err := f.put(configuration); err != nil {
		return err
	}
	for i := range f.routers {
		if err := f.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// startKeeper starts a keeper.
func (f *fleet) startKeeper(i int) error {
	name, ip := fmt.Sprintf("core-%d", i+1), f.keeperIP(i)
	data := filepath.Join(f.dir, name+"-data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	return f.launch(name, f.settings(name, "core", "control", ip,
		fmt.Sprintf("listen.control=%s:%d", ip, f.ports.control), "limits.disk_mb=128", "data_dir="+data))
}

// startRouter starts a router.
func (f *fleet) startRouter(i int) error {
	name, ip := fmt.Sprintf("front-%d", i+1), f.routerIP(i)
	return f.launch(name, f.settings(name, "front", "front", ip, fmt.Sprintf("listen.front=%s", f.front(i)),
		fmt.Sprintf("listen.ready=%s:%d", ip, f.ports.ready), "limits.disk_mb=0"))
}

// launch starts a process with a settings file.
func (f *fleet) launch(name, settings string) error {
	path := filepath.Join(f.dir, name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(nodeProgram)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "SUMACHEAD_SETTINGS=" + path}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{name, c, make(chan struct{})}
	go func() {
		_ = c.Wait() // how it ended does not matter
		_ = out.Close()
		close(p.ended)
	}()
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	f.log("start   %s (%s)", name, nodeProgram)
	return nil
}

// signal sends a signal to a process that the fleet has started.
func (f *fleet) signal(name string, s syscall.Signal) error {
	f.log("signal  %v to %s", s, name)
	return f.process(name).command.Process.Signal(s)
}

// process returns the running process of a machine.
func (f *fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// restart kills keepers and routers at the same moment, and starts them again after a delay.
func (f *fleet) restart(keepers, routers []int, delay time.Duration) error {
	var names []string
	for _, i := range keepers {
		names = append(names, fmt.Sprintf("core-%d", i+1))
	}
	for _, i := range routers {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	for _, name := range names {
		if err := f.signal(name, syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, name := range names {
		<-f.process(name).ended
	}
	time.Sleep(delay)
	for _, i := range keepers {
		if err := f.startKeeper(i); err != nil {
			return err
		}
	}
	for _, i := range routers {
		if err := f.startRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the files.
func (f *fleet) stop() {
	f.mu.Lock()
	processes := slices.Collect(maps.Values(f.processes))
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill() // it may have ended
	}
	for _, p := range processes {
		<-p.ended
	}
	_ = os.RemoveAll(f.dir)
	f.log("stop    all processes have ended")
}

// put sends a configuration as the operator does, to one keeper after the other, until it is acknowledged.
func (f *fleet) put(configuration map[string]any) error {
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	addresses := f.control()
	for i, deadline := 0, time.Now().Add(startTimeout); time.Now().Before(deadline); i++ {
		resp, err := client.Post("http://"+addresses[i%len(addresses)]+"/v1/Config.Put", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.log("config  version %v acknowledged by %s", configuration["config_version"], addresses[i%len(addresses)])
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: no keeper acknowledged the configuration", errSetUp)
}

// awaitReady waits until a router is ready.
func (f *fleet) awaitReady(i int) error {
	client := &http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s:%d/v1/ready", f.routerIP(i), f.ports.ready)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.log("ready   front-%d", i+1)
			return nil
		}
	}
	return fmt.Errorf("%w: front-%d is not ready", errSetUp, i+1)
}

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The machine classes of the platform.
const (
	classFront = "front"
	classCore  = "core"
	classSide  = "side"
)

// serves names what the machines of a class serve.
var serves = map[string]string{classFront: "front", classCore: "control", classSide: "side"}

// zones are the zones of the deployment.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// The bounds of the deployment that a case uses.
const (
	heartbeatInterval = 1200 * time.Millisecond
	configApply       = 2000 * time.Millisecond
	contactTime       = 3000 * time.Millisecond
	catchUpTime       = 4 * time.Second
	ackTime           = 4 * time.Second
	grace             = 8 * time.Second
)

// maxSeeds is how many seeds a process is told.
const maxSeeds = 3

// host is a machine of the deployment, with the one process on it.
type host struct {
	name, class, ip, zone string
	// dir holds the settings file, the log and, on core machines, the data directory.
	dir  string
	cmd  *exec.Cmd
	done chan struct{}
}

// running reports whether the process of a host runs.
func (h *host) running() bool {
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// deployment is a set of machines. Its processes run at loopback addresses.
type deployment struct {
	r    *record
	root string
	dir  string
	// run is the command of each machine class.
	run   map[string][]string
	hosts []*host
	// subnet is the beginning of the machines' addresses, and port the first port of their ports.
	subnet string
	port   int
}

// Offsets of the ports from the first one.
const (
	frontPortOffset   = 0
	readyPortOffset   = 1
	controlPortOffset = 2
	innerPortOffset   = 10
	innerPorts        = 16
	portsNeeded       = 30
)

// newDeployment prepares a deployment without starting it.
func newDeployment(r *record, cores, fronts int) (*deployment, error) {
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	run, err := readCommands(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sumachead-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{r: r, root: root, dir: dir, run: run}
	if err := d.pickAddresses(); err != nil {
		return nil, err
	}
	for i := range cores {
		d.add(classCore, i)
	}
	for i := range fronts {
		d.add(classFront, i)
	}
	return d, nil
}

// findRoot returns the root of the repository: the closest parent with the deploy file.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("no deploy file in a parent folder")
}

// readCommands reads the command of each machine class from the deploy file.
func readCommands(path string) (map[string][]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	commands := make(map[string][]string)
	var command []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			command = strings.Fields(value)
		case "on":
			commands[value] = command
		}
	}
	return commands, lines.Err()
}

// pickAddresses picks a subnet of the loopback range and a range of ports that are free there.
func (d *deployment) pickAddresses() error {
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		d.port = 20000 + portsNeeded*rand.IntN(300)
		if portsFree(d.subnet+".11", d.port) && portsFree(d.subnet+".1", d.port) {
			return nil
		}
	}
	return errors.New("no free ports were found")
}

func portsFree(ip string, first int) bool {
	for p := first; p < first+portsNeeded; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// firstHost is the last part of the address of the first machine of each class.
var firstHost = map[string]int{classCore: 1, classFront: 11, classSide: 31}

// add adds a machine.
func (d *deployment) add(class string, i int) *host {
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("%s-%s-%d", class, zone, i+1), class: class, zone: zone, ip: fmt.Sprintf("%s.%d", d.subnet, firstHost[class]+i)}
	h.dir = filepath.Join(d.dir, h.name)
	d.hosts = append(d.hosts, h)
	return h
}

// class returns the machines of a class.
func (d *deployment) class(name string) (out []*host) {
	for _, h := range d.hosts {
		if h.class == name {
			out = append(out, h)
		}
	}
	return out
}

func (d *deployment) address(h *host, offset int) string {
	return fmt.Sprintf("%s:%d", h.ip, d.port+offset)
}

// dataDir returns the data directory of a core machine.
func (h *host) dataDir() string { return filepath.Join(h.dir, "data") }

// writeSettings writes the settings file of a machine.
func (d *deployment) writeSettings(h *host, bootstrap bool) error {
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return err
	}
	var seeds []string
	for _, c := range d.class(classCore)[:min(len(d.class(classCore)), maxSeeds)] {
		seeds = append(seeds, d.address(c, controlPortOffset))
	}
	lines := []string{
		"node_name=" + h.name, "role=" + h.class, "machine_class=" + h.class, "serves=" + serves[h.class], "ip=" + h.ip, "zone=" + h.zone, "region=amman",
		fmt.Sprintf("port_range=%d,%d", d.port+innerPortOffset, d.port+innerPortOffset+innerPorts-1),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap), fmt.Sprintf("in_fault_budget=%t", h.class == classCore),
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=280", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=128",
		"discovery=registration", "entry=vip", fmt.Sprintf("heartbeat_ms=%d", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_delay_s=2", fmt.Sprintf("bounds.contact_ms=%d", contactTime.Milliseconds()),
		fmt.Sprintf("bounds.ack_ms=%d", ackTime.Milliseconds()), fmt.Sprintf("bounds.catch_up_s=%d", int(catchUpTime.Seconds())),
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())), "bounds.loss_slack_ms=200",
		fmt.Sprintf("bounds.config_apply_ms=%d", configApply.Milliseconds()), "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=54", "bounds.recover_s=12", "config_mode=highest",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=amman")
	}
	switch h.class {
	case classFront:
		lines = append(lines, "listen.front="+d.address(h, frontPortOffset), "listen.ready="+d.address(h, readyPortOffset))
	case classCore:
		lines = append(lines, "listen.control="+d.address(h, controlPortOffset), "data_dir="+h.dataDir())
	}
	return os.WriteFile(filepath.Join(h.dir, "boot.conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process of a machine. Its data directory is created if there is none.
func (d *deployment) start(h *host, bootstrap bool) error {
	if err := d.writeSettings(h, bootstrap); err != nil {
		return err
	}
	if h.class == classCore {
		if err := os.MkdirAll(h.dataDir(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := d.run[h.class]
	if len(command) == 0 {
		return fmt.Errorf("the deploy file has no command for %s machines", h.class)
	}
	cmd := exec.Command(filepath.Join(d.root, command[0]), command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SUMACHEAD_SETTINGS=" + filepath.Join(h.dir, "boot.conf")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait() // callers look at ProcessState
		close(h.done)
	}()
	return nil
}

// startAll starts all processes for the first time.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := d.start(h, true); err != nil {
			return err
		}
	}
	d.r.printf("started %d processes at %s.x, ports from %d", len(d.hosts), d.subnet, d.port)
	return nil
}

// kill kills the process of a machine and waits for its end.
func (d *deployment) kill(h *host) {
	if h.running() {
		_ = h.cmd.Process.Kill() // it may have ended in the meantime
		<-h.done
	}
}

// close kills all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	for _, h := range d.hosts {
		d.kill(h)
	}
	if os.Getenv("KEEP") != "" {
		d.r.printf("kept %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir) // a temporary folder
}

// awaitReady waits until all front machines say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, h := range d.class(classFront) {
		for !d.isReady(ctx, h) {
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s is not ready", h.name)
			}
		}
	}
	return nil
}

// isReady asks a front machine whether it is ready, as the platform does.
func (d *deployment) isReady(ctx context.Context, h *host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(h, readyPortOffset)+"/v1/ready", nil)
	if err != nil {
		return false
	}
	q.Close = true
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// sleep waits and returns true; it returns false if ctx ends first.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// A fleet is a system of real node processes with the platform's settings. The test acts as
// the platform: an operator, registering backend servers and callers.

// fleetShape is the size of a fleet.
type fleetShape struct {
	keepers, routers, relays, engines, desks int
	// prepaid and scarce are as in a fleetDocument.
	prepaid, scarce int
	// linkMbps is the capacity of the hosts' links; 0 if it is not known.
	linkMbps float64
}

type fleet struct {
	*system
	shape fleetShape
	node  string
	// base is the second octet of the hosts' addresses, reserved by claim.
	base  int
	claim net.Listener

	innerPort   int // port of calls between processes
	frontPort   int
	readyPort   int
	controlPort int
	stop        context.CancelFunc
	ctx         context.Context
	replicas    map[string]*standin.Replica

	mu      sync.Mutex // guards the fields below
	callers []*caller
	// vacatedSpans are the times in which data halls were vacated, by the acknowledgements to the
	// operator.
	vacatedSpans []vacatedSpan
	// firstSeed is the index of the first keeper in the seed list that processes are given.
	firstSeed    int
	requestCount int
}

func newFleet(dir, node string, s fleetShape) *fleet {
	f := &fleet{
		system: newSystem(dir, "", "", shape{}), shape: s, node: node,
		innerPort: freePort(), frontPort: freePort(), readyPort: freePort(), controlPort: freePort(), replicas: make(map[string]*standin.Replica),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// startFleet starts a fleet for a test, once few enough others run, and stops it with the test.
func startFleet(t *testing.T, s fleetShape) *fleet {
	t.Helper()
	node, err := exec.LookPath("sumachead-node")
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t.TempDir(), node, s)
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	if err := f.build(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	if err := f.startAll(); err != nil {
		f.logStart(t)
		t.Fatal(err)
	}
	return f
}

// logStart prints the refusals of a fleet that does not serve, and the ends of its processes' logs.
func (f *fleet) logStart(t *testing.T) {
	const lastBytes = 1500
	for _, c := range f.callers {
		t.Log(c.sentAt.Format(time.StampMilli), c, c.refusal, c.err)
	}
	for _, name := range f.order {
		data, err := os.ReadFile(f.path(name + ".log"))
		t.Logf("%s, %v:\n%s", name, err, data[max(len(data)-lastBytes, 0):])
	}
}

// advertisedIP is the address at which others reach a host. The process itself binds to boundIP,
// with the test's proxy in between.
func (f *fleet) advertisedIP(i int) string { return fmt.Sprintf("127.%d.0.%d", f.base, i+1) }

func (f *fleet) boundIP(i int) string { return fmt.Sprintf("127.%d.0.%d", f.base+bindOffset, i+1) }

func (f *fleet) build() error {
	var err error
	if f.base, f.claim, err = claimBase(firstFleetBase, fleetBases); err != nil {
		return err
	}
	classes := []struct {
		name, serves string
		n            int
	}{{"keeper", "control", f.shape.keepers}, {"router", "front", f.shape.routers}, {"side", "side", f.shape.relays}}
	for _, c := range classes {
		for i := range c.n {
			if err := f.addHost(fmt.Sprintf("%s-%d", c.name, i+1), c.name, c.serves, hallName(i)); err != nil {
				return err
			}
		}
	}
	f.net.monitorKeepers(f)
	for i := range f.shape.engines {
		// An engine shares the host of a process that relays and tracks its load.
		beside := f.indexOf(fmt.Sprintf("side-%d", i%max(f.shape.relays, 1)+1))
		f.addServer(fmt.Sprintf("engine-%d", i+1), "pool", hallName(i), f.boundIP(beside))
	}
	for i := range f.shape.desks {
		f.addServer(fmt.Sprintf("desk-%d", i+1), "desk", hallName(i), f.serverHost())
	}
	return nil
}

// serverHost is the host of backend servers that share none with a process. No other run has this
// address, so that no requests of other runs arrive there.
func (f *fleet) serverHost() string { return fmt.Sprintf("127.%d.1.1", f.base) }

// addHost adds a process with its settings file and the proxy in front of it.
func (f *fleet) addHost(name, class, serves, hall string) error {
	i := len(f.order)
	p := &process{name: name, role: class, hall: hall, command: f.node, ip: f.boundIP(i), data: f.path(name + ".data")}
	p.rpc = fmt.Sprintf("%s:%d", f.boundIP(i), f.innerPort)
	f.processes[name] = p
	f.order = append(f.order, name)
	lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.advertisedIP(i), f.innerPort))
	if err != nil {
		return err
	}
	p.proxy = &proxy{
		lis: lis, target: p.rpc, labels: []string{hall, name, class}, net: f.net, labelsOf: f.labelsOf, done: make(chan struct{}),
	}
	p.env = []string{"SUMACHEAD_SETTINGS=" + f.path(name+".conf")}
	return f.writeSettings(i, p, serves, true)
}

// labelsOf returns the network labels of a caller by its address.
func (f *fleet) labelsOf(ip string) []string {
	for _, p := range f.processes {
		if p.ip == ip {
			return []string{p.hall, p.name, p.role}
		}
	}
	return []string{"operator"}
}

func (f *fleet) writeSettings(i int, p *process, serves string, first bool) error {
	f.mu.Lock()
	seed := f.firstSeed
	f.mu.Unlock()
	var seeds []string
	for k := range min(f.shape.keepers, initialKeepers) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.advertisedIP((seed+k)%f.shape.keepers), f.controlPort))
	}
	lines := []string{
		"node_name=" + p.name, "serves=" + serves, "ip=" + f.advertisedIP(i), "zone=" + p.hall,
		fmt.Sprintf("listen.front=%s:%d", f.advertisedIP(i), f.frontPort), fmt.Sprintf("listen.ready=%s:%d", f.advertisedIP(i), f.readyPort),
		fmt.Sprintf("listen.control=%s:%d", f.advertisedIP(i), f.controlPort), fmt.Sprintf("port_range=%d,%d", f.innerPort, f.innerPort+15),
		"zones.hall-1=r", "zones.hall-2=r", "zones.hall-3=r", "listen.inner=" + p.rpc, "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", first),
		"data_dir=" + p.data, "limits.memory_mb=200", "limits.max_fds=2000", "heartbeat_ms=300", "bounds.grace_s=6",
		"bounds.retry_budget_ratio=0.2", fmt.Sprintf("bounds.budget_extra=%d", retryExtra), "bounds.budget_window_s=10", "budget.priority_reserve=true", "a.later=field",
		fmt.Sprintf("limits.link_mbps=%g", f.shape.linkMbps),
		fmt.Sprintf("bounds.exposure_share=%g", exposureShare), fmt.Sprintf("bounds.exposure_slack=%d", exposureSlack),
		fmt.Sprintf("bounds.cold_overage=%g", coldOverage), fmt.Sprintf("bounds.cold_slack=%d", coldSlack),
	}
	// A process may read the file at any time, so replace it atomically.
	path := f.path(p.name + ".conf")
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// clearBootstrap rewrites the settings of all processes with bootstrap off.
func (f *fleet) clearBootstrap() error {
	for i, name := range f.order {
		p := f.processes[name]
		serves := map[string]string{"keeper": "control", "router": "front", "side": "side"}[p.role]
		if err := f.writeSettings(i, p, serves, false); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a simulated backend server on a host.
func (f *fleet) addServer(name, service, hall, host string) {
	r := &standin.Replica{
		ID: "i-" + name, Service: service, Hall: hall, Address: fmt.Sprintf("%s:%d", host, freePort()), ControlAddresses: f.controlAddresses,
		HeartbeatInterval: 300 * time.Millisecond, EventInterval: 3 * time.Millisecond, ResponseTime: 20 * time.Millisecond, Version: firstVersion,
	}
	f.runServer(name, r)
}

// runServer runs a simulated backend server.
func (f *fleet) runServer(name string, r *standin.Replica) {
	f.mu.Lock()
	f.replicas[name] = r
	f.mu.Unlock()
	go func() { _ = r.Run(f.ctx) }()
}

// controlAddresses lists the keepers' addresses for operators and backend servers.
func (f *fleet) controlAddresses() []string {
	var out []string
	for i, name := range f.order {
		if f.processes[name].role == "keeper" {
			out = append(out, fmt.Sprintf("%s:%d", f.advertisedIP(i), f.controlPort))
		}
	}
	return out
}

func (f *fleet) indexOf(name string) int {
	for i, n := range f.order {
		if n == name {
			return i
		}
	}
	return 0
}

func (f *fleet) startAll() error {
	for _, p := range f.processes {
		go p.proxy.run()
	}
	for _, name := range f.order {
		if err := f.start(f.processes[name]); err != nil {
			return err
		}
	}
	if err := f.declare(fleetDocument{number: 1, prepaid: f.shape.prepaid, scarce: f.shape.scarce}, startTimeout); err != nil {
		return err
	}
	if err := f.clearBootstrap(); err != nil {
		return err
	}
	return eventually(startTimeout, "all routers serve requests", func() bool {
		for i, name := range f.order {
			if f.processes[name].role == "router" && !f.isReady(i) {
				return false
			}
		}
		a := f.do(fleetRequest{kind: "stream", router: "router-1", events: 2})
		return a.complete
	})
}

func (f *fleet) isReady(i int) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/ready", f.advertisedIP(i), f.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) close() {
	f.stop()
	f.system.close()
	if f.claim != nil {
		_ = f.claim.Close()
	}
}

// leadingKeeper returns the keeper that leads according to its metrics, or "".
func (f *fleet) leadingKeeper() string {
	for _, name := range f.order {
		p := f.processes[name]
		if p.role != "keeper" || !p.running() || p.frozen {
			continue
		}
		if f.metric(name, "sumachead_keeper_leading ") == "1" {
			return name
		}
	}
	return ""
}

// retryExtra is the fixed number of retries in the settings of a fleet.
const retryExtra = 50

// fleetDocument is an operator's declaration.
type fleetDocument struct {
	number  int
	prepaid int
	// scarce is the budget of the workspace that urgent and other requests share; without one,
	// there is neither this workspace nor the urgent route.
	scarce int
	// routes is the number of additional routes without traffic.
	routes int
	// drop omits the route with this path prefix.
	drop string
	// bad makes the declaration invalid.
	bad bool
}

func (d fleetDocument) encode() []byte {
	type object = map[string]any
	routes := []any{}
	add := func(kind, prefix, service string, resumable bool, attempts, priority int) {
		if d.drop == prefix {
			return
		}
		routes = append(routes, object{
			"name": "r-" + prefix, "hostname": "h.example", "path_prefix": "/" + prefix + "/", "route_kind": kind, "timeout_ms": 6000,
			"target_latency_ms": 800, "gap_aim_ms": 400, "priority": priority, "backend": service, "max_attempts": attempts, "resumable": resumable,
		})
	}
	add("streaming", "stream", "pool", true, 2, 1)
	add("non_idempotent", "hold", "desk", false, 2, 1)
	add("safe", "check", "desk", false, 2, 1)
	tenants := []any{object{"name": "clerks", "api_keys": []string{"k"}, "prepaid": d.prepaid}}
	if d.scarce > 0 {
		add("streaming", "urgent", "pool", true, 2, 0)
		tenants = append(tenants, object{"name": scarceWorkspace, "api_keys": []string{scarceKey}, "prepaid": d.scarce})
	}
	for i := range d.routes {
		add("safe", fmt.Sprintf("idle-%d", i), "desk", false, 1, 1)
	}
	services := []any{
		object{
			"name": "pool", "max_conns": 200, "engine": object{"slots": 8, "stride": 1},
			"cold_start_s": coldDuration.Seconds(), "cold_per_s": coldRate,
		},
		object{"name": "desk", "max_conns": 200},
	}
	if d.bad {
		services = services[:1]
	}
	data, err := json.Marshal(object{
		"config_version": d.number, "routes": routes, "services": services, "limits": object{},
		"tenants": tenants,
	})
	if err != nil {
		panic(err) // plain maps can always be encoded
	}
	return data
}

// put sends a declaration to one keeper and returns the status, or 0 without a response.
func (f *fleet) put(address string, body []byte) int {
	return f.post("http://"+address+"/v1/Config.Put", bytes.NewReader(body))
}

// post sends one operator call and returns the status, or 0 without a response.
func (f *fleet) post(url string, body io.Reader) int {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// declare sends a declaration to the keepers in turn until one accepts it.
func (f *fleet) declare(d fleetDocument, timeout time.Duration) error {
	n := 0
	return eventually(timeout, fmt.Sprintf("declaration %d is accepted", d.number), func() bool {
		n++
		c := f.controlAddresses()
		return f.put(c[n%len(c)], d.encode()) == http.StatusOK
	})
}

// declarationAt returns the number of the current declaration according to one keeper, or 0 if
// unknown.
func (f *fleet) declarationAt(address string) int {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/Config.Get", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Number int `json:"config_version"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&d) != nil {
		return 0
	}
	return d.Number
}

// metric returns the value of a metric of a process, or "" if it is not available.
func (f *fleet) metric(process, name string) string {
	ctx, cancel := context.WithTimeout(f.ctx, 300*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:9464/metrics", f.advertisedIP(f.indexOf(process))), nil)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(body)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

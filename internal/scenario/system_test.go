package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/config"
	"sumachead/internal/keeperclient"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
	"sumachead/internal/standin"
	"sumachead/internal/strictjson"
	"sumachead/internal/tool"
)

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	workspaceKey = "clerks-key"
)

// shape is the size and configuration of a system.
type shape struct {
	keepers, routers, engines, bookings int
	slots                               int64
	budget                              int64
	cutOff                              settings.CutOffPolicy
	callCost                            int64
	engineArgs                          []string
	presumeAfter                        time.Duration
}

// system is a set of processes on loopback.
type system struct {
	dir       string
	daemon    string
	standin   string
	shape     shape
	net       *network
	processes map[string]*process
	order     []string
	client    *keeperclient.Client
	keepers   []config.Keeper
}

func newSystem(dir, daemon, standin string, s shape) *system {
	return &system{
		dir: dir, daemon: daemon, standin: standin, shape: s,
		net: newNetwork(), processes: make(map[string]*process),
	}
}

func hallName(i int) string { return fmt.Sprintf("hall-%d", i%3+1) }

// addProcess adds a process. Its RPC address gets a proxy from addProxy.
func (s *system) addProcess(name, role, hall string) *process {
	p := &process{name: name, role: role, hall: hall, command: s.daemon}
	p.ip = fmt.Sprintf("127.0.1.%d", len(s.order)+2)
	p.http = loopback(freePort())
	p.rpc = loopback(freePort())
	p.data = filepath.Join(s.dir, name+".data")
	s.processes[name] = p
	s.order = append(s.order, name)
	return p
}

// addProxy puts a proxy in front of a process and returns the proxy's address.
func (s *system) addProxy(p *process) (string, error) {
	lis, err := net.Listen("tcp", loopback(freePort()))
	if err != nil {
		return "", err
	}
	p.proxy = &proxy{
		lis: lis, target: p.rpc, labels: []string{p.hall, p.name}, net: s.net,
		labelsOf: s.labelsOf, done: make(chan struct{}),
	}
	return lis.Addr().String(), nil
}

func (s *system) labelsOf(ip string) []string {
	for _, p := range s.processes {
		if p.ip == ip {
			return []string{p.hall, p.name}
		}
	}
	return []string{"operator"}
}

// build adds the processes and writes their configuration files.
func (s *system) build() error {
	for i := range s.shape.keepers {
		p := s.addProcess(fmt.Sprintf("keeper-%d", i+1), "keeper", hallName(i))
		address, err := s.addProxy(p)
		if err != nil {
			return err
		}
		s.keepers = append(s.keepers, config.Keeper{ID: p.name, Hall: sumachead.HallID(p.hall), Address: address})
	}
	s.client = &keeperclient.Client{Keepers: s.keepers, Pool: &rpc.Pool{}}
	tree := s.settingsTree()
	for i := range s.shape.engines {
		if err := s.addServer(tree, fmt.Sprintf("assistant-%d", i+1), "assistant", hallName(i)); err != nil {
			return err
		}
	}
	for i := range s.shape.bookings {
		if err := s.addServer(tree, fmt.Sprintf("booking-%d", i+1), "booking", hallName(i)); err != nil {
			return err
		}
	}
	for i := range s.shape.routers {
		s.addProcess(fmt.Sprintf("router-%d", i+1), "router", hallName(i))
	}
	for _, p := range s.processes {
		if p.command == s.daemon {
			if err := s.writeConfig(p); err != nil {
				return err
			}
		}
	}
	data, err := strictjson.EncodeIndented(tree)
	if err != nil {
		return err
	}
	client, err := strictjson.EncodeIndented(config.Client{Keepers: s.keepers, TLS: config.TLS{Off: true}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path("tool.json"), client, 0o600); err != nil {
		return err
	}
	return os.WriteFile(s.path("settings.json"), data, 0o600)
}

func (s *system) path(name string) string { return filepath.Join(s.dir, name) }

// settingsTree returns the settings tree without backend servers.
func (s *system) settingsTree() *settings.Objects {
	const keyHash = "4034d6cbdc22bbb1602c840dddc58b1ea16fa324133376cf31ecb4219eaddbc0"
	return &settings.Objects{
		Branches: map[string]settings.Branch{
			"root": {}, "masar": {Parent: "root", Budget: "masar", Pools: []sumachead.PoolID{"assistant", "booking"}},
		},
		Workspaces: map[string]settings.Workspace{"clerks": {Branch: "masar", KeySHA256: []string{keyHash}}},
		Budgets:    map[string]settings.Budget{"masar": {}},
		Topups:     map[string]map[string]settings.Topup{"masar": {"t1": {Tokens: sumachead.Tokens(s.shape.budget)}}},
		Pools: map[string]settings.Pool{
			"assistant": {Kind: settings.ModelPool, Models: []string{"assistant"}, CutOff: s.shape.cutOff, StuckAfter: settings.Duration{Duration: 2 * time.Second}},
			"booking":   {Kind: settings.ServicePool, CallCost: sumachead.Tokens(s.shape.callCost), CutOff: s.shape.cutOff},
		},
		Servers: map[string]settings.Server{},
	}
}

// addServer adds a simulated backend server and its agent.
func (s *system) addServer(tree *settings.Objects, name, pool, hall string) error {
	backend := s.addProcess(name, "standin", hall)
	kind := "model"
	if pool == "booking" {
		kind = "service"
	}
	backend.command = s.standin
	backend.args = append([]string{"--listen", backend.http, "--kind", kind, "--slots", fmt.Sprint(s.shape.slots)}, s.shape.engineArgs...)
	agent := s.addProcess("agent-"+name, "agent", hall)
	address, err := s.addProxy(agent)
	if err != nil {
		return err
	}
	tree.Servers[name] = settings.Server{
		Pool: sumachead.PoolID(pool), Hall: sumachead.HallID(hall), Agent: address, Slots: s.shape.slots, Epoch: 1,
	}
	return nil
}

func (s *system) writeConfig(p *process) error {
	c := config.Config{
		Role: config.Role(p.role), Node: sumachead.NodeID(p.name), Hall: sumachead.HallID(p.hall),
		HTTP: p.http, DialFrom: p.ip, Keepers: s.keepers, TLS: config.TLS{Off: true}, LogLevel: "debug",
	}
	switch p.role {
	case "keeper":
		c.RPC, c.Data, c.PresumeAfter.Duration = p.rpc, p.data, s.shape.presumeAfter
	case "agent":
		c.RPC = p.rpc
		server := strings.TrimPrefix(p.name, "agent-")
		c.Agent = &config.Agent{Server: sumachead.ServerID(server), Backend: "http://" + s.processes[server].http}
	}
	data, err := strictjson.EncodeIndented(c)
	if err != nil {
		return err
	}
	p.args = []string{"--config", s.path(p.name + ".json")}
	return os.WriteFile(p.args[1], data, 0o600)
}

// startAll starts everything, applies the settings tree and waits until all processes are ready.
func (s *system) startAll() error {
	for _, p := range s.processes {
		if p.proxy != nil {
			go p.proxy.run()
		}
	}
	for _, name := range s.order {
		if err := s.start(s.processes[name]); err != nil {
			return err
		}
	}
	if err := s.applyTree(); err != nil {
		return err
	}
	return eventually(startTimeout, "all processes are ready", func() bool {
		for _, p := range s.processes {
			if p.role != "standin" && !s.ready(p) {
				return false
			}
		}
		return true
	})
}

func (s *system) applyTree() error {
	var out bytes.Buffer
	err := eventually(startTimeout, "the settings tree is applied", func() bool {
		out.Reset()
		return s.tool(&out, "settings", "apply", s.path("settings.json")) == 0
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, out.String())
	}
	return nil
}

func (s *system) tool(out *bytes.Buffer, args ...string) int {
	return tool.Run(append([]string{"--config", s.path("tool.json")}, args...), out, out)
}

func (s *system) ready(p *process) bool {
	resp, err := http.Get("http://" + p.http + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func eventually(timeout time.Duration, what string, f func() bool) error {
	deadline := time.Now().Add(timeout)
	for !f() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// close kills all processes.
func (s *system) close() {
	s.net.healAll()
	for _, p := range s.processes {
		if p.frozen {
			p.signal(syscall.SIGCONT)
		}
		p.kill()
		if p.proxy != nil {
			p.proxy.close()
		}
	}
}

// leader returns the name of the keeper that leads a group, or "".
func (s *system) leader(g sumachead.GroupID) string {
	votes := make(map[string]int)
	for _, k := range s.keepers {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		reply, err := keeperclient.CallKeeper[wire.StatusReply](ctx, s.client, k, "Keeper.Status", &wire.Empty{})
		cancel()
		if err != nil {
			continue
		}
		for _, x := range reply.GetGroups() {
			if x.GetGroup() == string(g) && x.GetLeader() == k.ID {
				votes[k.ID] = int(x.GetTerm())
			}
		}
	}
	best := ""
	for id, term := range votes {
		if best == "" || term > votes[best] {
			best = id
		}
	}
	return best
}

// resolve returns a process by its name, or the leading keeper for "leader" and
// "settings-leader".
func (s *system) resolve(name string) (*process, error) {
	switch name {
	case "leader":
		name = s.leader(keeperclient.GroupLedger)
	case "settings-leader":
		name = s.leader(keeperclient.GroupSettings)
	}
	p := s.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// ledger returns the ledger's state of the workspace and its budget.
func (s *system) ledger() (*wire.LookupReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return keeperclient.Call[wire.LookupReply](ctx, s.client, keeperclient.GroupLedger, "Ledger.Lookup", &wire.LookupRequest{Workspace: "clerks"})
}

// runsOf returns the runs recorded by the simulated servers whose names begin with prefix.
func (s *system) runsOf(prefix string) ([]*standin.Run, error) {
	all, err := s.recordOf(prefix)
	return all.Runs, err
}

// recordOf returns the merged records of the simulated servers whose names begin with prefix.
func (s *system) recordOf(prefix string) (all standin.Record, err error) {
	for _, p := range s.processes {
		if p.role != "standin" || !strings.HasPrefix(p.name, prefix) {
			continue
		}
		resp, err := http.Get("http://" + p.http + "/admin/runs")
		if err != nil {
			return all, err
		}
		var r standin.Record
		err = json.NewDecoder(resp.Body).Decode(&r)
		_ = resp.Body.Close()
		if err != nil {
			return all, err
		}
		all.Runs = append(all.Runs, r.Runs...)
		all.Refused += r.Refused
	}
	return all, nil
}

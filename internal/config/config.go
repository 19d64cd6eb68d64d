// Package config reads the settings file of one process: its role, addresses
// and data hall. Settings that operators change while the system runs are in
// the settings tree instead (package settings).
package config

import (
	"net"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"sumachead"
	"sumachead/internal/allot"
	"sumachead/internal/place"
	"sumachead/internal/settings"
	"sumachead/internal/strictjson"
)

// Role is what a process does in the system.
type Role string

// The roles of a process.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
	RoleKeeper Role = "keeper"
)

// Config is the settings file of one process.
type Config struct {
	Role     Role             `json:"role" doc:"router, agent or keeper."`
	Node     sumachead.NodeID `json:"node" doc:"Name of the process, unique in the system."`
	Hall     sumachead.HallID `json:"hall" doc:"Data hall that the process runs in."`
	RPC      string           `json:"rpc,omitempty" doc:"Listen address for RPC from other processes, host:port (agent and keeper)."`
	HTTP     string           `json:"http" doc:"Listen address for callers (router), health checks and metrics, host:port."`
	DialFrom string           `json:"dial_from,omitempty" doc:"Local IP address of outgoing connections to other processes, for hosts with several addresses."`
	LogLevel string           `json:"log_level,omitempty" doc:"debug, info (default), warn or error."`
	Keepers  []Keeper         `json:"keepers" doc:"All keepers of the system."`
	Data     string           `json:"data,omitempty" doc:"Data directory (keeper)."`
	// PresumeAfter is how long after its deadline an unsettled ledger entry is
	// presumed to have run and billed.
	PresumeAfter settings.Duration `json:"presume_after,omitzero" doc:"Time after its deadline at which an unsettled request is billed its upper bound (keeper); 60s if omitted."`
	Agent        *Agent            `json:"agent,omitempty" doc:"Backend server of the agent (agent)."`
	// Allotments and Placement select baseline policies for comparison.
	Allotments string `json:"allotments,omitempty" doc:"demand (default), equal, central or leases (keeper): how allotments of data halls are sized; all but demand are baselines."`
	Placement  string `json:"placement,omitempty" doc:"weighted (default), round_robin or least_outstanding (router): load-balancing policy."`
	TLS        TLS    `json:"tls" doc:"TLS between processes and with callers."`
}

// Keeper is the identity and address of a keeper.
type Keeper struct {
	ID      string           `json:"id" doc:"Node name of the keeper."`
	Hall    sumachead.HallID `json:"hall" doc:"Data hall of the keeper."`
	Address string           `json:"address" doc:"RPC address of the keeper, host:port."`
}

// Agent configures an agent and its backend server.
type Agent struct {
	Server        sumachead.ServerID `json:"server" doc:"Id of the backend server in the settings tree."`
	Backend       string             `json:"backend" doc:"Base URL of the backend server."`
	RetainedBytes int64              `json:"retained_bytes,omitempty" doc:"Maximum bytes of complete responses retained for retries; 8388608 if omitted."`
}

// Client is the settings file of the operators' command-line tool.
type Client struct {
	Keepers []Keeper `json:"keepers" doc:"All keepers of the system."`
	TLS     TLS      `json:"tls" doc:"TLS with the keepers."`
}

// TLS names the certificate files of a process. Certificates are reloaded when
// the files change.
type TLS struct {
	Off        bool   `json:"off,omitempty" doc:"Disables TLS; the files must then be omitted."`
	CA         string `json:"ca,omitempty" doc:"PEM file of the certificate authority that signs the certificates of all processes."`
	Cert       string `json:"cert,omitempty" doc:"PEM file of the process's certificate."`
	Key        string `json:"key,omitempty" doc:"PEM file of the private key of cert."`
	CallerCert string `json:"caller_cert,omitempty" doc:"PEM file of the certificate presented to callers (router); cert if omitted."`
	CallerKey  string `json:"caller_key,omitempty" doc:"PEM file of the private key of caller_cert."`
}

// defaultPresumeAfter leaves the processes that know a request's outcome time
// to settle it.
const defaultPresumeAfter = time.Minute

// defaultRetainedBytes bounds the complete responses that an agent retains.
const defaultRetainedBytes = 8 << 20

// ReadFile reads and validates the settings file of a process.
func ReadFile(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c := &Config{}
	if err := strictjson.Decode(path, data, c); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, trace.BadParameter("%s: %s", path, trace.UserMessage(err))
	}
	return c, nil
}

// ReadClientFile reads and validates the settings file of the tool.
func ReadClientFile(path string) (*Client, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c := &Client{}
	if err := strictjson.Decode(path, data, c); err != nil {
		return nil, err
	}
	for _, err := range []error{checkKeepers(c.Keepers), c.TLS.check()} {
		if err != nil {
			return nil, trace.BadParameter("%s: %s", path, trace.UserMessage(err))
		}
	}
	return c, nil
}

func (c *Config) check() error {
	checks := []func() error{c.checkCommon, c.checkRole, c.checkMembership, c.TLS.check}
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkCommon() error {
	if c.Node == "" {
		return trace.BadParameter("node: missing")
	}
	if c.Hall == "" {
		return trace.BadParameter("hall: missing")
	}
	if c.DialFrom != "" && net.ParseIP(c.DialFrom) == nil {
		return trace.BadParameter("dial_from: %q is not an IP address", c.DialFrom)
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		return trace.BadParameter("log_level: %q is not a log level", c.LogLevel)
	}
	return checkAddress("http", c.HTTP)
}

func (c *Config) checkRole() error {
	switch c.Role {
	case RoleRouter:
		return c.checkPlacement()
	case RoleAgent:
		if err := checkAddress("rpc", c.RPC); err != nil {
			return err
		}
		return c.checkAgent()
	case RoleKeeper:
		if c.Data == "" {
			return trace.BadParameter("data: missing")
		}
		if allot.New(c.Allotments) == nil {
			return trace.BadParameter("allotments: unknown policy %q", c.Allotments)
		}
		if c.PresumeAfter.Duration == 0 {
			c.PresumeAfter.Duration = defaultPresumeAfter
		}
		return checkAddress("rpc", c.RPC)
	}
	return trace.BadParameter("role: %q is none of router, agent and keeper", c.Role)
}

func (c *Config) checkPlacement() error {
	if place.New(c.Placement) == nil {
		return trace.BadParameter("placement: unknown policy %q", c.Placement)
	}
	return nil
}

func (c *Config) checkAgent() error {
	a := c.Agent
	if a == nil {
		return trace.BadParameter("agent: missing")
	}
	if a.Server == "" {
		return trace.BadParameter("agent.server: missing")
	}
	if u, err := url.Parse(a.Backend); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return trace.BadParameter("agent.backend: %q is not an http URL", a.Backend)
	}
	if a.RetainedBytes < 0 {
		return trace.BadParameter("agent.retained_bytes: %d is below 0", a.RetainedBytes)
	}
	if a.RetainedBytes == 0 {
		a.RetainedBytes = defaultRetainedBytes
	}
	return nil
}

// checkMembership checks the list of keepers and, for a keeper, that the list
// includes it.
func (c *Config) checkMembership() error {
	if err := checkKeepers(c.Keepers); err != nil {
		return err
	}
	isSelf := func(k Keeper) bool { return k.ID == string(c.Node) }
	if c.Role == RoleKeeper && !slices.ContainsFunc(c.Keepers, isSelf) {
		return trace.BadParameter("keepers: this node, %q, is not in the list", c.Node)
	}
	return nil
}

func checkKeepers(keepers []Keeper) error {
	if len(keepers) == 0 {
		return trace.BadParameter("keepers: missing")
	}
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, k := range keepers {
		if k.ID == "" || ids[k.ID] {
			return trace.BadParameter("keepers.%d.id: %q is missing or a duplicate", i, k.ID)
		}
		if k.Hall == "" {
			return trace.BadParameter("keepers.%d.hall: missing", i)
		}
		if err := checkAddress("keepers."+k.ID+".address", k.Address); err != nil {
			return err
		}
		if addresses[k.Address] {
			return trace.BadParameter("keepers.%d.address: %s is a duplicate", i, k.Address)
		}
		ids[k.ID], addresses[k.Address] = true, true
	}
	return nil
}

func (t *TLS) check() error {
	if t.Off {
		if t.CA+t.Cert+t.Key+t.CallerCert+t.CallerKey != "" {
			return trace.BadParameter("tls.off: certificate files are set although TLS is off")
		}
		return nil
	}
	files := []struct{ name, path string }{{"ca", t.CA}, {"cert", t.Cert}, {"key", t.Key}}
	for _, f := range files {
		if f.path == "" {
			return trace.BadParameter("tls.%s: missing (or set tls.off)", f.name)
		}
	}
	if (t.CallerCert == "") != (t.CallerKey == "") {
		return trace.BadParameter("tls.caller_cert: requires tls.caller_key, and vice versa")
	}
	return nil
}

func checkAddress(field, address string) error {
	if address == "" {
		return trace.BadParameter("%s: missing address", field)
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return trace.BadParameter("%s: %q is not host:port", field, address)
	}
	return nil
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// orderTimeout is how long an operator or a replica waits for an answer before it moves on.
const orderTimeout = time.Second

// route is a route of a configuration.
type route struct {
	Name        string  `json:"name"`
	Hostname    string  `json:"hostname"`
	PathPrefix  string  `json:"path_prefix"`
	Kind        string  `json:"route_kind"`
	TimeoutMs   float64 `json:"timeout_ms"`
	LatencyMs   float64 `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Backend     string  `json:"backend"`
	MaxAttempts int     `json:"max_attempts"`
	Public      bool    `json:"public"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
}

// service is a service of a configuration.
type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// configuration is what an operator sends.
type configuration struct {
	Version  uint64           `json:"config_version"`
	Routes   []route          `json:"routes"`
	Services []service        `json:"services"`
	Limits   map[string]int64 `json:"limits"`
}

// newConfiguration returns a configuration with one service.
func newConfiguration(version uint64, routes ...route) *configuration {
	return &configuration{
		Version: version, Routes: routes,
		Services: []service{{Name: serviceName, HealthPath: healthPath, MaxConns: 100, Protocol: "h1"}},
		Limits:   map[string]int64{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Names in the configurations.
const (
	serviceName = "booking-api"
	hostname    = "ficu95.example"
	healthPath  = "/health"
)

// newRoute returns a route to the service.
func newRoute(name, kind string) route {
	return route{
		Name: "r-" + name, Hostname: hostname, PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 1000, LatencyMs: 150, Backend: serviceName,
		MaxAttempts: 2, Public: true,
	}
}

// put sends a configuration to the core machines in turn, from a given one on, until it is
// acknowledged or time is over. It returns when it was acknowledged.
func (d *deployment) put(ctx context.Context, c *configuration, first int, limit time.Duration) (time.Time, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	cores := d.class(classCore)
	pause := 20 * time.Millisecond
	for i := first; ctx.Err() == nil; i++ {
		h := cores[i%len(cores)]
		status, _ := d.order(ctx, http.MethodPost, h, "/v1/Config.Put", body)
		d.r.printf("POST /v1/Config.Put of version %d at %s: %d", c.Version, h.name, status)
		if status == http.StatusOK {
			return time.Now(), nil
		}
		if !sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, 300*time.Millisecond)
	}
	return time.Time{}, errors.New("the configuration was not acknowledged")
}

// order makes one call to a core machine; the status is 0 if there is no answer in time.
func (d *deployment) order(ctx context.Context, method string, h *host, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(h, controlPortOffset)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, data
}

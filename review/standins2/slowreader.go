package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowClients = 8
	// readingPause is how long a slow client does not read.
	readingPause = 4 * time.Second
	answerBytes  = 512 << 10
)

// slowReader lets clients pause for some seconds while they read a long answer, well within their deadline
// and the route's timeout. Each answer must still arrive whole.
func slowReader(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	answer := strings.Repeat("0123456789abcdef", answerBytes/16)
	for i := range 2 {
		s := &replica{
			fleet: f, id: "i-" + string(rune('a'+i)), service: "archive", address: f.replicaIP(i) + ":8080", slots: 16,
			run: func(s *replica, w http.ResponseWriter, q *http.Request) {
				size := 100
				if strings.HasSuffix(q.URL.Path, "long") {
					size = answerBytes
				}
				f.log("replica %s runs %s", s.id, q.Header.Get("Request-Id"))
				n, err := io.WriteString(w, answer[:size])
				f.log("replica %s has answered %s: %d bytes, %v", s.id, q.Header.Get("Request-Id"), n, err)
			},
		}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := f.start(plainConfiguration()); err != nil {
		return false, err
	}
	time.Sleep(contactTime + heartbeatTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range slowClients {
		wg.Go(func() {
			whole := readSlowly(f, i, trouble)
			mu.Lock()
			defer mu.Unlock()
			if !whole {
				lost++
			}
		})
	}
	wg.Wait()
	const allowed = 3
	f.log("result  %d of %d answers were cut off on kept connections; %d are allowed", lost, slowClients, allowed)
	return lost > allowed, nil
}

// readSlowly sends a short request and then one with a long answer on the same connection, and reports
// whether the long answer arrived whole.
func readSlowly(f *fleet, i int, trouble bool) bool {
	name := "c" + string(rune('1'+i))
	c, err := f.dial(name, f.front(i%f.routers))
	if err != nil {
		f.log("client  %s: %v", name, err)
		return true // it sent nothing
	}
	defer c.close()
	for _, kind := range []string{"short", "long"} {
		if err := c.send(http.MethodPost, "/archive/"+kind, name+"-"+kind, "Deadline-Ms: 15000"); err != nil {
			f.log("client  %s: %v", name, err)
			return true
		}
		resp, err := c.head()
		if err != nil {
			f.log("client  %s gets no answer to %s: %v", name, kind, err)
			return false
		}
		if kind == "long" && trouble {
			time.Sleep(readingPause)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		f.log("client  %s gets %d to %s, %d of %d bytes, %v", name, resp.StatusCode, kind, n, resp.ContentLength, err)
		if err != nil {
			return false
		}
	}
	return true
}

// plainConfiguration is a configuration with one service whose requests may be repeated.
func plainConfiguration() map[string]any {
	return map[string]any{
		"config_version": 1,
		"routes": []any{map[string]any{
			keyName: "r-archive", "hostname": "svc.example", "path_prefix": "/archive/", "route_kind": "non_idempotent", "timeout_ms": 15000,
			"target_latency_ms": 1500, "priority": 1, "backend": "archive", "max_attempts": 2, "public": true, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{keyName: "archive", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

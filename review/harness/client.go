package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// clientDeadline is how long a client waits for its answer.
const clientDeadline = time.Second

// call sends one request to a front machine on a connection of its own and returns the status; 0 if
// there was no whole answer.
func (d *deployment) call(ctx context.Context, h *host, id, path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(h, frontPortOffset)+path, nil)
	if err != nil {
		return 0, ""
	}
	q.Host, q.Close = hostname, true
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	return a.StatusCode, string(data)
}

// callAll sends a request to each front machine and returns the statuses by name.
func (d *deployment) callAll(ctx context.Context, label, path string) map[string]int {
	out := make(map[string]int)
	for i, h := range d.class(classFront) {
		id := fmt.Sprintf("%s-%d-%d", label, i, time.Now().UnixNano())
		status, body := d.call(ctx, h, id, path)
		d.r.printf("request %s GET %s at %s: %d %q", id, path, h.name, status, body)
		out[h.name] = status
	}
	return out
}

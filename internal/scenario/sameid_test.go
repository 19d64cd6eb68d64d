package scenario

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A backend server that starts again under the id that it had is another life of it: what its
// earlier life had said of itself, that it leaves included, holds no more.
func TestServerThatStartsAgainUnderItsID(t *testing.T) {
	tests := []struct {
		name string
		// before is what its earlier life does.
		before func(f *fleet) bool
	}{
		{"after a crash", func(*fleet) bool { return true }},
		{"after it has said that it leaves", func(f *fleet) bool { return f.server["engine-1"].Drain(context.Background()) }},
		{"after it has left", func(f *fleet) bool { return f.server["engine-1"].Leave(context.Background()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 2, relays: 1, engines: 1, prepaid: 10_000_000})
			const beats = 4 * 300 * time.Millisecond // more heartbeats than its next life will have sent
			time.Sleep(beats)
			if !tt.before(f) {
				t.Fatal("nobody acknowledged")
			}
			f.server["engine-1"].StartUnderID()
			begun := time.Now()
			if err := eventually(startTimeout, "its next life is served", func() bool {
				return f.ask(fleetRequest{kind: "stream", router: "router-1", events: 2}).whole && f.ask(fleetRequest{kind: "stream", router: "router-2", events: 2}).whole
			}); err != nil {
				t.Fatal(err)
			}
			const within = 1500 * time.Millisecond // some heartbeats
			if d := time.Since(begun); d > within {
				t.Errorf("served after %v", d)
			}
			// It goes on to be: heartbeats of this life count.
			const silent = 6 * 300 * time.Millisecond
			time.Sleep(silent)
			if got := f.registered(); !strings.Contains(got, "ready 1") {
				t.Errorf("after some more heartbeats: %s", got)
			}
			if broken := f.promises(f.shape.prepaid); len(broken) > 0 {
				t.Errorf("broken:\n%s", strings.Join(broken, "\n"))
			}
		})
	}
}

// Heartbeats of other writers name no server to use, whatever they lack, and harm none that
// tells of itself as it should.
func TestHeartbeatsOfOtherWriters(t *testing.T) {
	const good = `"backend":"pool","address":"127.0.0.1:9","zone":"hall-1","slots":8,"state":"ready","call_seq":1,"cold_left_ms":0`
	tests := []struct {
		name, body string
	}{
		{"bytes that can't be read", "\xff{"},
		{"nothing", ``},
		{"a list", `[1]`},
		{"an address missing", `{` + strings.Replace(good, `"address":"127.0.0.1:9",`, "", 1) + `}`},
		{"an address without a port", `{` + strings.Replace(good, "127.0.0.1:9", "127.0.0.1", 1) + `}`},
		{"an address that is a name", `{` + strings.Replace(good, "127.0.0.1:9", "engine:9", 1) + `}`},
		{"an address of another type", `{` + strings.Replace(good, `"127.0.0.1:9"`, "9", 1) + `}`},
		{"a service missing", `{` + strings.Replace(good, `"backend":"pool",`, "", 1) + `}`},
		{"a state that there is not", `{` + strings.Replace(good, "ready", "steady", 1) + `}`},
		{"a state missing", `{` + strings.Replace(good, `"state":"ready",`, "", 1) + `}`},
		{"a data hall that there is not", `{` + strings.Replace(good, "hall-1", "hall-9", 1) + `}`},
		{"slots of another type", `{` + strings.Replace(good, `"slots":8`, `"slots":"8"`, 1) + `}`},
		{"a sequence that is no whole number", `{` + strings.Replace(good, `"call_seq":1`, `"call_seq":1.5`, 1) + `}`},
		{"a sequence missing", `{` + strings.Replace(good, `"call_seq":1,`, "", 1) + `}`},
		{"a cold time below nothing", `{` + strings.Replace(good, `"cold_left_ms":0`, `"cold_left_ms":-5`, 1) + `}`},
		{"a start that is no whole number", `{` + good + `,"born":"yesterday"}`},
		{"a start before all time", `{` + good + `,"born":-1}`},
		{"no start, where its service tells them", `{` + good + `}`},
	}
	f := startFleet(t, fleetShape{keepers: 3, routers: 1, relays: 1, engines: 2, prepaid: 10_000_000})
	for i, tt := range tests {
		// Under an id of its own, and under that of a server that is known.
		for _, id := range []string{"i-foreign", "i-engine-1"} {
			c := f.controls()
			status := f.post("http://"+c[i%len(c)]+"/v1/Replicas.Heartbeat/"+id, strings.NewReader(tt.body))
			if status != http.StatusBadRequest {
				t.Errorf("%s, as %s: status %d", tt.name, id, status)
			}
		}
	}
	if got := f.registered(); !strings.Contains(got, "ready 2") {
		t.Errorf("known: %s", got)
	}
	for range 20 {
		if c := f.ask(fleetRequest{kind: "stream", router: "router-1", events: 2}); !c.whole {
			t.Errorf("a request: %v %s", c, c.refusal)
		}
	}
}

// registered tells how many servers the leading keeper knows to be ready, by its figures.
func (f *fleet) registered() string {
	var got string
	_ = eventually(3*time.Second, "a leader", func() bool {
		leader := f.leaderOf()
		if leader == "" {
			return false
		}
		got = f.metric(leader, "sumachead_servers ")
		return got != ""
	})
	return "ready " + got
}

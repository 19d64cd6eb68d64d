package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/rpc"
	"sumachead/internal/settings"
)

func TestSilentSince(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	after := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	type server struct {
		silent  int // seconds after start; 0 for a responding server
		leaving bool
	}
	tests := []struct {
		name    string
		servers []server
		refused time.Time
		want    time.Time
	}{
		{"no servers", nil, time.Time{}, time.Time{}},
		{"no servers, one refused", nil, after(3), after(3)},
		{"all respond", []server{{}, {}}, time.Time{}, time.Time{}},
		{"last server to become silent", []server{{silent: 5}, {silent: 9}, {silent: 7}}, time.Time{}, after(9)},
		{"refusal after the silence began", []server{{silent: 5}}, after(6), after(6)},
		{"refusal before the silence began", []server{{silent: 5}}, after(4), after(5)},
		{"leaving server does not count", []server{{silent: 5}, {silent: 9, leaving: true}}, time.Time{}, after(5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			links := newLinkTable(&rpc.Pool{})
			pool := &settings.ResolvedPool{}
			for i, s := range tt.servers {
				name := string(rune('a' + i))
				r := settings.ResolvedServer{ID: sumachead.ServerID(name), Server: settings.Server{Agent: name}}
				if s.leaving {
					r.State = settings.ServerLeaving
				}
				if s.silent > 0 {
					links.get(&r).downSince = after(s.silent)
				}
				pool.Servers = append(pool.Servers, r)
			}
			if diff := cmp.Diff(tt.want, links.silentSince(pool, tt.refused)); diff != "" {
				t.Errorf("silent since (-want +got):\n%s", diff)
			}
		})
	}
}

// An agent counts as silent from the first failed call until it responds. Further failed
// calls must not move that time.
func TestSilence(t *testing.T) {
	since := time.Now().Add(-time.Hour)
	// The agent is no longer probed, and a call by a request has failed once more.
	l := &link{client: &rpc.Client{Address: "127.0.0.1:1"}, downSince: since}
	l.markDown()
	if diff := cmp.Diff(since, l.silentSince()); diff != "" {
		t.Errorf("after another failure (-want +got):\n%s", diff)
	}
	l.recordLoad(&wire.Load{})
	if !l.silentSince().IsZero() {
		t.Error("silent after it responded")
	}
	l.markDown()
	if !l.silentSince().After(since) {
		t.Error("silent since before it responded")
	}
	l.recordLoad(&wire.Load{}) // stops the probing
}

func TestMayWaitForServer(t *testing.T) {
	tests := []struct {
		verdict sumachead.Verdict
		reason  sumachead.Reason
		want    bool
	}{
		{sumachead.NotRun, sumachead.ReasonServerUnreached, true},
		{sumachead.NotRun, sumachead.ReasonSettingsStale, true},
		{sumachead.NotRun, sumachead.ReasonBusy, false},
		{sumachead.NotRun, sumachead.ReasonLeaving, false},
		{sumachead.MayHaveRun, sumachead.ReasonServerUnreached, false},
		{sumachead.Ran, sumachead.ReasonServerUnreached, false},
	}
	for _, tt := range tests {
		got := mayWaitForServer(&sumachead.Refusal{Verdict: tt.verdict, Reason: tt.reason})
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s, %s (-want +got):\n%s", tt.verdict, tt.reason, diff)
		}
	}
}

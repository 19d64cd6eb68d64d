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
		silent  int // seconds after start; 0 for one that answers
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
		{"all answer", []server{{}, {}}, time.Time{}, time.Time{}},
		{"the last to fall silent", []server{{silent: 5}, {silent: 9}, {silent: 7}}, time.Time{}, after(9)},
		{"a refusal after it", []server{{silent: 5}}, after(6), after(6)},
		{"a refusal before it", []server{{silent: 5}}, after(4), after(5)},
		{"one that leaves does not count", []server{{silent: 5}, {silent: 9, leaving: true}}, time.Time{}, after(5)},
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

// An agent has been silent since it was first not reached, however often that is found,
// until it answers.
func TestSilence(t *testing.T) {
	since := time.Now().Add(-time.Hour)
	// It is not probed any more, and a request has asked in vain once again.
	l := &link{client: &rpc.Client{Address: "127.0.0.1:1"}, downSince: since}
	l.markDown()
	if diff := cmp.Diff(since, l.silent()); diff != "" {
		t.Errorf("after another failure (-want +got):\n%s", diff)
	}
	l.learn(&wire.Load{})
	if !l.silent().IsZero() {
		t.Error("silent after it answered")
	}
	l.markDown()
	if !l.silent().After(since) {
		t.Error("silent since before it answered")
	}
	l.learn(&wire.Load{}) // ends the probes
}

func TestMayAwait(t *testing.T) {
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
		got := mayAwait(&sumachead.Refusal{Verdict: tt.verdict, Reason: tt.reason})
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s, %s (-want +got):\n%s", tt.verdict, tt.reason, diff)
		}
	}
}

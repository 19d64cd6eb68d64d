package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/gauge"
	"sumachead/internal/loop"
	"sumachead/internal/rpc"
)

// withPrompt gives a request a prompt, so that it matters which engine it goes to.
func withPrompt(r *sumachead.CallerRequest) { r.PromptTokens, r.AnswerTokens = 9000, 100 }

// answerAndWait answers, and closes once the router has.
func answerAndWait(c net.Conn, r *http.Request) {
	answerWith(200, "Connection: close\r\n", "ok")(c, r)
	_, _ = c.Read(make([]byte, 1))
}

// A gauge that takes connections and answers nothing, or is gone, holds a request up for a
// moment at most, and the next ones not at all.
func TestGaugeThatDoesNotAnswerHoldsNobodyUp(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
	}{
		{"silent", true},
		{"gone", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := lis.Addr().String()
			defer func() { _ = lis.Close() }()
			if !tt.silent {
				_ = lis.Close() // refuses from now on
			}
			a := &backend{id: "a"}
			g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{"a": a.listen(t, answerAndWait)})
			g.gauges.Address = func(*wire.ServerRecord) string { return address }
			for i, most := range []time.Duration{askMost + 200*time.Millisecond, askMost + 200*time.Millisecond} {
				begun := time.Now()
				if _, _, err := ask(g, "1", withPrompt); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(begun); took > most {
					t.Errorf("request %d took %v", i, took)
				}
			}
			time.Sleep(askTimeout + 50*time.Millisecond)
			if !g.gauges.rests(address) {
				t.Error("a gauge that has not answered is asked again at once")
			}
		})
	}
}

// A gauge that answers is believed: of two engines the one with less to read is chosen; and
// it is told of the request.
func TestGaugesDecide(t *testing.T) {
	var noted atomic.Int32
	gaugeAt := func(read int64) string {
		s := &rpc.Server{Address: "127.0.0.1:0"}
		lis, err := net.Listen("tcp", s.Address)
		if err != nil {
			t.Fatal(err)
		}
		s.Address = lis.Addr().String()
		_ = lis.Close() // only its port is wanted
		if err := errors.Join(s.Register(gauge.Name, &fixedGauge{read: read, noted: &noted}), s.Listen()); err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Run() }() // ends with Close
		t.Cleanup(s.Close)
		return s.Address
	}
	busy, idle := &backend{id: "busy"}, &backend{id: "idle"}
	g := newGateway(t, wire.RouteKind_ROUTE_KIND_SINGLE, false, map[string]string{
		"busy": busy.listen(t, answerAndWait), "idle": idle.listen(t, answerAndWait),
	})
	addresses := map[string]string{"busy": gaugeAt(5000), "idle": gaugeAt(0)}
	g.gauges.Address = func(r *wire.ServerRecord) string { return addresses[r.GetId()] }
	const requests, most = 30, 6
	for range requests {
		if _, _, err := ask(g, "1", withPrompt); err != nil {
			t.Fatal(err)
		}
	}
	// Without the gauges' word all of them are there; answers that come late are not waited
	// for, as those to the first request, which has no connections yet.
	if n := busy.runs.Load(); n > most {
		t.Errorf("%d of %d requests at the engine that has prompts to read, %d at the idle one", n, requests, idle.runs.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if !loop.Until(ctx, time.Millisecond, func() bool { return noted.Load() > 0 }) {
		t.Error("no gauge was told of a request")
	}
}

// fixedGauge always has the same to read.
type fixedGauge struct {
	read  int64
	noted *atomic.Int32
}

// Ask answers a router.
func (f *fixedGauge) Ask(_ *wire.GaugeQuestion, a *wire.GaugeAnswer) error {
	a.Load, a.FactorThousandths = &wire.ServerLoad{ReadMillis: f.read}, 1000
	return nil
}

// Note counts notes.
func (f *fixedGauge) Note(*wire.GaugeNotes, *wire.Empty) error {
	f.noted.Add(1)
	return nil
}

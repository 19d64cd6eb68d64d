package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sumachead/internal/standin"
)

// A prompt block may crash each engine that begins to write a response to a prompt with it, whatever
// else the prompt has. No two such requests are alike, and their other blocks are those of harmless
// ones.

const (
	// crashBlock is the block that crashes engines.
	crashBlock = "dead"
	// toleratedCrashes is how many crashes may pass before requests with the block are held back, and
	// contactTime how long routers have for it then. maxLateSends is how many such requests may reach
	// servers after that.
	toleratedCrashes = 5
	contactTime      = 3 * time.Second
	maxLateSends     = 3
	// crashBlockTime is how long callers send requests with the block.
	crashBlockTime = 13 * time.Second
)

// blockCallers sends prompts that share blocks until the given time.
type blockCallers struct {
	f     *fleet
	until time.Time

	mu      sync.Mutex // guards the fields below
	number  int
	callers []*caller
}

// blocks returns the blocks of a harmless prompt: one that many prompts share, one that a few do, and
// its own.
func (b *blockCallers) blocks(r *rand.Rand) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	return []string{fmt.Sprint("a", r.IntN(2)), fmt.Sprint("b", r.IntN(20)), fmt.Sprint("c", b.number)}
}

// send sends one request to a random router.
func (b *blockCallers) send(r *rand.Rand, blocks []string) {
	router := fmt.Sprintf("router-%d", r.IntN(b.f.shape.routers)+1)
	body := strings.Join(blocks, " ")
	c := b.f.do(fleetRequest{kind: "stream", router: router, body: body, blocks: blocks, prompt: 10 * len(blocks), events: 60})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers = append(b.callers, c)
}

// sendHarmless sends harmless requests one after the other.
func (b *blockCallers) sendHarmless(r *rand.Rand) {
	for time.Now().Before(b.until) {
		b.send(r, b.blocks(r))
	}
}

// sendCrashing sends requests with the block that crashes engines, each with the other blocks of a
// harmless one. Its callers are kept apart.
func (b *blockCallers) sendCrashing(r *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for time.Now().Before(b.until) {
		blocks := slices.Insert(b.blocks(r), 1+r.IntN(2), crashBlock)
		q := fleetRequest{
			kind: "stream", router: fmt.Sprintf("router-%d", r.IntN(b.f.shape.routers)+1), body: strings.Join(blocks, " "),
			blocks: blocks, prompt: 40, events: 60,
		}
		all.Go(func() { b.f.do(q) })
		time.Sleep(time.Duration(50+r.IntN(100)) * time.Millisecond)
	}
}

// crashOnBlock makes the engines crash on a block, including those that have left.
func (f *fleet) crashOnBlock(block string) {
	for _, r := range f.servers() {
		if r.Service == "pool" {
			r.CrashOnBlock(block)
		}
	}
}

// crashTimesOn returns when engines crashed on a block, in order.
func (f *fleet) crashTimesOn(block string) (out []time.Time) {
	for _, r := range f.servers() {
		out = append(out, r.CrashTimes(block)...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// sendsWithBlock returns when requests with a block reached engines.
func (f *fleet) sendsWithBlock(block string) (out []time.Time) {
	for _, r := range f.servers() {
		for _, x := range r.Runs() {
			if strings.Contains(x.Blocks, block+":") {
				out = append(out, x.At)
			}
		}
	}
	return out
}

func TestPromptBlockThatCrashesServers(t *testing.T) {
	tests := []struct {
		name string
		// framing is how engines mark the ends of their responses.
		framing string
		fault   func(f *fleet)
	}{
		{name: "chunked responses"},
		{name: "responses of every framing", framing: "any"},
		{name: "the leading keeper is killed", fault: func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.processes[f.leadingKeeper()].kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetShape{keepers: 3, routers: 4, relays: 6, engines: 8, prepaid: 50_000_000})
			f.awaitServersKnown(t)
			for _, r := range f.servers() {
				r.SetFaults(standin.ReplicaFaults{Framing: tt.framing})
			}
			b := &blockCallers{f: f, until: time.Now().Add(crashBlockTime)}
			var all sync.WaitGroup
			const harmless = 12
			for i := range harmless {
				all.Go(func() { b.sendHarmless(rand.New(rand.NewPCG(7, uint64(i)))) })
			}
			time.Sleep(time.Second)
			f.crashOnBlock(crashBlock)
			all.Go(func() { b.sendCrashing(rand.New(rand.NewPCG(8, 1))) })
			if tt.fault != nil {
				all.Go(func() { tt.fault(f) })
			}
			all.Wait()
			b.check(t)
		})
	}
}

// check checks what reached engines and what became of the harmless requests.
func (b *blockCallers) check(t *testing.T) {
	t.Helper()
	crashes := b.f.crashTimesOn(crashBlock)
	if len(crashes) == 0 {
		t.Fatal("no engine has crashed")
	}
	last := crashes[min(len(crashes), toleratedCrashes)-1]
	late := 0
	for _, at := range b.f.sendsWithBlock(crashBlock) {
		if at.After(last.Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d crashes, the last after %v; %d requests with the block sent late", len(crashes), crashes[len(crashes)-1].Sub(crashes[0]), late)
	if late > maxLateSends {
		t.Errorf("%d requests with the block reached engines later than %v after crash %d, at most %d allowed", late, contactTime, toleratedCrashes, maxLateSends)
	}
	complete, sent := 0, 0
	refusals := make(map[string]int)
	for _, c := range b.callers {
		if c.sentAt.Before(last.Add(2 * contactTime)) {
			continue
		}
		sent++
		if c.complete {
			complete++
		} else {
			refusals[fmt.Sprintf("%d %s", c.status, c.refusalReason())]++
		}
	}
	t.Logf("harmless requests from %v after crash %d on: %d of %d complete; others %v", 2*contactTime, toleratedCrashes, complete, sent, refusals)
	if complete*100 < sent*99 || sent < 100 {
		t.Errorf("%d of %d harmless requests are complete, want 99 of 100", complete, sent)
	}
	if violations := b.f.violations(b.f.shape.prepaid); len(violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(violations, "\n"))
	}
}

package raft

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sumachead/api/wire"
)

// register is a state machine that stores one number.
type register struct {
	mu    sync.Mutex
	value int
}

func (r *register) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value, _ = strconv.Atoi(string(command))
	return r.value
}

func (r *register) Snapshot() func() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value := r.value
	return func() ([]byte, error) { return []byte(strconv.Itoa(value)), nil }
}

func (r *register) Restore(data []byte) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value, err = strconv.Atoi(string(data))
	return err
}

// group is a set of nodes over a network that delays and drops messages and partitions members.
type group struct {
	t           *testing.T
	mu          sync.Mutex // guards the fields below
	running     map[string]*member
	partitioned map[string]bool
}

type member struct {
	node    *Node
	machine *register
	stop    context.CancelFunc
	done    chan error
}

func (g *group) start(id, dir string, founders *wire.Members) {
	m := &member{machine: &register{}, done: make(chan error, 1)}
	m.node = &Node{
		Group: "g", ID: id, Incarnation: "0", Dir: dir, Machine: m.machine, Founders: founders,
		HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 80 * time.Millisecond, SnapshotThreshold: 50,
		Send: func(ms []*wire.RaftMessage) {
			for _, x := range ms {
				go g.deliver(x)
			}
		},
	}
	if err := m.node.Open(); err != nil {
		g.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { m.done <- m.node.Run(ctx) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = m
}

func (g *group) stop(id string) {
	g.mu.Lock()
	m := g.running[id]
	delete(g.running, id)
	g.mu.Unlock()
	if m == nil {
		return
	}
	m.stop()
	if err := <-m.done; err != nil {
		g.t.Error(err)
	}
}

func (g *group) deliver(m *wire.RaftMessage) {
	time.Sleep(time.Duration(rand.Int64N(int64(3 * time.Millisecond))))
	g.mu.Lock()
	to := g.running[m.GetTo()]
	blocked := g.partitioned[m.GetFrom()] || g.partitioned[m.GetTo()] || rand.IntN(50) == 0
	g.mu.Unlock()
	if to != nil && !blocked {
		to.node.Step([]*wire.RaftMessage{m})
	}
}

func (g *group) randomMember(ids []string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[ids[rand.IntN(len(ids))]]
}

type input struct {
	write bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		i := in.(input)
		if i.write {
			return true, i.value
		}
		return out.(int) == state.(int), state
	},
}

// client writes and reads until ctx is done. An operation whose outcome is unknown never
// returns in the recorded history.
func (g *group) client(ctx context.Context, id int, ids []string, start time.Time, record func(porcupine.Operation)) {
	for n := 0; ctx.Err() == nil; n++ {
		m := g.randomMember(ids)
		if m == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		op := porcupine.Operation{ClientId: id, Input: input{write: rand.IntN(2) == 0, value: id*100000 + n}, Call: time.Since(start).Nanoseconds()}
		opCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		known, failed := m.run(opCtx, &op)
		cancel()
		if failed {
			time.Sleep(time.Millisecond)
			continue
		}
		op.Return = time.Since(start).Nanoseconds()
		if !known {
			op.Return = time.Hour.Nanoseconds()
			record(op)
			id += 1000 // a client has one open operation at a time
			continue
		}
		record(op)
	}
}

// run executes one operation. It returns known if the outcome is known, and failed if the
// operation had no effect.
func (m *member) run(ctx context.Context, op *porcupine.Operation) (known, failed bool) {
	in := op.Input.(input)
	if !in.write {
		if m.node.ReadBarrier(ctx) != nil {
			return false, true
		}
		m.machine.mu.Lock()
		defer m.machine.mu.Unlock()
		op.Output = m.machine.value
		return true, false
	}
	_, err := m.node.Propose(ctx, []byte(strconv.Itoa(in.value)))
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) || errors.Is(err, ErrStopped) {
		return false, true
	}
	return err == nil, false
}

// Checks that reads and writes are linearizable while members are partitioned and
// restarted, and messages are lost and reordered.
func TestHistoryIsLinearizable(t *testing.T) {
	const (
		duration = 4 * time.Second
		clients  = 6
	)
	g := &group{t: t, running: make(map[string]*member), partitioned: make(map[string]bool)}
	ids := []string{"k0", "k1", "k2"}
	founders := &wire.Members{}
	dirs := make(map[string]string)
	for _, id := range ids {
		founders.Members = append(founders.Members, &wire.Member{Id: id, Incarnation: "0"})
		dirs[id] = t.TempDir()
	}
	for _, id := range ids {
		g.start(id, dirs[id], founders)
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	start := time.Now()
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			g.client(ctx, i, ids, start, func(op porcupine.Operation) {
				mu.Lock()
				defer mu.Unlock()
				history = append(history, op)
			})
		})
	}
	for ctx.Err() == nil {
		g.injectFault(ids, dirs, founders)
	}
	all.Wait()
	for _, id := range ids {
		g.stop(id)
	}
	reads := 0
	for _, op := range history {
		if !op.Input.(input).write {
			reads++
		}
	}
	if reads < 20 || len(history)-reads < 20 {
		t.Fatalf("only %d reads and %d writes succeeded", reads, len(history)-reads)
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("linearizability check of %d operations: %s", len(history), result)
	}
	t.Logf("%d operations, %d of them reads", len(history), reads)
}

// injectFault partitions or stops a random member for a while.
func (g *group) injectFault(ids []string, dirs map[string]string, founders *wire.Members) {
	id := ids[rand.IntN(len(ids))]
	if rand.IntN(2) == 0 {
		g.stop(id)
		time.Sleep(50 * time.Millisecond)
		g.start(id, dirs[id], founders)
	} else {
		g.setPartitioned(id, true)
		time.Sleep(200 * time.Millisecond)
		g.setPartitioned(id, false)
	}
	time.Sleep(250 * time.Millisecond)
}

func (g *group) setPartitioned(id string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[id] = on
}

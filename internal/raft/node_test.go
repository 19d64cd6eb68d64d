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

// register is a state machine that holds one number.
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

// group is a set of real nodes over a network that delays, drops and cuts.
type group struct {
	t    *testing.T
	mu   sync.Mutex // guards the fields below
	live map[string]*member
	cut  map[string]bool
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
		Heartbeat: 10 * time.Millisecond, Election: 80 * time.Millisecond, SnapshotEvery: 50,
		Send: func(ms []*wire.RaftMessage) {
			for _, x := range ms {
				go g.carry(x)
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
	g.live[id] = m
}

func (g *group) stop(id string) {
	g.mu.Lock()
	m := g.live[id]
	delete(g.live, id)
	g.mu.Unlock()
	if m == nil {
		return
	}
	m.stop()
	if err := <-m.done; err != nil {
		g.t.Error(err)
	}
}

func (g *group) carry(m *wire.RaftMessage) {
	time.Sleep(time.Duration(rand.Int64N(int64(3 * time.Millisecond))))
	g.mu.Lock()
	to := g.live[m.GetTo()]
	blocked := g.cut[m.GetFrom()] || g.cut[m.GetTo()] || rand.IntN(50) == 0
	g.mu.Unlock()
	if to != nil && !blocked {
		to.node.Step([]*wire.RaftMessage{m})
	}
}

func (g *group) any(ids []string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.live[ids[rand.IntN(len(ids))]]
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

// client writes and reads until ctx ends. An operation whose outcome is not
// known stays open for ever.
func (g *group) client(ctx context.Context, id int, ids []string, began time.Time, record func(porcupine.Operation)) {
	for n := 0; ctx.Err() == nil; n++ {
		m := g.any(ids)
		if m == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		op := porcupine.Operation{ClientId: id, Input: input{write: rand.IntN(2) == 0, value: id*100000 + n}, Call: time.Since(began).Nanoseconds()}
		opCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		known, failed := m.run(opCtx, &op)
		cancel()
		if failed {
			time.Sleep(time.Millisecond)
			continue
		}
		op.Return = time.Since(began).Nanoseconds()
		if !known {
			op.Return = time.Hour.Nanoseconds()
			record(op)
			id += 1000 // a client has one open operation at a time
			continue
		}
		record(op)
	}
}

// run makes one operation; failed means that it had no effect.
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

// Reads and writes at real nodes are linearizable while members are cut off,
// stopped and started again, and messages are lost and reordered.
func TestHistoryIsLinearizable(t *testing.T) {
	const (
		lasts   = 4 * time.Second
		clients = 6
	)
	g := &group{t: t, live: make(map[string]*member), cut: make(map[string]bool)}
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
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	began := time.Now()
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			g.client(ctx, i, ids, began, func(op porcupine.Operation) {
				mu.Lock()
				defer mu.Unlock()
				history = append(history, op)
			})
		})
	}
	for ctx.Err() == nil {
		g.disturb(ids, dirs, founders)
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
		t.Fatalf("only %d reads and %d writes went through", reads, len(history)-reads)
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, history, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("the history of %d operations is %s", len(history), result)
	}
	t.Logf("%d operations, %d of them reads", len(history), reads)
}

// disturb cuts a member off, or stops and starts one, for a while.
func (g *group) disturb(ids []string, dirs map[string]string, founders *wire.Members) {
	id := ids[rand.IntN(len(ids))]
	if rand.IntN(2) == 0 {
		g.stop(id)
		time.Sleep(50 * time.Millisecond)
		g.start(id, dirs[id], founders)
	} else {
		g.setCut(id, true)
		time.Sleep(200 * time.Millisecond)
		g.setCut(id, false)
	}
	time.Sleep(250 * time.Millisecond)
}

func (g *group) setCut(id string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[id] = on
}

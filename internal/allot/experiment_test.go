package allot

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sumachead"
	"sumachead/api/wire"
	"sumachead/internal/ledger"
)

// The admission experiment replays one stream of requests against each policy,
// on the real ledger with fake halls: virtual time, no processes. A refusal is
// false when the budget, wherever its tokens were, could have paid.

// situation is one setting of the experiment.
type situation struct {
	name string
	// share of the requests that comes from each hall.
	share []float64
	// rate is the requests a second of all halls.
	rate  float64
	bound int64
	used  int64
	total int64
	lasts time.Duration
	// cut: hall 2 is cut off between these times.
	cutFrom, cutTo time.Duration
	// shift: from this time on the demand moves to hall 2.
	shift time.Duration
	// topup comes at a time on the side of the quorum, or to the cut-off hall.
	topupAt     time.Duration
	topup       int64
	topupInHall bool
}

func situations() []situation {
	const minute = time.Minute
	masar := situation{share: []float64{0.5, 0.3, 0.2}, rate: 4, bound: 700, used: 260, lasts: 20 * minute, cutFrom: 5 * minute, cutTo: 12 * minute}
	consortium := situation{share: []float64{0.34, 0.33, 0.33}, rate: 6, bound: 900, used: 400, lasts: 20 * minute, cutFrom: 5 * minute, cutTo: 12 * minute}
	with := func(s situation, name string, f func(*situation)) situation {
		s.name = name
		f(&s)
		return s
	}
	return []situation{
		with(masar, "masar, connected, ends low", func(s *situation) { s.total, s.cutFrom, s.cutTo = 1_200_000, 0, 0 }),
		with(masar, "masar, cut 7 min, ample", func(s *situation) { s.total = 4_000_000 }),
		with(masar, "masar, cut 7 min, runs low", func(s *situation) { s.total = 1_000_000 }),
		with(masar, "masar, cut, demand moves to the cut hall", func(s *situation) { s.total, s.shift = 1_600_000, 5*minute }),
		with(masar, "masar, cut, low, top-up at the quorum", func(s *situation) { s.total, s.topupAt, s.topup = 600_000, 8*minute, 800_000 }),
		with(masar, "masar, a small hall is cut, runs low", func(s *situation) { s.total, s.share = 900_000, []float64{0.6, 0.36, 0.04} }),
		with(consortium, "consortium, cut 7 min, runs low", func(s *situation) { s.total = 2_400_000 }),
		with(consortium, "consortium, cut, low, top-up in the hall", func(s *situation) {
			s.total, s.topupAt, s.topup, s.topupInHall = 1_200_000, 8*minute, 600_000, true
		}),
	}
}

// result is what one policy made of one situation.
type result struct {
	Situation string  `json:"situation"`
	Policy    string  `json:"policy"`
	Requests  int     `json:"requests"`
	Served    int     `json:"served"`
	False     int     `json:"false_refusals"`
	InCut     int     `json:"false_refusals_in_the_cut"`
	Overspend int64   `json:"overspend"`
	Percent   float64 `json:"false_refusals_percent"`
}

// world is one run.
type world struct {
	s      situation
	policy Policy
	name   string
	m      *ledger.Machine
	demand Demand
	halls  []*fakeHall
	now    time.Duration
	rev    uint64
	out    result
	// open are the requests under way.
	open []openRequest
	real int64 // tokens really used
	sum  int64 // tokens really bought
}

type fakeHall struct {
	id       string
	reserved int64
	billed   int64
	returned int64
	topups   int64
	seq      uint64
	cut      bool
	waiting  []*wire.JournalRecord
}

type openRequest struct {
	ends time.Duration
	hall *fakeHall // pays; nil for the ledger
	key  string
}

func (w *world) apply(c *wire.LedgerCommand) any {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return w.m.Apply(0, data)
}

func (w *world) buy(tokens int64) {
	w.rev++
	w.sum += tokens
	w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: &wire.SetTotals{
		Revision: w.rev, Totals: []*wire.BudgetTotal{{Budget: "b", Total: w.sum}},
	}}})
}

func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

func (h *fakeHall) available(w *world) int64 {
	return w.granted(h) + h.topups - h.returned - h.billed - h.reserved
}

func (w *world) granted(h *fakeHall) int64 {
	for _, a := range w.m.Budget("b").GetAllotments() {
		if a.GetHall() == h.id {
			return a.GetGrantedTotal()
		}
	}
	return 0
}

// record notes a step of a hall for the ledger, which gets it when connected.
func (w *world) record(h *fakeHall, r *wire.JournalRecord) {
	h.seq++
	r.Seq, r.Budget = h.seq, "b"
	h.waiting = append(h.waiting, r)
	w.merge(h)
}

func (w *world) merge(h *fakeHall) {
	if h.cut || len(h.waiting) == 0 {
		return
	}
	w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: &wire.MergeRequest{Hall: h.id, KeeperIncarnation: "i", Records: h.waiting}}})
	h.waiting = nil
}

// control lets the policy act, as the leader does four times a second; here it
// does so once a second.
func (w *world) control() {
	b := w.m.Budget("b")
	in := Input{Available: b.GetTotal() - b.GetSpent() - b.GetReserved() - b.GetAllotted()}
	for _, h := range w.halls {
		held := int64(0)
		for _, a := range b.GetAllotments() {
			if a.GetHall() == h.id {
				held = a.GetHeld()
			}
		}
		in.Halls = append(in.Halls, Hall{ID: sumachead.HallID(h.id), Live: !h.cut, Held: held, Demand: w.demand.Rate("b", h.id, w.clock())})
	}
	for _, st := range w.policy.Plan(in) {
		h := w.hall(string(st.Hall))
		if h.cut {
			continue
		}
		if st.Tokens < 0 {
			w.giveBack(h, -st.Tokens)
			continue
		}
		w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Grant{Grant: &wire.Grant{Budget: "b", Hall: h.id, KeeperIncarnation: "i", Amount: st.Tokens, Partial: true}}})
	}
}

func (w *world) hall(id string) *fakeHall {
	for _, h := range w.halls {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *world) giveBack(h *fakeHall, n int64) {
	if n = min(n, h.available(w)); n > 0 {
		h.returned += n
		w.record(h, &wire.JournalRecord{Returned: n})
	}
}

// reserve admits one request of a hall, or refuses it.
func (w *world) reserve(h *fakeHall, key string) bool {
	w.demand.Note("b", h.id, w.s.bound, w.clock())
	ends := w.now + 4*time.Second
	if h.cut || w.name == PolicyEqual || w.name == PolicyLeases {
		// The baselines charge the hall's part at all times.
		if h.available(w) < w.s.bound {
			return false
		}
		h.reserved += w.s.bound
		w.open = append(w.open, openRequest{ends, h, key})
		return true
	}
	r := &wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: &wire.ReserveRequest{
		Workspace: "w", Key: key, Budget: "b", Amount: w.s.bound, Attempt: &wire.Attempt{Owner: key},
	}}}
	granted := func() bool { return w.apply(r).(*wire.LedgerReply).GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED }
	ok := granted()
	if !ok && w.policy.Recalls() {
		for _, o := range w.halls {
			if !o.cut {
				w.giveBack(o, max(16*w.s.bound, o.available(w)/2))
			}
		}
		ok = granted()
	}
	if ok {
		w.open = append(w.open, openRequest{ends, nil, key})
	}
	return ok
}

func (w *world) settle() {
	kept := w.open[:0]
	for _, o := range w.open {
		switch {
		case o.ends > w.now:
			kept = append(kept, o)
			continue
		case o.hall == nil:
			w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: &wire.SettleBatch{Settles: []*wire.SettleRequest{{Workspace: "w", Key: o.key, Attempt: 1, Tokens: w.s.used}}}}})
		default:
			o.hall.reserved -= w.s.bound
			o.hall.billed += w.s.used
			w.record(o.hall, &wire.JournalRecord{Bill: w.s.used, Entry: &wire.Entry{
				Workspace: "w", Key: o.key, Hall: o.hall.id, Budget: "b", State: wire.EntryState_ENTRY_STATE_SETTLED, Billed: w.s.used,
			}})
		}
		w.real += w.s.used
	}
	w.open = kept
}

// couldPay reports whether the budget as a whole had room.
func (w *world) couldPay() bool {
	return w.sum-w.real-int64(len(w.open))*w.s.bound >= w.s.bound
}

func (w *world) run(r *rand.Rand) result {
	for i := range w.s.share {
		w.halls = append(w.halls, &fakeHall{id: fmt.Sprintf("h%d", i)})
	}
	w.buy(w.s.total)
	last := w.halls[len(w.halls)-1]
	const tick = time.Second / 4
	for ; w.now < w.s.lasts; w.now += tick {
		last.cut = w.s.cutTo > 0 && w.now >= w.s.cutFrom && w.now < w.s.cutTo
		if w.s.topupAt == w.now && w.s.topup > 0 {
			w.topup(last)
		}
		for _, h := range w.halls {
			w.merge(h)
		}
		w.settle()
		w.control()
		for i, h := range w.halls {
			w.arrive(r, i, h)
		}
		w.out.Overspend = max(w.out.Overspend, w.real-w.sum)
	}
	w.out.Percent = 100 * float64(w.out.False) / float64(w.out.Requests)
	return w.out
}

func (w *world) topup(last *fakeHall) {
	if !w.s.topupInHall {
		w.buy(w.s.topup)
		return
	}
	if w.name == PolicyCentral || w.name == PolicyEqual || w.name == PolicyLeases {
		w.buy(w.s.topup) // the baselines have one place for top-ups
		return
	}
	w.sum += w.s.topup
	last.topups += w.s.topup
	w.record(last, &wire.JournalRecord{TopupId: "t", TopupTokens: w.s.topup})
}

func (w *world) arrive(r *rand.Rand, i int, h *fakeHall) {
	share := w.s.share[i]
	if w.s.shift > 0 && w.now >= w.s.shift {
		share = 0.1
		if i == len(w.halls)-1 {
			share = 0.8
		}
	}
	for p := w.s.rate * share / 4; p > 0; p-- {
		if r.Float64() >= p {
			continue
		}
		w.out.Requests++
		could := w.couldPay()
		if w.reserve(h, fmt.Sprintf("%s-%d", h.id, w.out.Requests)) {
			w.out.Served++
		} else if could {
			w.out.False++
			if h.cut {
				w.out.InCut++
			}
		}
	}
}

// BenchmarkAdmission prints a row for each situation and policy. With
// ADMISSION_JSON it writes them to that file too.
func BenchmarkAdmission(b *testing.B) {
	var rows []result
	for _, s := range situations() {
		for _, name := range []string{PolicyDemand, PolicyEqual, PolicyCentral, PolicyLeases} {
			w := &world{s: s, name: name, policy: New(name), m: ledger.NewMachine()}
			w.out.Situation, w.out.Policy = s.name, name
			rows = append(rows, w.run(rand.New(rand.NewPCG(7, 7))))
		}
	}
	for range b.N {
	}
	for _, r := range rows {
		fmt.Printf("| %s | %s | %d | %d | %d (%.1f%%) | %d | %d |\n", r.Situation, r.Policy, r.Requests, r.Served, r.False, r.Percent, r.InCut, r.Overspend)
	}
	if path := os.Getenv("ADMISSION_JSON"); path != "" {
		data, err := json.MarshalIndent(rows, "", " ")
		if err == nil {
			err = os.WriteFile(path, data, 0o600)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

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

// The admission experiment replays one stream of requests against each policy, with
// the real ledger, simulated halls and virtual time. A refusal is false if the
// budget as a whole, in whichever hall its tokens were, could have paid.

// scenario is one configuration of the experiment.
type scenario struct {
	name string
	// shares are the shares of the requests that come from each hall.
	shares []float64
	// rate is the number of requests per second from all halls.
	rate       float64
	maxCost    int64
	actualCost int64
	total      int64
	duration   time.Duration
	// The last hall is cut off between these times.
	cutOffFrom, cutOffUntil time.Duration
	// shiftAt is when most of the demand moves to the last hall, if not 0.
	shiftAt time.Duration
	// topup is bought at topupAt, from the quorum or from the cut-off hall.
	topupAt     time.Duration
	topup       int64
	topupInHall bool
}

func scenarios() []scenario {
	const minute = time.Minute
	masar := scenario{shares: []float64{0.5, 0.3, 0.2}, rate: 4, maxCost: 700, actualCost: 260, duration: 20 * minute, cutOffFrom: 5 * minute, cutOffUntil: 12 * minute}
	consortium := scenario{shares: []float64{0.34, 0.33, 0.33}, rate: 6, maxCost: 900, actualCost: 400, duration: 20 * minute, cutOffFrom: 5 * minute, cutOffUntil: 12 * minute}
	with := func(s scenario, name string, f func(*scenario)) scenario {
		s.name = name
		f(&s)
		return s
	}
	return []scenario{
		with(masar, "masar, connected, ends low", func(s *scenario) { s.total, s.cutOffFrom, s.cutOffUntil = 1_200_000, 0, 0 }),
		with(masar, "masar, cut 7 min, ample", func(s *scenario) { s.total = 4_000_000 }),
		with(masar, "masar, cut 7 min, runs low", func(s *scenario) { s.total = 1_000_000 }),
		with(masar, "masar, cut, demand moves to the cut hall", func(s *scenario) { s.total, s.shiftAt = 1_600_000, 5*minute }),
		with(masar, "masar, cut, low, top-up at the quorum", func(s *scenario) { s.total, s.topupAt, s.topup = 600_000, 8*minute, 800_000 }),
		with(masar, "masar, a small hall is cut, runs low", func(s *scenario) { s.total, s.shares = 900_000, []float64{0.6, 0.36, 0.04} }),
		with(consortium, "consortium, cut 7 min, runs low", func(s *scenario) { s.total = 2_400_000 }),
		with(consortium, "consortium, cut, low, top-up in the hall", func(s *scenario) {
			s.total, s.topupAt, s.topup, s.topupInHall = 1_200_000, 8*minute, 600_000, true
		}),
	}
}

// result is the outcome of one policy in one scenario.
type result struct {
	Scenario            string  `json:"situation"`
	Policy              string  `json:"policy"`
	Requests            int     `json:"requests"`
	Served              int     `json:"served"`
	FalseRefusals       int     `json:"false_refusals"`
	FalseRefusalsCutOff int     `json:"false_refusals_in_the_cut"`
	Overspend           int64   `json:"overspend"`
	Percent             float64 `json:"false_refusals_percent"`
}

// simulation is one run of a policy in a scenario.
type simulation struct {
	scenario scenario
	policy   Policy
	name     string
	m        *ledger.Machine
	demand   DemandTracker
	halls    []*simulatedHall
	now      time.Duration
	revision uint64
	out      result
	// inFlight are the requests in flight.
	inFlight     []inFlightRequest
	usedTokens   int64 // billed by all requests
	boughtTokens int64 // total and all top-ups
}

type simulatedHall struct {
	id       string
	reserved int64
	billed   int64
	returned int64
	topups   int64
	seq      uint64
	cutOff   bool
	unmerged []*wire.JournalRecord
}

type inFlightRequest struct {
	endsAt time.Duration
	hall   *simulatedHall // whose account pays; nil for the ledger
	key    string
}

func (w *simulation) apply(c *wire.LedgerCommand) any {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return w.m.Apply(0, data)
}

func (w *simulation) addTokens(tokens int64) {
	w.revision++
	w.boughtTokens += tokens
	w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Totals{Totals: &wire.SetTotals{
		Revision: w.revision, Totals: []*wire.BudgetTotal{{Budget: "b", Total: w.boughtTokens}},
	}}})
}

func (w *simulation) currentTime() time.Time { return time.Unix(0, 0).Add(w.now) }

func (h *simulatedHall) available(w *simulation) int64 {
	return w.granted(h) + h.topups - h.returned - h.billed - h.reserved
}

func (w *simulation) granted(h *simulatedHall) int64 {
	for _, a := range w.m.Budget("b").GetAllotments() {
		if a.GetHall() == h.id {
			return a.GetGrantedTotal()
		}
	}
	return 0
}

// appendRecord appends a journal record to a hall. The ledger receives it once the
// hall is connected.
func (w *simulation) appendRecord(h *simulatedHall, r *wire.JournalRecord) {
	h.seq++
	r.Seq, r.Budget = h.seq, "b"
	h.unmerged = append(h.unmerged, r)
	w.merge(h)
}

func (w *simulation) merge(h *simulatedHall) {
	if h.cutOff || len(h.unmerged) == 0 {
		return
	}
	w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Merge{Merge: &wire.MergeRequest{Hall: h.id, KeeperIncarnation: "i", Records: h.unmerged}}})
	h.unmerged = nil
}

// runPolicy applies the policy once, as the leader does four times a second. The
// simulation calls it once per tick.
func (w *simulation) runPolicy() {
	b := w.m.Budget("b")
	in := Input{Available: b.GetTotal() - b.GetSpent() - b.GetReserved() - b.GetAllotted()}
	for _, h := range w.halls {
		held := int64(0)
		for _, a := range b.GetAllotments() {
			if a.GetHall() == h.id {
				held = a.GetHeld()
			}
		}
		in.Halls = append(in.Halls, Hall{ID: sumachead.HallID(h.id), Connected: !h.cutOff, Held: held, Demand: w.demand.Rate("b", h.id, w.currentTime())})
	}
	for _, st := range w.policy.Plan(in) {
		h := w.hall(string(st.Hall))
		if h.cutOff {
			continue
		}
		if st.Tokens < 0 {
			w.returnTokens(h, -st.Tokens)
			continue
		}
		w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Grant{Grant: &wire.Grant{Budget: "b", Hall: h.id, KeeperIncarnation: "i", Amount: st.Tokens, Partial: true}}})
	}
}

func (w *simulation) hall(id string) *simulatedHall {
	for _, h := range w.halls {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *simulation) returnTokens(h *simulatedHall, n int64) {
	if n = min(n, h.available(w)); n > 0 {
		h.returned += n
		w.appendRecord(h, &wire.JournalRecord{Returned: n})
	}
}

// reserve reports whether a request of a hall is admitted.
func (w *simulation) reserve(h *simulatedHall, key string) bool {
	w.demand.Record("b", h.id, w.scenario.maxCost, w.currentTime())
	endsAt := w.now + 4*time.Second
	if h.cutOff || w.name == PolicyEqual || w.name == PolicyLeases {
		// These baselines always charge the hall's allotment.
		if h.available(w) < w.scenario.maxCost {
			return false
		}
		h.reserved += w.scenario.maxCost
		w.inFlight = append(w.inFlight, inFlightRequest{endsAt, h, key})
		return true
	}
	r := &wire.LedgerCommand{Command: &wire.LedgerCommand_Reserve{Reserve: &wire.ReserveRequest{
		Workspace: "w", Key: key, Budget: "b", Amount: w.scenario.maxCost, Attempt: &wire.Attempt{Owner: key},
	}}}
	granted := func() bool { return w.apply(r).(*wire.LedgerReply).GetCode() == wire.LedgerCode_LEDGER_CODE_GRANTED }
	ok := granted()
	if !ok && w.policy.Recalls() {
		for _, o := range w.halls {
			if !o.cutOff {
				w.returnTokens(o, max(16*w.scenario.maxCost, o.available(w)/2))
			}
		}
		ok = granted()
	}
	if ok {
		w.inFlight = append(w.inFlight, inFlightRequest{endsAt, nil, key})
	}
	return ok
}

func (w *simulation) settle() {
	unfinished := w.inFlight[:0]
	for _, o := range w.inFlight {
		switch {
		case o.endsAt > w.now:
			unfinished = append(unfinished, o)
			continue
		case o.hall == nil:
			w.apply(&wire.LedgerCommand{Command: &wire.LedgerCommand_Settle{Settle: &wire.SettleBatch{Settles: []*wire.SettleRequest{{Workspace: "w", Key: o.key, Attempt: 1, Tokens: w.scenario.actualCost}}}}})
		default:
			o.hall.reserved -= w.scenario.maxCost
			o.hall.billed += w.scenario.actualCost
			w.appendRecord(o.hall, &wire.JournalRecord{Bill: w.scenario.actualCost, Entry: &wire.Entry{
				Workspace: "w", Key: o.key, Hall: o.hall.id, Budget: "b", State: wire.EntryState_ENTRY_STATE_SETTLED, Billed: w.scenario.actualCost,
			}})
		}
		w.usedTokens += w.scenario.actualCost
	}
	w.inFlight = unfinished
}

// budgetSuffices reports whether the budget as a whole can pay one more request.
func (w *simulation) budgetSuffices() bool {
	return w.boughtTokens-w.usedTokens-int64(len(w.inFlight))*w.scenario.maxCost >= w.scenario.maxCost
}

func (w *simulation) run(r *rand.Rand) result {
	for i := range w.scenario.shares {
		w.halls = append(w.halls, &simulatedHall{id: fmt.Sprintf("h%d", i)})
	}
	w.addTokens(w.scenario.total)
	lastHall := w.halls[len(w.halls)-1]
	const tick = time.Second / 4
	for ; w.now < w.scenario.duration; w.now += tick {
		lastHall.cutOff = w.scenario.cutOffUntil > 0 && w.now >= w.scenario.cutOffFrom && w.now < w.scenario.cutOffUntil
		if w.scenario.topupAt == w.now && w.scenario.topup > 0 {
			w.topup(lastHall)
		}
		for _, h := range w.halls {
			w.merge(h)
		}
		w.settle()
		w.runPolicy()
		for i, h := range w.halls {
			w.generateRequests(r, i, h)
		}
		w.out.Overspend = max(w.out.Overspend, w.usedTokens-w.boughtTokens)
	}
	w.out.Percent = 100 * float64(w.out.FalseRefusals) / float64(w.out.Requests)
	return w.out
}

func (w *simulation) topup(lastHall *simulatedHall) {
	if !w.scenario.topupInHall {
		w.addTokens(w.scenario.topup)
		return
	}
	if w.name == PolicyCentral || w.name == PolicyEqual || w.name == PolicyLeases {
		w.addTokens(w.scenario.topup) // the baselines take top-ups only centrally
		return
	}
	w.boughtTokens += w.scenario.topup
	lastHall.topups += w.scenario.topup
	w.appendRecord(lastHall, &wire.JournalRecord{TopupId: "t", TopupTokens: w.scenario.topup})
}

func (w *simulation) generateRequests(r *rand.Rand, i int, h *simulatedHall) {
	share := w.scenario.shares[i]
	if w.scenario.shiftAt > 0 && w.now >= w.scenario.shiftAt {
		share = 0.1
		if i == len(w.halls)-1 {
			share = 0.8
		}
	}
	for p := w.scenario.rate * share / 4; p > 0; p-- {
		if r.Float64() >= p {
			continue
		}
		w.out.Requests++
		suffices := w.budgetSuffices()
		if w.reserve(h, fmt.Sprintf("%s-%d", h.id, w.out.Requests)) {
			w.out.Served++
		} else if suffices {
			w.out.FalseRefusals++
			if h.cutOff {
				w.out.FalseRefusalsCutOff++
			}
		}
	}
}

// BenchmarkAdmission prints a row for each scenario and policy. If ADMISSION_JSON
// is set, it also writes them to that file.
func BenchmarkAdmission(b *testing.B) {
	var rows []result
	for _, s := range scenarios() {
		for _, name := range []string{PolicyDemand, PolicyEqual, PolicyCentral, PolicyLeases} {
			w := &simulation{scenario: s, name: name, policy: New(name), m: ledger.NewMachine()}
			w.out.Scenario, w.out.Policy = s.name, name
			rows = append(rows, w.run(rand.New(rand.NewPCG(7, 7))))
		}
	}
	for range b.N {
	}
	for _, r := range rows {
		fmt.Printf("| %s | %s | %d | %d | %d (%.1f%%) | %d | %d |\n", r.Scenario, r.Policy, r.Requests, r.Served, r.FalseRefusals, r.Percent, r.FalseRefusalsCutOff, r.Overspend)
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

package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	"sumachead"
	"sumachead/api/wire"
)

// CurrencyLease is how long a node may take new work after the moment for
// which it last had proof that its settings were the newest.
const CurrencyLease = 5 * time.Second

// ResolvedLimits are limits after inheritance.
type ResolvedLimits struct {
	MaxBodyBytes        int64
	MaxOutputTokens     int64
	DefaultOutputTokens int64
	MaxTime             time.Duration
	MaxConcurrent       int64
	RetryPercent        int64
}

// defaultLimits hold where no branch says otherwise.
var defaultLimits = ResolvedLimits{
	MaxBodyBytes:        1 << 20,
	MaxOutputTokens:     4096,
	DefaultOutputTokens: 512,
	MaxTime:             2 * time.Minute,
	MaxConcurrent:       1024,
	RetryPercent:        10,
}

// defaultStuckAfter holds where a pool does not say otherwise.
const defaultStuckAfter = 10 * time.Second

// ResolvedWorkspace is a workspace after inheritance.
type ResolvedWorkspace struct {
	ID     sumachead.WorkspaceID
	Budget sumachead.BudgetID
	Pools  []sumachead.PoolID
	Limits ResolvedLimits
}

// May reports whether the workspace may use a pool.
func (w *ResolvedWorkspace) May(p sumachead.PoolID) bool { return slices.Contains(w.Pools, p) }

// ResolvedPool is a pool with its servers.
type ResolvedPool struct {
	ID sumachead.PoolID
	Pool
	Servers []ResolvedServer
}

// ResolvedServer is a backend server with its id.
type ResolvedServer struct {
	ID sumachead.ServerID
	Server
}

// View is one revision of the tree as routers and agents use it. It is never
// changed.
type View struct {
	Revision sumachead.Revision
	pools    map[sumachead.PoolID]*ResolvedPool
	models   map[string]*ResolvedPool
	servers  map[sumachead.ServerID]*ResolvedServer
	keys     map[string]keyOwner
}

type keyOwner struct {
	hash  []byte
	owner *ResolvedWorkspace
}

// NewView resolves the objects of a revision. The objects come from a checked
// tree; kinds may have been left out of them.
func NewView(r sumachead.Revision, o *Objects) *View {
	v := &View{
		Revision: r,
		pools:    make(map[sumachead.PoolID]*ResolvedPool),
		models:   make(map[string]*ResolvedPool),
		servers:  make(map[sumachead.ServerID]*ResolvedServer),
		keys:     make(map[string]keyOwner),
	}
	v.addPools(o)
	for id, w := range o.Workspaces {
		v.addWorkspace(o, id, w)
	}
	return v
}

func (v *View) addPools(o *Objects) {
	_ = each(o.Pools, func(id string, p Pool) error {
		if p.CutOff == "" {
			p.CutOff = CutOffServe
		}
		if p.StuckAfter.Duration == 0 {
			p.StuckAfter.Duration = defaultStuckAfter
		}
		rp := &ResolvedPool{ID: sumachead.PoolID(id), Pool: p}
		v.pools[rp.ID] = rp
		for _, m := range p.Models {
			v.models[m] = rp
		}
		return nil
	})
	_ = each(o.Servers, func(id string, s Server) error {
		rs := ResolvedServer{ID: sumachead.ServerID(id), Server: s}
		v.servers[rs.ID] = &rs
		if p := v.pools[s.Pool]; p != nil {
			p.Servers = append(p.Servers, rs)
		}
		return nil
	})
}

func (v *View) addWorkspace(o *Objects, id string, w Workspace) {
	rw := &ResolvedWorkspace{
		ID: sumachead.WorkspaceID(id), Budget: w.Budget, Pools: w.Pools, Limits: defaultLimits,
	}
	var chain []Limits
	for b := w.Branch; b != ""; b = o.Branches[b].Parent {
		branch := o.Branches[b]
		chain = append(chain, branch.Limits)
		if rw.Budget == "" {
			rw.Budget = branch.Budget
		}
		if rw.Pools == nil {
			rw.Pools = branch.Pools
		}
	}
	for _, l := range slices.Backward(chain) {
		rw.Limits.override(l)
	}
	rw.Limits.override(w.Limits)
	for _, h := range w.KeySHA256 {
		b, _ := hex.DecodeString(h) // checked by the tree
		v.keys[h[:keyIndexLength]] = keyOwner{b, rw}
	}
}

// keyIndexLength is how much of a key's hash finds it; the rest is compared in
// constant time.
const keyIndexLength = 32

func (r *ResolvedLimits) override(l Limits) {
	overrideInt(&r.MaxBodyBytes, l.MaxBodyBytes)
	overrideInt(&r.MaxOutputTokens, l.MaxOutputTokens)
	overrideInt(&r.DefaultOutputTokens, l.DefaultOutputTokens)
	overrideInt(&r.MaxConcurrent, l.MaxConcurrent)
	overrideInt(&r.RetryPercent, l.RetryPercent)
	if l.MaxTime != nil {
		r.MaxTime = l.MaxTime.Duration
	}
}

func overrideInt(to, from *int64) {
	if from != nil {
		*to = *from
	}
}

// Authenticate returns the workspace that a bearer key opens, or nil.
func (v *View) Authenticate(key string) *ResolvedWorkspace {
	sum := sha256.Sum256([]byte(key))
	k, ok := v.keys[hex.EncodeToString(sum[:])[:keyIndexLength]]
	if !ok || subtle.ConstantTimeCompare(k.hash, sum[:]) != 1 {
		return nil
	}
	return k.owner
}

// Pool returns a pool by id, or nil.
func (v *View) Pool(id sumachead.PoolID) *ResolvedPool { return v.pools[id] }

// Model returns the pool that serves a model, or nil.
func (v *View) Model(name string) *ResolvedPool { return v.models[name] }

// Server returns a backend server by id, or nil.
func (v *View) Server(id sumachead.ServerID) *ResolvedServer { return v.servers[id] }

// Follower holds a node's copy of the tree and takes in what a sync brings.
// It is not safe for concurrent use; the views that it returns are.
type Follower struct {
	session  string
	revision uint64
	objects  Objects
}

// Position returns what to ask the next sync from.
func (f *Follower) Position() (session string, revision uint64) { return f.session, f.revision }

// Take applies a reply. It returns nil when nothing changed; a reply that would
// go back to a lower revision is refused.
func (f *Follower) Take(r *wire.SyncReply) (*View, error) {
	if r.GetRevision() < f.revision {
		return nil, &RevertError{Have: f.revision, Got: r.GetRevision()}
	}
	if !r.GetSnapshot() && r.GetRevision() == f.revision {
		return nil, nil
	}
	base := f.objects
	if r.GetSnapshot() {
		base = Objects{}
	}
	o, err := base.with(r.GetObjects())
	if err != nil {
		return nil, err
	}
	f.session, f.revision, f.objects = r.GetSession(), r.GetRevision(), o
	return NewView(sumachead.Revision(f.revision), &f.objects), nil
}

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

// FreshnessLease is how long a node may accept new work after the last time at
// which its settings were proved to be the newest.
const FreshnessLease = 5 * time.Second

// ResolvedLimits are the limits of a workspace after inheritance.
type ResolvedLimits struct {
	MaxBodyBytes        int64
	MaxOutputTokens     int64
	DefaultOutputTokens int64
	MaxTime             time.Duration
	MaxConcurrent       int64
	RetryPercent        int64
}

// defaultLimits apply where no branch or workspace sets a limit.
var defaultLimits = ResolvedLimits{
	MaxBodyBytes:        1 << 20,
	MaxOutputTokens:     4096,
	DefaultOutputTokens: 512,
	MaxTime:             2 * time.Minute,
	MaxConcurrent:       1024,
	RetryPercent:        10,
}

// defaultStuckAfter applies where a pool sets no idle timeout.
const defaultStuckAfter = 10 * time.Second

// ResolvedWorkspace is a workspace after inheritance.
type ResolvedWorkspace struct {
	ID     sumachead.WorkspaceID
	Budget sumachead.BudgetID
	Pools  []sumachead.PoolID
	Limits ResolvedLimits
}

// CanUse reports whether the workspace may use a pool.
func (w *ResolvedWorkspace) CanUse(p sumachead.PoolID) bool { return slices.Contains(w.Pools, p) }

// ResolvedPool is a pool with its id and backend servers.
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

// View is one revision of the tree with inheritance resolved, as routers and
// agents use it. It is immutable.
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

// NewView resolves the objects of a revision. The objects come from a validated
// tree; some kinds may be omitted.
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
	_ = forEachSorted(o.Pools, func(id string, p Pool) error {
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
	_ = forEachSorted(o.Servers, func(id string, s Server) error {
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
		b, _ := hex.DecodeString(h) // validated by the tree
		v.keys[h[:keyIndexLength]] = keyOwner{b, rw}
	}
}

// keyIndexLength is the length of the hash prefix by which a key is looked up;
// the whole hash is then compared in constant time.
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

// Authenticate returns the workspace of a bearer key, or nil.
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

// Follower holds a node's copy of the tree and updates it from sync replies.
// It is not safe for concurrent use; the views that it returns are.
type Follower struct {
	session  string
	revision uint64
	objects  Objects
}

// Position returns the session and revision to send with the next sync.
func (f *Follower) Position() (session string, revision uint64) { return f.session, f.revision }

// Apply applies a sync reply. It returns nil if nothing changed, and a
// StaleRevisionError if the reply has a lower revision.
func (f *Follower) Apply(r *wire.SyncReply) (*View, error) {
	if r.GetRevision() < f.revision {
		return nil, &StaleRevisionError{Have: f.revision, Got: r.GetRevision()}
	}
	if !r.GetSnapshot() && r.GetRevision() == f.revision {
		return nil, nil
	}
	base := f.objects
	if r.GetSnapshot() {
		base = Objects{}
	}
	o, err := base.withChanges(r.GetObjects())
	if err != nil {
		return nil, err
	}
	f.session, f.revision, f.objects = r.GetSession(), r.GetRevision(), o
	return NewView(sumachead.Revision(f.revision), &f.objects), nil
}
